#ifndef ANVILRIDGE_UPSTREAMS_ENGINE_LIST_H_
#define ANVILRIDGE_UPSTREAMS_ENGINE_LIST_H_

#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

/// An engine's answer to a list: all its requests, or what changed.
struct engine_list {
  /// Names this list to the engine; empty of one that can't give changes.
  std::string version;
  /// The version that the changes follow; empty when the list is whole.
  std::string since;
  std::vector<engine_request> requests;
  /// Ids that have ended since; only of changes.
  std::vector<std::string> gone;
};

/// The requests of one engine, kept from list to list.
struct listed_requests {
  std::string version;
  absl::Time listed = absl::InfinitePast();
  /// When the last whole list arrived.
  absl::Time whole = absl::InfinitePast();
  std::map<std::string, engine_request, std::less<>> rows;
};

/// Lists the requests at an engine, by changes since the version `since` if the
/// engine knows it; empty for a whole list. An engine that ignores `since`
/// answers with a whole list.
http_client::call_id ListEngineChanges(http_client& client,
                                       absl::string_view address,
                                       absl::string_view since,
                                       engine_callback<engine_list> done);

/// Returns the version by which to ask at `now`: none when the last whole list
/// is so old that another one is to make up for lost changes.
std::string VersionToAsk(const listed_requests& known, absl::Time now);

/// Brings `known` up to `list` and returns all rows. Of rows that did not
/// change, the tokens are advanced by `token_interval`. `upstream_failed` when
/// the changes follow another version; then the next list is a whole one.
absl::StatusOr<std::vector<engine_request>> TakeEngineList(
    listed_requests& known, const engine_list& list,
    absl::Duration token_interval, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_ENGINE_LIST_H_
