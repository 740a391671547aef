#include "log/line_budget.h"

#include "absl/time/time.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

// A flood at a steady rate: the notes of dropped lines must not double it.
TEST(line_budget_test, NotesCountAgainstTheBoundInASteadyFlood) {
  line_budget budget;
  int written = 0;
  int64_t told = 0;
  constexpr int kLines = 200'000;
  constexpr int kSeconds = 20;
  for (int i = 0; i < kLines; ++i) {
    const absl::Time now = kStart + absl::Seconds(kSeconds) * i / kLines;
    if (!TakeLine(budget, now)) continue;
    ++written;
    if (budget.dropped == 0) continue;
    ++written;
    told += TakeNote(budget);
  }
  // 2,000 at once and 500 a second, by the settings of the log.
  EXPECT_LE(written, 2000 + kSeconds * 500 + 1);
  EXPECT_GE(written, 2000 + (kSeconds - 5) * 500);
  EXPECT_GT(told, kLines / 2);
}

}  // namespace
}  // namespace anvilridge
