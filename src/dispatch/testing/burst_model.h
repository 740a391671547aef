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

/// How often streams arrive in a part of a pattern.
struct arrival_part {
  absl::Duration length;
  double per_second = 0;
};

/// What became of the streams of a pattern.
struct burst_result {
  int arrived = 0;
  int on_time = 0;
  int late = 0;
  int refused = 0;
  /// Refused only after waiting for over an eighth of the latency target.
  int refused_late = 0;
  /// Engines' memory exceeded, in steps of 10 ms.
  int overrun_steps = 0;
  /// Steps in which an engine had work.
  int engine_steps = 0;
  /// Late ones begun while another could still be on time.
  int late_before_on_time = 0;
  /// Share of streams on time at the daemon with the smallest, as a part of
  /// that of all.
  double least_served_daemon = 1;
  std::vector<absl::Duration> returns;
};

/// Plays arrivals against decode engines of one size, on a virtual clock and
/// without a network: streams hold their prompt and what they have generated.
class burst_model {
 public:
  static constexpr double kPrompt = 5200;
  static constexpr double kOutput = 4700;
  static constexpr double kTokensPerMs = 1.4;
  static constexpr int kSlots = 48;
  static constexpr double kKvTokens = 75000;
  static constexpr absl::Duration kTarget = absl::Milliseconds(900);
  /// Time in which a prompt is read, before its decode engine is needed.
  static constexpr absl::Duration kPrefill = absl::Milliseconds(90);
  static constexpr absl::Duration kStep = absl::Milliseconds(10);

  /// How late a daemon hears of what another one has promised.
  static constexpr absl::Duration kShareDelay = kStep;

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

  /// Streams that the engines can carry in a second when their memory is full.
  double Capacity() const {
    const double seconds = kOutput / kTokensPerMs / 1000;
    return engines_ * kKvTokens / (kPrompt + kOutput / 2) / seconds;
  }

  burst_result Play(const std::vector<arrival_part>& pattern) {
    for (const arrival_part& part : pattern) {
      const absl::Time end = now_ + part.length;
      double due = 0;
      while (now_ < end) {
        due += part.per_second * absl::ToDoubleSeconds(kStep);
        for (; due >= 1; --due) Arrive();
        Step();
      }
    }
    for (int i = 0; i < 2000; ++i) Step();
    for (const auto& [daemon, arrived] : arrived_) {
      result_.least_served_daemon =
          std::min(result_.least_served_daemon,
                   1.0 * on_time_[daemon] / arrived * result_.arrived /
                       std::max(1, result_.on_time));
    }
    return result_;
  }

 private:
  struct stream {
    dispatch_state* daemon = nullptr;
    std::string engine;
    absl::Time began;
    double prompt = 0;
    double length = 0;
    length_distribution expected;
  };

  double Draw(double mean, double deviation) {
    std::normal_distribution<double> normal;
    return mean *
           std::exp(deviation * normal(random_) - deviation * deviation / 2);
  }

  void Arrive() {
    ++result_.arrived;
    const std::string id = std::to_string(result_.arrived);
    stream made;
    made.daemon = daemons_[std::uniform_int_distribution<size_t>(
                               0, daemons_.size() - 1)(random_)]
                      .get();
    made.prompt = Draw(kPrompt, 0.4);
    made.length = Draw(kOutput, 0.4);
    const double estimate = made.length * Draw(1, 0.4);
    made.expected = ExpectLength(lengths_, estimate, 9500);
    LearnLength(lengths_, estimate, made.length);
    ++arrived_[made.daemon];
    waiting_stream waiting;
    waiting.request_id = id;
    waiting.service = "model";
    waiting.prompt = made.prompt;
    waiting.output = ExpectRemaining(made.expected, 0, 9500);
    waiting.start_by = now_ + 0.6 * kTarget;
    waiting.give_up = now_ + 3 * kTarget;
    const absl::Time arrived = now_;
    waiting.done = [this, id, made,
                    arrived](absl::StatusOr<engine_promise> promise) {
      if (!promise.ok()) return Refused(promise.status(), arrived);
      const bool on_time = now_ <= arrived + 0.6 * kTarget;
      ++(on_time ? result_.on_time : result_.late);
      if (on_time) ++on_time_[made.daemon];
      if (!on_time && !made.daemon->waiting.empty()) {
        ++result_.late_before_on_time;
      }
      stream begun = made;
      begun.engine = promise->decode.id;
      begun.began = now_ + kPrefill;
      running_[id] = begun;
    };
    AwaitEngines(*made.daemon, std::move(waiting), now_);
  }

  void Refused(const absl::Status& why, absl::Time arrived) {
    ++result_.refused;
    if (now_ - arrived > kTarget / 8) ++result_.refused_late;
    result_.returns.push_back(RetryAfterOf(why));
  }

  void Step() {
    now_ += kStep;
    std::map<std::string, double> held;
    for (auto next = running_.begin(); next != running_.end();) {
      const auto& [id, run] = *next;
      if (now_ < run.began) {
        ++next;
        continue;
      }
      const double generated =
          absl::ToDoubleMilliseconds(now_ - run.began) * kTokensPerMs;
      if (generated >= run.length) {
        EndRun(run.daemon->ledger, id);
        next = running_.erase(next);
        continue;
      }
      held[run.engine] += run.prompt + generated;
      AdvanceRun(run.daemon->ledger, id, run.prompt + generated,
                 ExpectRemaining(run.expected, generated, 9500), now_);
      ++next;
    }
    for (const auto& [engine, tokens] : held) {
      ++result_.engine_steps;
      if (tokens > kKvTokens) ++result_.overrun_steps;
    }
    Share();
    for (const auto& daemon : daemons_) AdmitWaiting(*daemon, now_);
  }

  // Tells all daemons what the others had under way a step ago.
  void Share() {
    for (const auto& to : daemons_) {
      for (const auto& [name, share] : told_) {
        if (name != to->name) to->ledger.peers[name] = {share, now_};
      }
    }
    told_.clear();
    if (daemons_.size() < 2) return;
    for (const auto& daemon : daemons_) {
      load_share& share = told_[daemon->name];
      share = OwnShare(daemon->ledger, now_);
      share.waiting = static_cast<int>(daemon->waiting.size());
      share.late = static_cast<int>(daemon->late.size());
    }
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::mt19937 random_;
  int engines_ = 0;
  std::vector<std::unique_ptr<dispatch_state>> daemons_;
  std::map<std::string, load_share> told_;
  std::map<const dispatch_state*, int> arrived_;
  std::map<const dispatch_state*, int> on_time_;
  length_statistics lengths_;
  std::map<std::string, stream> running_;
  burst_result result_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_TESTING_BURST_MODEL_H_
