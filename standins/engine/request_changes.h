#ifndef ANVILRIDGE_STANDINS_ENGINE_REQUEST_CHANGES_H_
#define ANVILRIDGE_STANDINS_ENGINE_REQUEST_CHANGES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "engine/engine_state.h"

namespace anvilridge {

/// One request as the last list saw it; what grows by itself is left out.
struct noted_request {
  std::string owner;
  request_phase phase = request_phase::queued;
  bool attached = false;
  /// Version of the list in which it changed.
  int64_t changed = 0;
};

struct gone_request {
  std::string id;
  int64_t version = 0;
};

/// What lists need to give changes only.
struct request_changes {
  /// Tells the lists of this run from those of an earlier one.
  std::string run;
  int64_t version = 0;
  std::map<std::string, noted_request> noted;
  /// The latest that ended, in order.
  std::deque<gone_request> gone;
  /// Changes after this version are known.
  int64_t known_after = 0;
};

/// What changed since a list that was given before.
struct changed_requests {
  std::set<std::string> changed;
  std::vector<std::string> gone;
};

/// Notes what has changed since the last list, which makes a new version.
void NoteChanges(request_changes& changes, const engine_state& state);

/// Returns the version as clients hand it back.
std::string VersionText(const request_changes& changes);

/// Returns what changed since the version `since`; nothing when that is not
/// known any more.
std::optional<changed_requests> ChangesSince(const request_changes& changes,
                                             absl::string_view since);

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_ENGINE_REQUEST_CHANGES_H_
