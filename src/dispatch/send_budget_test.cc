#include "dispatch/send_budget.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr char kService[] = "ledger";

// Guards against daemons that each keep to their part of the budget but exceed
// it together in some window.
TEST(send_budget_test, DaemonsTogetherKeepTheBoundInEveryWindow) {
  constexpr int kDaemons = 4;
  const send_budget_limits limits{0.2, 52, absl::Seconds(10)};
  std::vector<send_budget> budgets(kDaemons);
  std::vector<std::pair<absl::Time, bool>> events;  // time, is extra send
  absl::Time now = absl::FromUnixSeconds(1000);
  for (int i = 0; i < 12000; ++i) {
    now += absl::Milliseconds(5);
    // Budget from before a pause must not accumulate.
    if (i == 6000) now += absl::Seconds(20);
    send_budget& budget = budgets[i % kDaemons];
    RecordRequest(budget, kService, now);
    events.emplace_back(now, false);
    // Every request fails and needs an extra send.
    if (ConsumeExtraSend(budget, kService, limits, kDaemons, now)) {
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

TEST(send_budget_test, EachServiceHasItsOwnBudget) {
  send_budget budget;
  const send_budget_limits limits{0, 2, absl::Seconds(10)};
  const absl::Time now = absl::FromUnixSeconds(1000);
  EXPECT_TRUE(ConsumeExtraSend(budget, "a", limits, 1, now));
  EXPECT_FALSE(ConsumeExtraSend(budget, "a", limits, 1, now));
  EXPECT_TRUE(ConsumeExtraSend(budget, "b", limits, 1, now));
}

TEST(send_budget_test, ExtraSendsAreAvailableAgainAfterTheWindow) {
  send_budget budget;
  const send_budget_limits limits{0, 2, absl::Seconds(10)};
  absl::Time now = absl::FromUnixSeconds(1000);
  EXPECT_TRUE(ConsumeExtraSend(budget, "a", limits, 1, now));
  now += absl::Seconds(9);
  EXPECT_FALSE(ConsumeExtraSend(budget, "a", limits, 1, now));
  now += absl::Seconds(2);
  EXPECT_TRUE(ConsumeExtraSend(budget, "a", limits, 1, now));
}

}  // namespace
}  // namespace anvilridge
