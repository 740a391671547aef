#include "membership/lease_clock.h"

#include <gtest/gtest.h>

#include <thread>

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
constexpr absl::Duration kLease = absl::Seconds(5);
constexpr absl::Duration kStep = absl::Milliseconds(1);

TEST(lease_clock, ExpiresPermanentlyAfterAPause) {
  lease_clock lease(kLease, 7, kStart);
  EXPECT_TRUE(lease.IsValid(kStart + kLease));
  EXPECT_TRUE(lease.Renew(kStart + kLease));
  const absl::Time resumed_at = kStart + 2 * kLease + kStep;
  EXPECT_FALSE(lease.IsValid(resumed_at));
  EXPECT_FALSE(lease.IsValid(7, kStart + kLease))
      << "an expired lease is valid again for an earlier time";
  EXPECT_FALSE(lease.Renew(kStart + kLease));
  lease.Restart(8, resumed_at);
  EXPECT_TRUE(lease.IsValid(resumed_at));
  EXPECT_FALSE(lease.IsValid(7, resumed_at))
      << "the old incarnation is valid after a restart";
  lease.Expire();
  EXPECT_FALSE(lease.IsValid(8, resumed_at));
}

TEST(lease_clock, ThreadsNeverSeeAnExpiredIncarnationValid) {
  lease_clock lease(kLease, 1, kStart);
  std::atomic<bool> stop = false;
  std::atomic<uint64_t> last_expired = 0;
  std::atomic<int> false_valid_count = 0;
  std::thread checker([&] {
    while (!stop) {
      const uint64_t expired = last_expired;
      if (expired > 0 && lease.IsValid(expired, kStart)) ++false_valid_count;
    }
  });
  for (uint64_t incarnation = 1; incarnation < 20000; ++incarnation) {
    lease.Expire();
    last_expired = incarnation;
    lease.Restart(incarnation + 1, kStart);
  }
  stop = true;
  checker.join();
  EXPECT_EQ(false_valid_count, 0);
}

}  // namespace
}  // namespace anvilridge
