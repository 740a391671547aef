#ifndef ANVILRIDGE_DISPATCH_ENGINE_CHOICE_H_
#define ANVILRIDGE_DISPATCH_ENGINE_CHOICE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "absl/types/span.h"
#include "dispatch/decode_memory.h"
#include "dispatch/load_choice.h"
#include "fleet/fleet_upstream.h"

namespace anvilridge {

/// An engine that could decode a request.
struct decode_candidate {
  const fleet_upstream* upstream = nullptr;
  /// Runs of all daemons at the engine.
  std::vector<decode_run> runs;
  /// Tokens that may be reserved in total.
  double capacity = 0;
  /// Runs that the engine can hold.
  int slots = 0;
  /// Whether the engine is in the failure domain of this daemon.
  bool same_domain = false;
};

/// An engine that could prefill a prompt.
struct prefill_candidate {
  const fleet_upstream* upstream = nullptr;
  /// Prompt tokens that the engine has yet to prefill.
  double backlog = 0;
};

/// Whether `engine` has a slot and memory for `run` now.
bool HasCapacity(const decode_candidate& engine, const decode_run& run);

/// Returns the index of the engine that has the largest share of its memory
/// free once `run` has been added, among those with capacity for it; nothing
/// when no engine has capacity. Prefers engines in the daemon's failure domain
/// unless another is clearly emptier.
std::optional<size_t> ChooseDecode(absl::Span<const decode_candidate> engines,
                                   const decode_run& run);

/// Chooses the engine that is expected to finish the prefill of a prompt of
/// `tokens` first, with a cost added for the transfer out of a failure domain
/// other than `decode_domain`.
/// @param spread work of other daemons that is not known yet, in tokens.
/// @return its index, or nothing when `engines` is empty.
std::optional<size_t> ChoosePrefill(absl::Span<const prefill_candidate> engines,
                                    double tokens,
                                    absl::string_view decode_domain,
                                    const choice_spread& spread);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ENGINE_CHOICE_H_
