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
// Backlogs, in tokens, that count as equal: what an engine reads in the 20 ms
// by which daemons know late of each other's prompts.
constexpr double kEqualBacklog = 1000;

// Memory held at the fullest moment once `run` has been added.
double PeakWith(const decode_candidate& engine, const decode_run& run) {
  std::vector<decode_run> with = engine.runs;
  with.push_back(run);
  return PeakTokens(with);
}

}  // namespace

bool HasRoom(const decode_candidate& engine, const decode_run& run) {
  return static_cast<int>(engine.runs.size()) < engine.slots &&
         PeakWith(engine, run) <= engine.capacity;
}

std::optional<size_t> ChooseDecode(absl::Span<const decode_candidate> engines,
                                   const decode_run& run) {
  std::optional<size_t> best;
  double best_load = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < engines.size(); ++i) {
    const decode_candidate& engine = engines[i];
    if (static_cast<int>(engine.runs.size()) >= engine.slots) continue;
    const double peak = PeakWith(engine, run);
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
    const double cost = engines[i].backlog +
                        (same ? 0 : kSameDomainPrompts * tokens) +
                        kEqualBacklog * engines[i].draw;
    if (cost < best_cost) {
      best_cost = cost;
      best = i;
    }
  }
  return best;
}

}  // namespace anvilridge
