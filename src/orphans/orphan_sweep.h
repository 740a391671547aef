#ifndef ANVILRIDGE_ORPHANS_ORPHAN_SWEEP_H_
#define ANVILRIDGE_ORPHANS_ORPHAN_SWEEP_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "base/ids.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

/// Request at an engine without a live owner.
struct watched_orphan {
  /// When the request was first listed without a live owner.
  absl::Time since;
  /// Owner that the engine lists for the request, `daemon:incarnation`.
  std::string owner;
  /// KV cache that the request holds at the engine, in pieces.
  int pieces = 0;
};

/// Requests without a live owner at one engine, by request id.
struct orphan_watch {
  std::map<std::string, watched_orphan, std::less<>> watched;
};

/// Grace periods before a request without a live owner is cancelled.
struct orphan_policy {
  /// Time for which a request of an owner that is gone is kept, so that the
  /// caller can resume it through another daemon.
  absl::Duration resume_grace = absl::Seconds(3);
  /// Time for which a request of an unknown owner is kept, since the owner may
  /// be a new daemon of which membership has no record yet.
  absl::Duration unknown_owner_grace = absl::Seconds(15);
};

/// Returns whether an owner is live, or nullopt if the owner is unknown.
using owner_liveness_check =
    std::function<std::optional<bool>(const owner_id&)>;

/// Returns the requests in an engine's list that must be cancelled at `now`:
/// those that have had no live owner for the grace period of `policy`. Updates
/// `watch` to the listed requests without a live owner.
std::vector<engine_request> FindOrphans(orphan_watch& watch,
                                        absl::Span<const engine_request> listed,
                                        const owner_liveness_check& is_live,
                                        const orphan_policy& policy,
                                        absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_ORPHANS_ORPHAN_SWEEP_H_
