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

/// A request at an engine without a live owner.
struct watched_orphan {
  /// When it was first seen so.
  absl::Time since;
  /// The owner as the engine knows it, `daemon:incarnation`.
  std::string owner;
  int pieces = 0;
};

/// The requests at one engine without a live owner, by id.
struct orphan_watch {
  std::map<std::string, watched_orphan, std::less<>> watched;
};

struct orphan_policy {
  /// How long a request whose owner is gone is kept for a caller that may
  /// resume it through another daemon.
  absl::Duration resume_grace = absl::Seconds(3);
  /// How long an owner that was never heard of may be merely new.
  absl::Duration stranger_grace = absl::Seconds(15);
};

/// Tells whether an owner lives; nothing when it was never heard of.
using owner_check = std::function<std::optional<bool>(const owner_id&)>;

/// Returns the rows of an engine's list that are to be cancelled at `now`:
/// their owner is gone and the grace has passed. Requests that are no longer
/// listed or whose owner lives are forgotten.
std::vector<engine_request> FindOrphans(orphan_watch& watch,
                                        absl::Span<const engine_request> listed,
                                        const owner_check& is_live,
                                        const orphan_policy& policy,
                                        absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_ORPHANS_ORPHAN_SWEEP_H_
