#include "dispatch/daemon_count.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

TEST(daemon_count_test, IsUnknownUntilItHasSettled) {
  daemon_count count;
  EXPECT_EQ(SettledDaemonCount(count, kStart), std::nullopt);
  RecordDaemonCount(count, 1, kStart);
  RecordDaemonCount(count, 7, kStart + absl::Seconds(1));
  EXPECT_EQ(SettledDaemonCount(count, kStart + absl::Seconds(2)), std::nullopt);
  EXPECT_EQ(SettledDaemonCount(count, kStart + kCountSettleTime), 7);
}

// Guards against daemons that take the whole of a shared limit because a cut
// hides the others from them.
TEST(daemon_count_test, AFallenCountIsHeld) {
  daemon_count count;
  RecordDaemonCount(count, 29, kStart);
  const absl::Time cut = kStart + absl::Hours(1);
  RecordDaemonCount(count, 13, cut);
  RecordDaemonCount(count, 1, cut + absl::Seconds(4));
  EXPECT_EQ(SettledDaemonCount(count, cut + absl::Minutes(9)), 29);
  RecordDaemonCount(count, 29, cut + absl::Minutes(9));
  EXPECT_EQ(SettledDaemonCount(count, cut + absl::Minutes(30)), 29);
}

TEST(daemon_count_test, AFallenCountIsBelievedInTheEnd) {
  daemon_count count;
  RecordDaemonCount(count, 29, kStart);
  const absl::Time removal = kStart + absl::Hours(1);
  RecordDaemonCount(count, 20, removal);
  const absl::Time second_removal = removal + absl::Minutes(5);
  RecordDaemonCount(count, 10, second_removal);
  const absl::Duration later = kCountHoldTime + absl::Seconds(1);
  EXPECT_EQ(SettledDaemonCount(count, removal + later), 20);
  EXPECT_EQ(SettledDaemonCount(count, second_removal + later), 10);
  RecordDaemonCount(count, 9, second_removal + later);
  EXPECT_EQ(SettledDaemonCount(count, second_removal + later), 10);
}

TEST(daemon_count_test, ARisenCountIsBelievedAtOnce) {
  daemon_count count;
  RecordDaemonCount(count, 4, kStart);
  RecordDaemonCount(count, 8, kStart + absl::Minutes(1));
  EXPECT_EQ(SettledDaemonCount(count, kStart + absl::Minutes(1)), 8);
}

}  // namespace
}  // namespace anvilridge
