#include "requests/transfer_timing.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

using absl::Milliseconds;

transfer_timing Learned(std::initializer_list<int> millis, int pieces) {
  transfer_timing timing;
  for (const int time : millis) {
    LearnTransfer(timing, pieces, Milliseconds(time));
  }
  return timing;
}

TEST(transfer_timing_test, TimeoutFollowsWhatTransfersTook) {
  const auto even = Learned({50, 50, 50, 50, 50, 50, 50, 50}, 100);
  const auto uneven = Learned({50, 90, 10, 90, 10, 90, 10, 90}, 100);
  EXPECT_EQ(TransferTimeout(Learned({50, 50, 50}, 100), 100), kLongestTransfer);
  EXPECT_EQ(TransferTimeout(even, 10), Milliseconds(200));
  EXPECT_GE(TransferTimeout(even, 200), Milliseconds(300));
  EXPECT_LE(TransferTimeout(even, 200), Milliseconds(400));
  EXPECT_GT(TransferTimeout(uneven, 200), TransferTimeout(even, 200));
  EXPECT_EQ(TransferTimeout(even, 100'000), kLongestTransfer);
}

TEST(transfer_timing_test, SlowerLinkIsLearned) {
  auto timing = Learned({50, 50, 50, 50, 50, 50, 50, 50}, 100);
  for (int i = 0; i < 20; ++i) LearnTransfer(timing, 100, Milliseconds(400));
  EXPECT_GE(TransferTimeout(timing, 100), Milliseconds(1'000));
}

}  // namespace
}  // namespace anvilridge
