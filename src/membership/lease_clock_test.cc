#include "membership/lease_clock.h"

#include <gtest/gtest.h>

#include <thread>

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr absl::Duration kLease = absl::Seconds(5);
constexpr absl::Duration kStep = absl::Milliseconds(1);

TEST(lease_clock, ExpiresForGoodAfterAPause) {
  lease_clock lease(kLease, 7, kStart);
  EXPECT_TRUE(lease.Valid(kStart + kLease));
  EXPECT_TRUE(lease.Renew(kStart + kLease));
  const absl::Time thawed = kStart + 2 * kLease + kStep;
  EXPECT_FALSE(lease.Valid(thawed));
  EXPECT_FALSE(lease.Valid(7, kStart + kLease)) << "seen expired once";
  EXPECT_FALSE(lease.Renew(kStart + kLease));
  lease.Restart(8, thawed);
  EXPECT_TRUE(lease.Valid(thawed));
  EXPECT_FALSE(lease.Valid(7, thawed)) << "what the old run holds stays over";
  lease.Expire();
  EXPECT_FALSE(lease.Valid(8, thawed));
}

TEST(lease_clock, ThreadsNeverSeeAnExpiredIncarnationValid) {
  lease_clock lease(kLease, 1, kStart);
  std::atomic<bool> stop = false;
  std::atomic<uint64_t> over = 0;
  std::atomic<int> faults = 0;
  std::thread checker([&] {
    while (!stop) {
      const uint64_t gone = over;
      if (gone > 0 && lease.Valid(gone, kStart)) ++faults;
    }
  });
  for (uint64_t incarnation = 1; incarnation < 20000; ++incarnation) {
    lease.Expire();
    over = incarnation;
    lease.Restart(incarnation + 1, kStart);
  }
  stop = true;
  checker.join();
  EXPECT_EQ(faults, 0);
}

}  // namespace
}  // namespace anvilridge
