#include "dispatch/engine_choice.h"

#include <algorithm>
#include <limits>

namespace anvilridge {
namespace {

// How much fuller, as a part of its memory, a near engine may be than the
// emptiest one: about one run.
constexpr double kNearAdvantage = 0.12;
// Prompts that may wait longer at an engine from which the transfer stays
// within the failure domain.
constexpr double kSameDomainPrompts = 1.0;

}  // namespace

std::optional<size_t> ChooseDecode(absl::Span<const decode_candidate> engines,
                                   const decode_run& run) {
  std::optional<size_t> best;
  double best_load = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < engines.size(); ++i) {
    const decode_candidate& engine = engines[i];
    if (static_cast<int>(engine.runs.size()) >= engine.slots) continue;
    std::vector<decode_run> with = engine.runs;
    with.push_back(run);
    const double peak = PeakTokens(with);
    if (peak > engine.capacity) continue;
    const double load =
        peak / engine.capacity - (engine.near ? kNearAdvantage : 0);
    if (load < best_load) {
      best_load = load;
      best = i;
    }
  }
  return best;
}

std::optional<size_t> ChoosePrefill(absl::Span<const prefill_candidate> engines,
                                    double tokens,
                                    absl::string_view decode_domain) {
  std::optional<size_t> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < engines.size(); ++i) {
    const bool same = engines[i].upstream->failure_domain == decode_domain;
    const double cost =
        engines[i].backlog + (same ? 0 : kSameDomainPrompts * tokens);
    if (cost < best_cost) {
      best_cost = cost;
      best = i;
    }
  }
  return best;
}

}  // namespace anvilridge
