#include "requests/retry_budget.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(retry_budget_test, RetriesAreAShareOfTheRequestsWhenAllFail) {
  constexpr int kRequests = 10'000;
  constexpr int kRetriesWanted = 2;
  const struct {
    int percent;
    int burst;
    int retries;
  } cases[] = {{10, 10, 1010}, {25, 1, 2500}, {0, 10, 0}, {100, 5, 10'004}};
  for (const auto& row : cases) {
    retry_settings settings;
    settings.percent = row.percent;
    settings.burst = row.burst;
    retry_budgets budgets;
    int retries = 0;
    for (int i = 0; i < kRequests; ++i) {
      EarnRetries(budgets, "drafts", settings);
      for (int retry = 1; retry <= kRetriesWanted; ++retry) {
        if (TakeRetry(budgets, "drafts", retry, settings, 0)) ++retries;
      }
    }
    // What the first request earns doesn't fit beside the burst.
    EXPECT_NEAR(retries, row.retries, 1) << row.percent;
    EXPECT_LE(retries, kRequests * row.percent / 100 + row.burst);
  }
}

TEST(retry_budget_test, RoutesDoNotUseEachOthersAndPausesGrow) {
  retry_settings settings;
  settings.burst = 4;
  retry_budgets budgets;
  EarnRetries(budgets, "drafts", settings);
  EarnRetries(budgets, "ledger", settings);
  const struct {
    int retry;
    double jitter;
    absl::Duration pause;
  } cases[] = {{1, 0, absl::Milliseconds(20)},
               {2, 0, absl::Milliseconds(40)},
               {2, 1, absl::Milliseconds(20)},
               {40, 0, absl::Milliseconds(500)}};
  for (const auto& row : cases) {
    EXPECT_EQ(
        TakeRetry(budgets, "drafts", row.retry, settings, row.jitter).value(),
        row.pause);
  }
  EXPECT_FALSE(TakeRetry(budgets, "drafts", 1, settings, 0));
  EXPECT_TRUE(TakeRetry(budgets, "ledger", 1, settings, 0));
  EXPECT_FALSE(TakeRetry(budgets, "unknown", 1, settings, 0));
}

}  // namespace
}  // namespace anvilridge
