#include "dispatch/send_budget.h"

#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr char kService[] = "ledger";
constexpr send_budget_limits kLimits{0.2, 182, absl::Seconds(10)};
constexpr absl::Duration kStep = absl::Milliseconds(5);

// A fleet of daemons without a network. Requests arrive at the daemons in turn,
// one at each step, while upstreams work or refuse everything.
class simulated_fleet {
 public:
  explicit simulated_fleet(int daemons,
                           const send_budget_limits& limits = kLimits)
      : limits_(limits), budgets_(daemons) {
    for (send_budget& budget : budgets_) {
      RecordDaemonCount(budget.daemons, daemons, now_);
    }
  }

  // Runs until `duration` has passed. Each request that is refused is sent
  // again if the budget allows it.
  void Run(absl::Duration duration, bool refused,
           extra_send_need need = extra_send_need::replacement) {
    for (const absl::Time end = now_ + duration; now_ < end; now_ += kStep) {
      send_budget& budget = budgets_[requests_.size() % budgets_.size()];
      RecordRequest(budget, kService, limits_, now_);
      requests_.push_back(now_);
      if (refused &&
          ConsumeExtraSend(budget, kService, limits_, random_, now_, need)) {
        extra_sends_.push_back(now_);
      }
    }
  }

  // Lets `duration` pass without requests.
  void Pause(absl::Duration duration) { now_ += duration; }

  // Replaces each daemon's process by a new one that finds `daemons` daemons.
  void Restart(int daemons) {
    for (send_budget& budget : budgets_) {
      budget = send_budget();
      RecordDaemonCount(budget.daemons, daemons, now_);
    }
  }

  // Lets each daemon find `daemons` daemons from now on.
  void Find(int daemons) {
    for (send_budget& budget : budgets_) {
      RecordDaemonCount(budget.daemons, daemons, now_);
    }
  }

  size_t ExtraSends() const { return extra_sends_.size(); }

  // Checks the limit in each window that ends with an extra send.
  void ExpectLimitInEveryWindow() const {
    size_t first_extra = 0;
    size_t first_request = 0;
    size_t end_request = 0;
    for (size_t i = 0; i < extra_sends_.size(); ++i) {
      const absl::Time end = extra_sends_[i];
      const absl::Time begin = end - limits_.window;
      while (extra_sends_[first_extra] < begin) ++first_extra;
      while (requests_[first_request] < begin) ++first_request;
      while (end_request < requests_.size() && requests_[end_request] <= end) {
        ++end_request;
      }
      const auto requests = static_cast<double>(end_request - first_request);
      ASSERT_LE(static_cast<double>(i + 1 - first_extra),
                limits_.ratio * requests + limits_.slack)
          << "in the window that ends " << end - requests_[0]
          << " after the start";
    }
  }

 private:
  const send_budget_limits limits_;
  std::mt19937_64 random_{1};
  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::vector<send_budget> budgets_;
  std::vector<absl::Time> requests_;
  std::vector<absl::Time> extra_sends_;
};

// Guards against daemons that each keep to their part of the budget but exceed
// it together in some window.
TEST(send_budget_test, DaemonsTogetherKeepTheBoundInEveryWindow) {
  constexpr int kDaemons = 4;
  const send_budget_limits limits{0.2, 52, absl::Seconds(10)};
  std::mt19937_64 random(1);
  std::vector<send_budget> budgets(kDaemons);
  std::vector<std::pair<absl::Time, bool>> events;  // time, is extra send
  absl::Time now = absl::FromUnixSeconds(1000);
  for (send_budget& budget : budgets) {
    RecordDaemonCount(budget.daemons, kDaemons, now);
  }
  for (int i = 0; i < 12000; ++i) {
    now += absl::Milliseconds(5);
    // Budget from before a pause must not accumulate.
    if (i == 6000) now += absl::Seconds(20);
    send_budget& budget = budgets[i % kDaemons];
    RecordRequest(budget, kService, limits, now);
    events.emplace_back(now, false);
    // Every request fails and needs an extra send.
    if (ConsumeExtraSend(budget, kService, limits, random, now)) {
      events.emplace_back(now, true);
    }
  }
  size_t begin = 0;
  int requests = 0;
  int extra_sends = 0;
  for (const auto& [time, is_extra] : events) {
    ++(is_extra ? extra_sends : requests);
    while (events[begin].first < time - limits.window) {
      --(events[begin].second ? extra_sends : requests);
      ++begin;
    }
    ASSERT_LE(extra_sends, limits.ratio * requests + limits.slack);
  }
  EXPECT_GT(extra_sends, 0);
}

// Guards against a long failure in which callers get less than the ratio, and
// against more than the budget, for any number of daemons.
TEST(send_budget_test, AnyNumberOfDaemonsUsesAndKeepsTheBudget) {
  for (const int daemons : {1, 4, 29, 100, 400, 2000}) {
    SCOPED_TRACE(daemons);
    simulated_fleet fleet(daemons);
    fleet.Run(absl::Minutes(1), false);
    fleet.Run(absl::Seconds(30), true);
    fleet.Pause(absl::Seconds(20));
    fleet.Run(absl::Seconds(30), true);
    fleet.ExpectLimitInEveryWindow();
    constexpr double kRequests = 60 * 200;
    EXPECT_GT(fleet.ExtraSends(), kRequests * kLimits.ratio * 0.8);
  }
}

// Guards against repeats beyond the budget when daemons are killed while
// upstreams refuse: each new process spent the whole part of its daemon again.
TEST(send_budget_test, RestartedDaemonsDoNotSpendTheirPartAgain) {
  for (const int restarts : {1, 3, 8, 40}) {
    simulated_fleet fleet(29);
    fleet.Run(absl::Minutes(1), false);
    for (int i = 0; i < restarts; ++i) {
      fleet.Run(absl::Seconds(10) / restarts, true);
      fleet.Restart(29);
    }
    fleet.Run(absl::Seconds(20), true);
    fleet.ExpectLimitInEveryWindow();
  }
}

// Guards against a budget that restarts break with other limits than those of
// one deployment.
TEST(send_budget_test, RestartedDaemonsKeepAnyLimits) {
  for (const send_budget_limits& limits :
       {send_budget_limits{0.2, 0, absl::Seconds(10)},
        send_budget_limits{0, 50, absl::Seconds(60)},
        send_budget_limits{0.1, 20, absl::Seconds(2)},
        send_budget_limits{0.5, 3, absl::Seconds(1)},
        send_budget_limits{1, 400, absl::Seconds(30)}}) {
    for (const int daemons : {1, 3, 29, 300}) {
      SCOPED_TRACE(testing::Message()
                   << daemons << " daemons, ratio " << limits.ratio
                   << ", slack " << limits.slack << ", window "
                   << limits.window);
      simulated_fleet fleet(daemons, limits);
      fleet.Run(2 * limits.window, false);
      for (int i = 0; i < 8; ++i) {
        fleet.Run(limits.window / 4, true);
        fleet.Restart(daemons);
      }
      fleet.Run(2 * limits.window, true);
      fleet.ExpectLimitInEveryWindow();
      EXPECT_GT(fleet.ExtraSends(), 0u);
    }
  }
}

// Guards against repeats beyond the budget when daemons start at once: each
// took the part of one of few daemons until it had found the others.
TEST(send_budget_test, StartingDaemonsDoNotSpendPartsOfDaemonsNotFoundYet) {
  for (const int found : {1, 4}) {
    simulated_fleet fleet(29);
    fleet.Restart(found);
    fleet.Run(absl::Seconds(2), true);
    fleet.Find(29);
    fleet.Run(absl::Seconds(20), true);
    fleet.ExpectLimitInEveryWindow();
  }
}

// Guards against repeats beyond the budget when daemons are cut off from each
// other: each took the parts of all those that it no longer heard.
TEST(send_budget_test, DaemonsCutOffDoNotSpendPartsOfOthers) {
  simulated_fleet fleet(29);
  fleet.Run(absl::Minutes(1), false);
  fleet.Find(1);
  fleet.Run(absl::Seconds(30), false);
  fleet.Run(absl::Seconds(20), true);
  fleet.Find(29);
  fleet.Run(absl::Seconds(20), true);
  fleet.ExpectLimitInEveryWindow();
}

TEST(send_budget_test, EachServiceHasItsOwnBudget) {
  send_budget budget;
  std::mt19937_64 random(1);
  const send_budget_limits limits{0, 2, absl::Seconds(10)};
  absl::Time now = absl::FromUnixSeconds(1000);
  RecordDaemonCount(budget.daemons, 1, now);
  now += absl::Minutes(1);
  EXPECT_TRUE(ConsumeExtraSend(budget, "a", limits, random, now));
  EXPECT_FALSE(ConsumeExtraSend(budget, "a", limits, random, now));
  EXPECT_TRUE(ConsumeExtraSend(budget, "b", limits, random, now));
}

TEST(send_budget_test, ExtraSendsAreAvailableAgainAfterTheWindow) {
  send_budget budget;
  std::mt19937_64 random(1);
  // A quarter of the slack is earned within a window.
  const send_budget_limits limits{0, 4, absl::Seconds(10)};
  absl::Time now = absl::FromUnixSeconds(1000);
  RecordDaemonCount(budget.daemons, 1, now);
  now += absl::Hours(1);
  // Half of the slack is saved up, however long nothing was sent.
  EXPECT_TRUE(ConsumeExtraSend(budget, "a", limits, random, now));
  EXPECT_TRUE(ConsumeExtraSend(budget, "a", limits, random, now));
  EXPECT_FALSE(ConsumeExtraSend(budget, "a", limits, random, now));
  now += absl::Seconds(9);
  EXPECT_FALSE(ConsumeExtraSend(budget, "a", limits, random, now));
  now += absl::Seconds(2);
  EXPECT_TRUE(ConsumeExtraSend(budget, "a", limits, random, now));
}

// A slack of which only one extra send can be saved up comes back later, but
// comes back.
TEST(send_budget_test, ASmallSlackIsAvailableAgainAfterTwoWindows) {
  send_budget budget;
  std::mt19937_64 random(1);
  const send_budget_limits limits{0, 2, absl::Seconds(10)};
  absl::Time now = absl::FromUnixSeconds(1000);
  RecordDaemonCount(budget.daemons, 1, now);
  now += absl::Hours(1);
  EXPECT_TRUE(ConsumeExtraSend(budget, "a", limits, random, now));
  now += absl::Seconds(9);
  EXPECT_FALSE(ConsumeExtraSend(budget, "a", limits, random, now));
  now += absl::Seconds(12);
  EXPECT_TRUE(ConsumeExtraSend(budget, "a", limits, random, now));
}

TEST(send_budget_test, ADaemonStartsWithoutExtraSends) {
  send_budget budget;
  std::mt19937_64 random(1);
  absl::Time now = absl::FromUnixSeconds(1000);
  RecordDaemonCount(budget.daemons, 1, now);
  EXPECT_FALSE(ConsumeExtraSend(budget, kService, kLimits, random, now));
  now += kCountSettleTime - absl::Milliseconds(1);
  EXPECT_FALSE(ConsumeExtraSend(budget, kService, kLimits, random, now));
  now += absl::Seconds(1);
  EXPECT_TRUE(ConsumeExtraSend(budget, kService, kLimits, random, now));
}

// Returns how many extra sends for `need` are granted in a row at `now`.
int ConsumeAll(send_budget& budget, const send_budget_limits& limits,
               extra_send_need need, absl::BitGenRef random, absl::Time now) {
  int granted = 0;
  while (ConsumeExtraSend(budget, kService, limits, random, now, need)) {
    ++granted;
  }
  return granted;
}

// Guards against requests that can't be replaced because others were sent a
// second time only for being slow.
TEST(send_budget_test, AlternativesLeaveHalfOfWhatIsSavedToReplacements) {
  std::mt19937_64 random(1);
  for (const auto& [slack, alternatives, replacements] :
       {std::tuple(2, 1, 0), std::tuple(4, 1, 1), std::tuple(8, 2, 2),
        std::tuple(16, 4, 4), std::tuple(80, 20, 20)}) {
    SCOPED_TRACE(slack);
    send_budget budget;
    const send_budget_limits limits{0, slack, absl::Seconds(10)};
    absl::Time now = absl::FromUnixSeconds(1000);
    RecordDaemonCount(budget.daemons, 1, now);
    ConsumeAll(budget, limits, extra_send_need::replacement, random, now);
    now += absl::Hours(1);
    EXPECT_EQ(
        ConsumeAll(budget, limits, extra_send_need::alternative, random, now),
        alternatives);
    EXPECT_EQ(
        ConsumeAll(budget, limits, extra_send_need::replacement, random, now),
        replacements);
  }
}

// Guards against an alternative that uses up, by chance, the part of a send
// that a replacement could still have had.
TEST(send_budget_test, AlternativesWaitUntilAPartOfASendIsSavedUp) {
  std::mt19937_64 random(1);
  const send_budget_limits limits{0, 2, absl::Seconds(10)};
  absl::Time now = absl::FromUnixSeconds(1000);
  send_budget budget;
  // A tenth of a send can be saved up.
  RecordDaemonCount(budget.daemons, 10, now);
  ConsumeExtraSend(budget, kService, limits, random, now);
  now += absl::Seconds(15);
  const double part = SendCredit(budget, kService, limits, now).available;
  EXPECT_GT(part, 0);
  EXPECT_LT(part, 0.1);
  EXPECT_EQ(
      ConsumeAll(budget, limits, extra_send_need::alternative, random, now), 0);
  EXPECT_EQ(SendCredit(budget, kService, limits, now).available, part);
  now += absl::Hours(1);
  ConsumeExtraSend(budget, kService, limits, random, now,
                   extra_send_need::alternative);
  EXPECT_EQ(SendCredit(budget, kService, limits, now).available, 0);
}

// Guards against alternatives beyond the budget, alone and with replacements.
TEST(send_budget_test, AlternativesKeepTheBoundInEveryWindow) {
  for (const int daemons : {1, 4, 29, 100, 400}) {
    SCOPED_TRACE(daemons);
    simulated_fleet fleet(daemons);
    fleet.Run(absl::Minutes(1), false);
    fleet.Run(absl::Seconds(30), true, extra_send_need::alternative);
    EXPECT_GT(fleet.ExtraSends(), 0u);
    for (int i = 0; i < 20; ++i) {
      fleet.Run(absl::Seconds(1), true, extra_send_need::replacement);
      fleet.Run(absl::Seconds(1), true, extra_send_need::alternative);
    }
    fleet.ExpectLimitInEveryWindow();
  }
}

// A deployment without slack has the ratio alone.
TEST(send_budget_test, RequestsEarnExtraSendsWithoutSlack) {
  send_budget budget;
  std::mt19937_64 random(1);
  const send_budget_limits limits{0.2, 0, absl::Seconds(10)};
  absl::Time now = absl::FromUnixSeconds(1000);
  RecordDaemonCount(budget.daemons, 1, now);
  now += absl::Minutes(1);
  int extra_sends = 0;
  for (int i = 0; i < 10000; ++i) {
    RecordRequest(budget, kService, limits, now);
    extra_sends += ConsumeExtraSend(budget, kService, limits, random, now);
  }
  EXPECT_GT(extra_sends, 1500);
  EXPECT_LT(extra_sends, 2000);
}

}  // namespace
}  // namespace anvilridge
