#ifndef ANVILRIDGE_DISPATCH_TESTING_BURST_MODEL_H_
#define ANVILRIDGE_DISPATCH_TESTING_BURST_MODEL_H_

#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/error_kind.h"
#include "dispatch/decode_admission.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/length_estimate.h"

namespace anvilridge {

/// Part of an arrival pattern with a constant rate.
struct arrival_phase {
  absl::Duration length;
  /// Streams that arrive per second.
  double per_second = 0;
};

/// Outcome of a simulated arrival pattern. Counts are streams unless stated
/// otherwise.
struct burst_result {
  int arrived = 0;
  /// Streams that began within 0.6 latency targets of their arrival.
  int on_time = 0;
  /// Streams that began later than that.
  int late = 0;
  int refused = 0;
  /// Streams that were refused only after waiting for more than an eighth of
  /// the latency target.
  int refused_after_wait = 0;
  /// Number of 10 ms steps in which the memory of an engine was exceeded,
  /// summed over all engines.
  int memory_overrun_steps = 0;
  /// Number of steps in which an engine had work, summed over all engines.
  int engine_steps = 0;
  /// Late streams that began while another one could still begin on time.
  int late_before_on_time = 0;
  /// Smallest share of streams on time of any daemon, divided by the share over
  /// all daemons.
  double least_on_time_ratio = 1;
  /// Retry delays of the refused streams.
  std::vector<absl::Duration> retry_delays;
};

/// Simulates the admission of arriving streams to decode engines of equal size,
/// on a virtual clock and without a network. A stream occupies memory for its
/// prompt and for the tokens that it has generated.
class burst_model {
 public:
  /// Mean number of tokens in a prompt and in an output.
  static constexpr double kPrompt = 5200;
  static constexpr double kOutput = 4700;
  /// Tokens that one stream generates per millisecond.
  static constexpr double kTokensPerMs = 1.4;
  /// Slots of an engine, and tokens that fit into its KV memory.
  static constexpr int kSlots = 48;
  static constexpr double kKvTokens = 75000;
  /// Latency target: time from the arrival of a stream to its first event.
  static constexpr absl::Duration kTarget = absl::Milliseconds(900);
  /// Duration of a prefill, after which the stream uses its decode engine.
  static constexpr absl::Duration kPrefill = absl::Milliseconds(90);
  static constexpr absl::Duration kStep = absl::Milliseconds(10);

  /// Delay after which a daemon receives the load of another one.
  static constexpr absl::Duration kLoadExchangeDelay = kStep;

  explicit burst_model(int engines, int daemons = 1, unsigned seed = 1)
      : random_(seed) {
    auto config = std::make_shared<fleet_config>();
    fleet_service& service = config->services["model"];
    service.name = "model";
    service.generates = true;
    service.engine.kv_tokens = static_cast<int64_t>(kKvTokens);
    service.engine.slots = kSlots;
    auto view = std::make_shared<fleet_view>();
    view->config = config;
    for (int i = 0; i < engines; ++i) {
      fleet_upstream engine;
      engine.id = "decode-" + std::to_string(i);
      engine.service = "model";
      engine.slots = kSlots;
      engine.stage = engine_stage::decode;
      view->upstreams["model"].push_back(engine);
    }
    engines_ = engines;
    for (int i = 0; i < daemons; ++i) {
      daemons_.push_back(std::make_unique<dispatch_state>());
      daemons_.back()->view = view;
      daemons_.back()->name = "daemon-" + std::to_string(i);
      daemons_.back()->ledger.tokens_per_ms = kTokensPerMs;
    }
  }

  /// Returns the number of streams per second that the engines can serve when
  /// their memory is full.
  double Capacity() const {
    const double seconds = kOutput / kTokensPerMs / 1000;
    return engines_ * kKvTokens / (kPrompt + kOutput / 2) / seconds;
  }

  /// Simulates the phases of `pattern` one after the other and 20 s without
  /// arrivals at the end, and returns the outcome.
  burst_result Simulate(const std::vector<arrival_phase>& pattern) {
    for (const arrival_phase& phase : pattern) {
      const absl::Time end = now_ + phase.length;
      double due = 0;
      while (now_ < end) {
        due += phase.per_second * absl::ToDoubleSeconds(kStep);
        for (; due >= 1; --due) Arrive();
        Step();
      }
    }
    for (int i = 0; i < 2000; ++i) Step();
    for (const auto& [daemon, arrived] : arrived_) {
      result_.least_on_time_ratio =
          std::min(result_.least_on_time_ratio,
                   1.0 * on_time_[daemon] / arrived * result_.arrived /
                       std::max(1, result_.on_time));
    }
    return result_;
  }

 private:
  struct stream {
    dispatch_state* daemon = nullptr;
    // Id of its decode engine.
    std::string engine;
    absl::Time decode_start;
    // Tokens in its prompt and its output.
    double prompt = 0;
    double output = 0;
    // Estimated distribution of `output`.
    length_distribution expected;
  };

  // Returns a random number from a log-normal distribution with the mean
  // `mean`.
  // @param deviation standard deviation of the number's logarithm.
  double Draw(double mean, double deviation) {
    std::normal_distribution<double> normal;
    return mean *
           std::exp(deviation * normal(random_) - deviation * deviation / 2);
  }

  // Lets one stream arrive at a random daemon.
  void Arrive() {
    ++result_.arrived;
    const std::string id = std::to_string(result_.arrived);
    stream arriving;
    arriving.daemon = daemons_[std::uniform_int_distribution<size_t>(
                                   0, daemons_.size() - 1)(random_)]
                          .get();
    arriving.prompt = Draw(kPrompt, 0.4);
    arriving.output = Draw(kOutput, 0.4);
    const double estimate = arriving.output * Draw(1, 0.4);
    arriving.expected = EstimateLength(lengths_, estimate, 9500);
    UpdateLengthStatistics(lengths_, estimate, arriving.output);
    ++arrived_[arriving.daemon];
    waiting_stream waiting;
    waiting.request_id = id;
    waiting.service = "model";
    waiting.prompt = arriving.prompt;
    waiting.output = EstimateRemaining(arriving.expected, 0, 9500);
    waiting.latest_on_time_start = now_ + 0.6 * kTarget;
    waiting.latest_start = now_ + 3 * kTarget;
    const absl::Time arrival = now_;
    waiting.done = [this, id, arriving,
                    arrival](absl::StatusOr<engine_reservation> reservation) {
      if (!reservation.ok()) return OnRefused(reservation.status(), arrival);
      const bool on_time = now_ <= arrival + 0.6 * kTarget;
      ++(on_time ? result_.on_time : result_.late);
      if (on_time) ++on_time_[arriving.daemon];
      if (!on_time && !arriving.daemon->waiting.empty()) {
        ++result_.late_before_on_time;
      }
      stream started = arriving;
      started.engine = reservation->decode.id;
      started.decode_start = now_ + kPrefill;
      running_[id] = started;
    };
    AdmitOrQueueStream(*arriving.daemon, std::move(waiting), now_);
  }

  void OnRefused(const absl::Status& error, absl::Time arrival) {
    ++result_.refused;
    if (now_ - arrival > kTarget / 8) ++result_.refused_after_wait;
    result_.retry_delays.push_back(RetryAfterOf(error));
  }

  // Advances the clock and all running streams by one step.
  void Step() {
    now_ += kStep;
    std::map<std::string, double> used_tokens;
    for (auto next = running_.begin(); next != running_.end();) {
      const auto& [id, run] = *next;
      if (now_ < run.decode_start) {
        ++next;
        continue;
      }
      const double generated =
          absl::ToDoubleMilliseconds(now_ - run.decode_start) * kTokensPerMs;
      if (generated >= run.output) {
        EndRun(run.daemon->ledger, id);
        next = running_.erase(next);
        continue;
      }
      used_tokens[run.engine] += run.prompt + generated;
      AdvanceRun(run.daemon->ledger, id, run.prompt + generated,
                 EstimateRemaining(run.expected, generated, 9500), now_);
      ++next;
    }
    for (const auto& [engine, tokens] : used_tokens) {
      ++result_.engine_steps;
      if (tokens > kKvTokens) ++result_.memory_overrun_steps;
    }
    ExchangeLoads();
    for (const auto& daemon : daemons_) AdmitWaiting(*daemon, now_);
  }

  // Delivers the loads of the previous step to all daemons, and collects the
  // current ones for the next step.
  void ExchangeLoads() {
    for (const auto& receiver : daemons_) {
      for (const auto& [name, load] : loads_in_transit_) {
        if (name != receiver->name) receiver->ledger.peers[name] = {load, now_};
      }
    }
    loads_in_transit_.clear();
    if (daemons_.size() < 2) return;
    for (const auto& daemon : daemons_) {
      daemon_load& load = loads_in_transit_[daemon->name];
      load = OwnLoad(daemon->ledger, now_);
      load.waiting = static_cast<int>(daemon->waiting.size());
      load.late = static_cast<int>(daemon->late.size());
    }
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::mt19937 random_;
  int engines_ = 0;
  std::vector<std::unique_ptr<dispatch_state>> daemons_;
  // Loads that were collected in the last step, by name of the daemon.
  std::map<std::string, daemon_load> loads_in_transit_;
  // Number of streams that arrived at each daemon, and of those on time.
  std::map<const dispatch_state*, int> arrived_;
  std::map<const dispatch_state*, int> on_time_;
  length_statistics lengths_;
  // Streams with a decode engine, by request id.
  std::map<std::string, stream> running_;
  burst_result result_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_TESTING_BURST_MODEL_H_
