#ifndef ANVILRIDGE_DISPATCH_TESTING_STALE_CHOICE_MODEL_H_
#define ANVILRIDGE_DISPATCH_TESTING_STALE_CHOICE_MODEL_H_

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

#include "absl/time/time.h"
#include "dispatch/load_choice.h"

namespace anvilridge {

/// How a daemon of the model chooses an engine. What the engine is expected to
/// have done of one prompt since the reports is deducted.
enum class choice_policy {
  /// The engine with the least reported load.
  least_reported,
  /// As above, with the daemon's own sends since the reports.
  least_known,
  /// The less loaded of two random engines, with the daemon's own sends.
  random_of_two,
  /// The least loaded of a third of the engines that differs by daemon, with
  /// the daemon's own sends.
  own_subset,
  /// By `ChooseByCost`, with the daemon's own sends.
  by_unheard_work,
};

/// A deployment of the model.
struct choice_world {
  int daemons = 34;
  int engines = 12;
  /// Age of what daemons know of each other's sends.
  absl::Duration report_age = absl::Milliseconds(20);
  /// Speed of the fastest engine in relation to the slowest; the others lie
  /// between them. Daemons don't know the speeds.
  double speed_ratio = 1;
  /// Whether a quarter of the engines joins, empty, after half of the time.
  bool engines_join = false;
  /// Share of the engines' time that is in use on average.
  double utilization = 0.7;
};

/// Outcome of a simulated load.
struct choice_result {
  /// Mean time that prompts wait for the ones before them.
  absl::Duration mean_wait;
  /// Time within which 95 of 100 prompts begin.
  absl::Duration wait_of_95;
  /// Share of the prompts that waited while another engine was idle.
  double waited_beside_idle = 0;
};

/// Simulates daemons that send prompts to engines, on a virtual clock and
/// without a network. An engine prefills one prompt after the other.
class stale_choice_model {
 public:
  /// Time for one prompt at an engine of mean speed.
  static constexpr double kPromptMs = 95;

  explicit stale_choice_model(const choice_world& world, unsigned seed = 1)
      : world_(world), random_(seed), engines_(Count(world.engines)) {
    for (int i = 0; i < world.engines; ++i) {
      const double place =
          world.engines > 1 ? 1.0 * i / (world.engines - 1) : 0.5;
      // The mean of the speeds is 1.
      engines_[Count(i)].speed =
          2 * (1 + place * (world.speed_ratio - 1)) / (1 + world.speed_ratio);
    }
  }

  /// Sends `prompts` prompts and returns how they waited.
  choice_result Simulate(choice_policy policy, int prompts) {
    const double rate_per_ms = world_.utilization * world_.engines / kPromptMs;
    std::exponential_distribution<double> gap(rate_per_ms);
    std::uniform_int_distribution<int> daemon(0, world_.daemons - 1);
    std::vector<double> waits;
    int beside_idle = 0;
    for (int i = 0; i < prompts; ++i) {
      now_ms_ += gap(random_);
      usable_ = world_.engines;
      if (world_.engines_join && i < prompts / 2) usable_ -= usable_ / 4;
      const int sender = daemon(random_);
      const size_t chosen = Choose(policy, sender, rate_per_ms);
      engine& to = engines_[chosen];
      const double start = std::max(now_ms_, to.free_at_ms);
      waits.push_back(start - now_ms_);
      if (start > now_ms_ && AnyIdle()) ++beside_idle;
      to.free_at_ms = start + kPromptMs / to.speed;
      to.sent.push_back({sender, now_ms_, to.free_at_ms});
    }
    choice_result result;
    double sum = 0;
    for (const double wait : waits) sum += wait;
    result.mean_wait = absl::Milliseconds(sum / prompts);
    std::sort(waits.begin(), waits.end());
    result.wait_of_95 = absl::Milliseconds(waits[waits.size() * 95 / 100]);
    result.waited_beside_idle = 1.0 * beside_idle / prompts;
    return result;
  }

 private:
  struct sent_prompt {
    int sender = 0;
    double sent_ms = 0;
    double end_ms = 0;
  };
  struct engine {
    double speed = 1;
    double free_at_ms = 0;
    std::deque<sent_prompt> sent;
  };

  static size_t Count(int count) { return static_cast<size_t>(count); }

  bool AnyIdle() const {
    for (int i = 0; i < usable_; ++i) {
      if (engines_[Count(i)].free_at_ms <= now_ms_) return true;
    }
    return false;
  }

  // Returns the prompts that `sender` knows at an engine.
  double Known(engine& at, int sender, bool with_own) const {
    const double heard_ms =
        now_ms_ - absl::ToDoubleMilliseconds(world_.report_age);
    while (!at.sent.empty() && at.sent.front().end_ms < heard_ms) {
      at.sent.pop_front();
    }
    double prompts = 0;
    for (const sent_prompt& prompt : at.sent) {
      if (with_own && prompt.sender == sender) {
        if (prompt.end_ms > now_ms_) ++prompts;
      } else if (prompt.sent_ms <= heard_ms) {
        ++prompts;
      }
    }
    return prompts;
  }

  size_t Choose(choice_policy policy, int sender, double rate_per_ms) {
    std::vector<double> costs;
    costs.reserve(Count(usable_));
    for (int i = 0; i < usable_; ++i) {
      costs.push_back(Known(engines_[Count(i)], sender,
                            policy != choice_policy::least_reported));
    }
    const double done =
        absl::ToDoubleMilliseconds(world_.report_age) / kPromptMs;
    for (double& cost : costs) cost -= std::min({1.0, cost, done});
    std::uniform_real_distribution<double> draw;
    switch (policy) {
      case choice_policy::least_reported:
      case choice_policy::least_known:
        break;
      case choice_policy::random_of_two: {
        std::uniform_int_distribution<size_t> any(0, costs.size() - 1);
        const size_t one = any(random_);
        const size_t other = any(random_);
        return costs[one] <= costs[other] ? one : other;
      }
      case choice_policy::own_subset:
        for (size_t i = 0; i < costs.size(); ++i) {
          if ((i + Count(sender)) % 3 != 0) costs[i] += 1000;
        }
        break;
      case choice_policy::by_unheard_work: {
        const double unheard = rate_per_ms * (world_.daemons - 1) /
                               world_.daemons *
                               absl::ToDoubleMilliseconds(world_.report_age);
        return *ChooseByCost(costs, {unheard, draw(random_)});
      }
    }
    return *ChooseByCost(costs, {0, draw(random_)});
  }

  const choice_world world_;
  std::mt19937 random_;
  std::vector<engine> engines_;
  int usable_ = 0;
  double now_ms_ = 0;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_TESTING_STALE_CHOICE_MODEL_H_
