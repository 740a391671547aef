#ifndef ANVILRIDGE_DISPATCH_ENGINE_CHOICE_H_
#define ANVILRIDGE_DISPATCH_ENGINE_CHOICE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "absl/types/span.h"
#include "dispatch/decode_memory.h"
#include "fleet/fleet_upstream.h"

namespace anvilridge {

/// An engine that could generate a request.
struct decode_candidate {
  const fleet_upstream* upstream = nullptr;
  std::vector<decode_run> runs;
  /// Tokens and runs that may be promised.
  double capacity = 0;
  int slots = 0;
  /// Whether it lies in the failure domain of this daemon.
  bool near = false;
};

/// An engine that could read a prompt.
struct prefill_candidate {
  const fleet_upstream* upstream = nullptr;
  /// Prompt tokens that wait there.
  double backlog = 0;
  /// Drawn from 0 to 1 for this choice: decides between engines that are about
  /// as busy, so that daemons don't choose alike.
  double draw = 0;
};

/// Whether `run` fits at `engine` now.
bool HasRoom(const decode_candidate& engine, const decode_run& run);

/// Returns the candidate with the largest part of its memory free once `run`
/// has been added, among those where it fits now; nothing when it fits nowhere.
/// A near one is taken unless another is clearly emptier.
std::optional<size_t> ChooseDecode(absl::Span<const decode_candidate> engines,
                                   const decode_run& run);

/// Returns the engine that reads a prompt of `tokens` first, counting the
/// dearer transfer out of another failure domain than `decode_domain`.
std::optional<size_t> ChoosePrefill(absl::Span<const prefill_candidate> engines,
                                    double tokens,
                                    absl::string_view decode_domain);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ENGINE_CHOICE_H_
