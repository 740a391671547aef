#include "base/error_kind.h"

#include <set>
#include <string>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(error_kind_test, EveryKindHasItsOwnRow) {
  std::set<std::string> names;
  for (int i = 0; i <= static_cast<int>(error_kind::internal); ++i) {
    const auto kind = static_cast<error_kind>(i);
    const error_answer& answer = AnswerFor(kind);
    EXPECT_EQ(answer.kind, kind);
    EXPECT_TRUE(names.insert(std::string(answer.name)).second) << answer.name;
    EXPECT_EQ(ErrorKindNamed(answer.name), kind);
  }
}

TEST(error_kind_test, StatusCarriesKindRunStateAndDelay) {
  const absl::Status plain = MakeError(error_kind::overloaded, "full");
  EXPECT_EQ(KindOf(plain), error_kind::overloaded);
  EXPECT_EQ(RunStateOf(plain), run_state::not_run);
  EXPECT_EQ(RetryAfterOf(plain), absl::Seconds(1));
  const absl::Status sent = MakeError(error_kind::upstream_failed, "cut",
                                      run_state::ran, absl::Seconds(7));
  EXPECT_EQ(RunStateOf(sent), run_state::ran);
  EXPECT_EQ(RetryAfterOf(sent), absl::Seconds(7));
}

TEST(error_kind_test, ForeignStatusIsInternalAndUnknown) {
  const absl::Status foreign = absl::CancelledError("x");
  EXPECT_EQ(KindOf(foreign), error_kind::internal);
  EXPECT_EQ(RunStateOf(foreign), run_state::unknown);
}

}  // namespace
}  // namespace anvilridge
