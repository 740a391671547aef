#include "dispatch/engine_choice.h"

#include <algorithm>
#include <limits>

namespace anvilridge {
namespace {

// How much fuller, as a share of its memory, an engine in the daemon's failure
// domain may be than the emptiest engine and still be chosen: about one run.
constexpr double kSameDomainAdvantage = 0.12;
// Cost of a transfer to another failure domain, as a multiple of the prompt:
// the backlog of an engine in the decode engine's domain may be larger by as
// much.
constexpr double kCrossDomainPromptFactor = 1.0;

// Returns the largest number of tokens that `engine` is expected to hold once
// `run` has been added.
double PeakTokensWith(const decode_candidate& engine, const decode_run& run) {
  std::vector<decode_run> with = engine.runs;
  with.push_back(run);
  return PeakTokens(with);
}

}  // namespace

bool HasCapacity(const decode_candidate& engine, const decode_run& run) {
  return static_cast<int>(engine.runs.size()) < engine.slots &&
         PeakTokensWith(engine, run) <= engine.capacity;
}

std::optional<size_t> ChooseDecode(absl::Span<const decode_candidate> engines,
                                   const decode_run& run) {
  std::optional<size_t> best;
  double best_load = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < engines.size(); ++i) {
    const decode_candidate& engine = engines[i];
    if (static_cast<int>(engine.runs.size()) >= engine.slots) continue;
    const double peak = PeakTokensWith(engine, run);
    if (peak > engine.capacity) continue;
    const double load = peak / engine.capacity -
                        (engine.same_domain ? kSameDomainAdvantage : 0);
    if (load < best_load) {
      best_load = load;
      best = i;
    }
  }
  return best;
}

std::optional<size_t> ChoosePrefill(absl::Span<const prefill_candidate> engines,
                                    double tokens,
                                    absl::string_view decode_domain,
                                    const choice_spread& spread) {
  std::vector<double> costs;
  costs.reserve(engines.size());
  for (const prefill_candidate& engine : engines) {
    const bool same_domain = engine.upstream->failure_domain == decode_domain;
    costs.push_back(engine.backlog +
                    (same_domain ? 0 : kCrossDomainPromptFactor * tokens));
  }
  return ChooseByCost(costs, spread);
}

}  // namespace anvilridge
