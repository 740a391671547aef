#ifndef ANVILRIDGE_ORPHANS_HELD_CHECK_H_
#define ANVILRIDGE_ORPHANS_HELD_CHECK_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "base/ids.h"
#include "orphans/orphan_sweep.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

/// Peer method by which an engine's home asks a daemon which of the requests
/// that the engine lists for it are still in progress there.
inline constexpr char kHeldMethod[] = "orphans/held";

/// Most ids of one question.
inline constexpr size_t kMaxHeldIds = 64;

struct held_policy {
  /// Younger requests are not asked about.
  absl::Duration youngest = absl::Seconds(3);
  /// Denials in a row after which a request is cancelled.
  int denials = 2;
};

/// Ids at one engine that their owner, which lives, is asked about.
struct held_question {
  owner_id owner;
  std::vector<std::string> request_ids;
};

/// How often in a row an owner has denied a request.
struct held_denial {
  owner_id owner;
  int count = 0;
};

struct held_watch {
  std::map<std::string, held_denial, std::less<>> denials;
};

/// Returns what to ask of whom: requests of live owners that are old enough
/// and that nobody reads, at most `kMaxHeldIds` an owner. A request that is
/// read is not forgotten, so that an engine at work costs no questions.
/// Denials of requests that are no longer listed are dropped.
std::vector<held_question> HeldQuestions(
    held_watch& watch, absl::Span<const engine_request> listed,
    const owner_check& is_live, const held_policy& policy);

/// Takes the answer to `question`: the ids that are still `held`. Returns those
/// to cancel.
std::vector<std::string> TakeHeldAnswer(held_watch& watch,
                                        const held_question& question,
                                        const std::set<std::string>& held,
                                        const held_policy& policy);

}  // namespace anvilridge

#endif  // ANVILRIDGE_ORPHANS_HELD_CHECK_H_
