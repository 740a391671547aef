#include "requests/resume_token.h"

#include "base/error_kind.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr char kKey[] = "deployment";

TEST(resume_token_test, RoundTripsForItsTeamOnly) {
  const resume_token token{"0af1.1", "decode-3", 41};
  const std::string text = FormatResumeToken(token, "choir", kKey);
  const absl::StatusOr<resume_token> parsed =
      ParseResumeToken(text, "choir", kKey);
  ASSERT_TRUE(parsed.ok());
  EXPECT_EQ(parsed->request_id, "0af1.1");
  EXPECT_EQ(parsed->engine, "decode-3");
  EXPECT_EQ(parsed->index, 41);
  EXPECT_EQ(KindOf(ParseResumeToken(text, "band", kKey).status()),
            error_kind::forbidden);
}

TEST(resume_token_test, HostileTextIsRefused) {
  for (const char* text : {"", ":::", "a:b:-1:x", "a:b:1", "a/b:c:1:x",
                           "a:b:99999999999999999999:x"}) {
    EXPECT_FALSE(ParseResumeToken(text, "choir", kKey).ok()) << text;
  }
}

}  // namespace
}  // namespace anvilridge
