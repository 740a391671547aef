// Whatever the order of messages, loss, cuts, freezes and restarts of the
// daemons, the use of a cap stays within its bound in every window.
#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "gtest/gtest.h"
#include "teams/team_usage.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(20);
constexpr absl::Duration kResend = absl::Milliseconds(300);
const cap_tolerance kTolerance = {absl::Seconds(8), 0.1, 120'000};

// One daemon, its messages on their way and its requests that wait.
struct model_daemon {
  std::unique_ptr<team_usage> usage;
  uint64_t incarnation = 0;
  absl::Time frozen_until = absl::InfinitePast();
  absl::Time down_until = absl::InfinitePast();
  absl::Time last_message = absl::InfinitePast();
  bool changed = false;
  int group = 0;
  struct waiting_request {
    team_charge charge;
    double units = 0;
    absl::Time send;
  };
  std::deque<waiting_request> waiting;
  // Number of messages sent, and last one received of each daemon.
  uint64_t sequence = 0;
  std::map<size_t, std::pair<uint64_t, uint64_t>> received;
};

class usage_model {
 public:
  usage_model(unsigned seed, int daemons, double rate) : random_(seed) {
    team_.name = "north";
    team_.key = TeamKey(team_.name);
    team_.cap = usage_cap{rate, rate, true, 200};
    daemons_.resize(static_cast<size_t>(daemons));
    for (model_daemon& daemon : daemons_) Restart(daemon);
  }

  double Bound() const {
    return (team_.cap->rate * 8 + team_.cap->burst) * 1.1 + kTolerance.slack;
  }

  // Runs for a minute of virtual time and returns the most units that were sent
  // in any window.
  double Run() {
    for (int i = 0; i < 3000; ++i) Step();
    return most_;
  }

 private:
  struct datagram {
    absl::Time due;
    size_t from = 0;
    size_t to = 0;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    daemon_use use;
  };

  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(random_);
  }
  double Draw(double least, double most) {
    return std::uniform_real_distribution<>(least, most)(random_);
  }

  void Restart(model_daemon& daemon) {
    daemon.waiting.clear();
    daemon.received.clear();
    daemon.usage = std::make_unique<team_usage>();
    daemon.usage->SetTeams({&team_, 1}, kTolerance, 1, now_);
    daemon.usage->SetDaemonCount(static_cast<int>(daemons_.size()), now_);
    daemon.incarnation = ++incarnations_;
  }

  bool Works(const model_daemon& daemon) const {
    return daemon.frozen_until <= now_ && daemon.down_until <= now_;
  }

  // Faults begin about every three seconds.
  void Disturb() {
    if (!Chance(0.007)) return;
    const double kind = Draw(0, 4);
    const absl::Duration time = absl::Seconds(Draw(0.3, 6));
    for (model_daemon& daemon : daemons_) {
      if (kind < 1 && Chance(0.4)) {
        daemon.group = std::uniform_int_distribution<>(0, 3)(random_);
      } else if (kind < 2) {
        daemon.group = 0;
      } else if (kind < 3 && Chance(0.3)) {
        daemon.frozen_until = now_ + time;
      } else if (kind >= 3 && Chance(0.4)) {
        daemon.down_until = now_ + time / 4;
        Restart(daemon);
      }
    }
    loss_ = Chance(0.3) ? 0.2 : 0.02;
    // A hot team: up to seven times the usual use, which is the cap over 1.8.
    demand_ = Chance(0.3) ? 7 : Draw(0.5, 2);
  }

  void Deliver() {
    for (size_t i = 0; i < datagrams_.size();) {
      datagram& message = datagrams_[i];
      model_daemon& receiver = daemons_[message.to];
      // A frozen daemon receives later what has arrived.
      if (message.due > now_ || receiver.frozen_until > now_) {
        ++i;
        continue;
      }
      // Messages that others have overtaken are dropped by the exchange.
      auto& received = receiver.received[message.from];
      const std::pair number(message.incarnation, message.sequence);
      if (receiver.down_until <= now_ && received < number) {
        received = number;
        receiver.usage->SetPeer(std::to_string(message.from),
                                message.incarnation, message.use, false, now_);
      }
      message = std::move(datagrams_.back());
      datagrams_.pop_back();
    }
  }

  void Announce(size_t index) {
    model_daemon& daemon = daemons_[index];
    if (!daemon.changed && now_ - daemon.last_message < kResend) return;
    daemon.changed = false;
    daemon.last_message = now_;
    ++daemon.sequence;
    const daemon_use use = daemon.usage->Own(now_);
    for (size_t to = 0; to < daemons_.size(); ++to) {
      if (to == index || daemons_[to].group != daemon.group) continue;
      if (Chance(loss_)) continue;
      datagrams_.push_back({now_ + absl::Milliseconds(Draw(0, 40)), index, to,
                            daemon.incarnation, daemon.sequence, use});
    }
  }

  void Send(double units) {
    sent_.emplace_back(now_, units);
    in_window_ += units;
  }

  void Serve(model_daemon& daemon) {
    // The largest share of the demand goes to a few daemons.
    const double share = &daemon < &daemons_[daemons_.size() / 4 + 1] ? 2 : 0.7;
    double due = demand_ * team_.cap->rate / 1.8 /
                 static_cast<double>(daemons_.size()) * share *
                 absl::ToDoubleSeconds(kStep);
    const double size = Draw(2000, 20'000);
    if (Chance(std::min(1.0, due / size))) {
      auto charge = daemon.usage->Admit(team_, size, now_);
      if (charge.ok()) {
        const absl::Duration wait =
            Chance(0.3) ? absl::Seconds(Draw(0, 3)) : absl::ZeroDuration();
        daemon.waiting.push_back({*std::move(charge), size, now_ + wait});
        daemon.changed = true;
      }
    }
    for (size_t i = 0; i < daemon.waiting.size();) {
      auto& request = daemon.waiting[i];
      if (request.send > now_) {
        ++i;
        continue;
      }
      request.charge.RecordSend(now_);
      if (Chance(0.05)) {
        request.charge.RecordNotRun(now_);
      } else {
        Send(request.units);
      }
      daemon.changed = true;
      std::swap(request, daemon.waiting.back());
      daemon.waiting.pop_back();
    }
  }

  void Step() {
    now_ += kStep;
    Disturb();
    Deliver();
    for (size_t i = 0; i < daemons_.size(); ++i) {
      if (!Works(daemons_[i])) continue;
      Serve(daemons_[i]);
      Announce(i);
    }
    while (!sent_.empty() && sent_.front().first + kTolerance.window < now_) {
      in_window_ -= sent_.front().second;
      sent_.pop_front();
    }
    most_ = std::max(most_, in_window_);
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::mt19937 random_;
  fleet_team team_;
  std::vector<model_daemon> daemons_;
  std::vector<datagram> datagrams_;
  uint64_t incarnations_ = 0;
  double loss_ = 0.02;
  double demand_ = 1;
  std::deque<std::pair<absl::Time, double>> sent_;
  double in_window_ = 0;
  double most_ = 0;
};

// Guards against use beyond the bound that daemons are held to.
TEST(team_usage_property_test, UseStaysWithinTheBound) {
  // More seeds by hand.
  const char* const wanted = std::getenv("TEAM_USAGE_SEEDS");
  unsigned seeds = 60;
  if (wanted != nullptr) {
    ASSERT_TRUE(absl::SimpleAtoi(wanted, &seeds)) << wanted;
  }
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    const int daemons = 2 + static_cast<int>(seed % 5) * 4;
    const double rate = seed % 3 == 0 ? 400'000 : 29'000;
    usage_model model(seed, daemons, rate);
    const double most = model.Run();
    EXPECT_LE(most, model.Bound())
        << "seed " << seed << ", " << daemons << " daemons, rate " << rate;
  }
}

}  // namespace
}  // namespace anvilridge
