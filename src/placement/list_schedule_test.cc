#include "placement/list_schedule.h"

#include <gtest/gtest.h>

#include <vector>

namespace anvilridge {
namespace {

const absl::Time kListed = absl::FromUnixSeconds(1'000);

struct schedule_case {
  const char* name;
  list_situation situation;
  absl::Duration interval;
};

TEST(list_schedule, KeepsToTheBudgetUnlessSomethingMustBeFound) {
  constexpr size_t kRound = 52'000;
  const absl::Time long_ago = kListed - absl::Hours(1);
  const std::vector<schedule_case> cases = {
      {"few rows", {300, 370, long_ago}, absl::Milliseconds(500)},
      {"small deployment", {kRound, 4, long_ago}, absl::Seconds(1)},
      {"large one in routine", {kRound, 370, long_ago}, absl::Seconds(52)},
      {"daemon just lost", {kRound, 370, kListed}, absl::Seconds(2)},
      {"lost just before the grace ends",
       {kRound, 370, kListed - absl::Milliseconds(19'999)},
       absl::Seconds(2)},
      {"grace over",
       {kRound, 370, kListed - absl::Seconds(20)},
       absl::Seconds(52)},
      {"orphan waits", {kRound, 370, long_ago, true}, absl::Seconds(2)},
      {"promise lapses",
       {kRound, 370, long_ago, false, kListed + absl::Seconds(5)},
       absl::Milliseconds(4'500)},
      {"promise lapses at once",
       {kRound, 370, long_ago, false, kListed},
       absl::Milliseconds(500)},
  };
  for (const schedule_case& c : cases) {
    EXPECT_EQ(NextList({}, c.situation, kListed) - kListed, c.interval)
        << c.name;
  }
}

TEST(list_schedule, NextLapseIsTheEarliestPromiseNotShown) {
  decode_ledger ledger;
  EXPECT_EQ(NextLapse(ledger), absl::InfiniteFuture());
  ledger.holds["a"].promised_until = kListed + absl::Seconds(3);
  ledger.holds["b"].promised_until = kListed + absl::Seconds(2);
  ledger.holds["shown"].promised_until = kListed;
  ledger.holds["shown"].seen = true;
  EXPECT_EQ(NextLapse(ledger), kListed + absl::Seconds(2));
}

}  // namespace
}  // namespace anvilridge
