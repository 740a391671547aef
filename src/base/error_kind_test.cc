#include "base/error_kind.h"

#include <fstream>
#include <iterator>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"
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

TEST(error_kind_test, OperatorsPageHasEveryKindAndSaysWhatToDo) {
  std::ifstream file(ANVIL_SOURCE_DIR "/docs/OPERATIONS.md");
  const std::string page((std::istreambuf_iterator<char>(file)), {});
  for (int i = 0; i <= static_cast<int>(error_kind::internal); ++i) {
    const error_answer& answer = AnswerFor(static_cast<error_kind>(i));
    const std::string row =
        absl::StrCat("\n| `", answer.name, "` | ", answer.http_status, " | ",
                     RunStateName(answer.ran), " | ", answer.title, " | ");
    const size_t at = page.find(row);
    ASSERT_NE(at, std::string::npos) << row;
    EXPECT_NE(page[at + row.size()], '|') << "nothing to do for " << row;
  }
}

}  // namespace
}  // namespace anvilridge
