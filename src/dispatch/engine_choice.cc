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
// Backlogs that differ by less count as equal: the tokens that an engine
// prefills in the 20 ms until daemons have received each other's load.
constexpr double kEqualBacklogTokens = 1000;

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
                                    absl::string_view decode_domain) {
  std::optional<size_t> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < engines.size(); ++i) {
    const bool same_domain =
        engines[i].upstream->failure_domain == decode_domain;
    const double cost = engines[i].backlog +
                        (same_domain ? 0 : kCrossDomainPromptFactor * tokens) +
                        kEqualBacklogTokens * engines[i].draw;
    if (cost < best_cost) {
      best_cost = cost;
      best = i;
    }
  }
  return best;
}

}  // namespace anvilridge
