#include "placement/list_schedule.h"

#include <gtest/gtest.h>

#include <vector>

namespace anvilridge {
namespace {

const absl::Time kListed = absl::FromUnixSeconds(1'000);

struct schedule_case {
  const char* name;
  list_conditions situation;
  absl::Duration interval;
};

TEST(list_schedule, KeepsToBandwidthUnlessOrphanOrOverduePlace) {
  constexpr size_t kRound = 52'000;
  const absl::Time long_ago = kListed - absl::Hours(1);
  const std::vector<schedule_case> cases = {
      {"few rows", {300, 370, long_ago}, absl::Milliseconds(500)},
      {"small deployment", {kRound, 4, long_ago}, absl::Seconds(1)},
      {"large deployment", {kRound, 370, long_ago}, absl::Seconds(52)},
      {"daemon just lost", {kRound, 370, kListed}, absl::Seconds(2)},
      {"daemon lost 5 s ago",
       {kRound, 370, kListed - absl::Seconds(5)},
       absl::Seconds(5)},
      {"settle time almost over",
       {kRound, 370, kListed - absl::Milliseconds(19'999)},
       absl::Seconds(8)},
      {"daemon just lost, small deployment",
       {kRound, 4, kListed},
       absl::Seconds(1)},
      {"settle time over",
       {kRound, 370, kListed - absl::Seconds(20)},
       absl::Seconds(52)},
      {"orphan to be cancelled",
       {kRound, 370, long_ago, true},
       absl::Seconds(2)},
      {"place overdue later",
       {kRound, 370, long_ago, false, kListed + absl::Seconds(13)},
       absl::Seconds(13)},
      {"place overdue now",
       {kRound, 370, long_ago, false, kListed},
       absl::Seconds(10)},
  };
  for (const schedule_case& c : cases) {
    EXPECT_EQ(NextListTime({}, c.situation, kListed) - kListed, c.interval)
        << c.name;
  }
}

TEST(list_schedule, PlaceIsOverdueAfterLatestEndPlusMargin) {
  decode_ledger ledger;
  EXPECT_EQ(NextOverdueTime({}, ledger), absl::InfiniteFuture());
  ledger.reservations["a"].latest_end = kListed + absl::Seconds(3);
  ledger.reservations["a"].longest_use = absl::Seconds(8);
  ledger.reservations["b"].latest_end = kListed + absl::Seconds(9);
  EXPECT_EQ(NextOverdueTime({}, ledger), kListed + absl::Seconds(12));
}

}  // namespace
}  // namespace anvilridge
