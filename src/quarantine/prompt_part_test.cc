#include "quarantine/prompt_part.h"

#include "gtest/gtest.h"
#include "quarantine/quarantine_text.h"

namespace anvilridge {
namespace {

TEST(prompt_part_test, HexadecimalNamesAreKept) {
  EXPECT_EQ(PromptPartNamed("5c1e07a2"), 0x5c1e07a2u);
  EXPECT_EQ(PromptPartName(PromptPartNamed("5c1e07a2")), "5c1e07a2");
  EXPECT_EQ(PromptPartNames({{0xab, 0x1}}), "ab,1");
}

TEST(prompt_part_test, OtherNamesAreHashed) {
  const std::string text = "a name that is no number";
  EXPECT_EQ(PromptPartNamed(text), PromptPartNamed(text));
  EXPECT_NE(PromptPartNamed(text), PromptPartNamed("another"));
  // Seventeen digits.
  EXPECT_NE(PromptPartNamed("00000000000000001"), 1u);
}

TEST(prompt_part_test, OperatorsSeeVerdictsWithTheirEvidence) {
  const absl::Time now = absl::FromUnixSeconds(1000);
  quarantine_report report;
  for (uint32_t engine = 1; engine <= 3; ++engine) {
    AddCrashReport(report.decode.evidence,
                   {engine, now - absl::Seconds(10 * engine), {0xab, 0xcd}});
  }
  report.decode.evidence.last_success = now;
  report.decode.verdicts = FindVerdicts(report.decode.evidence);
  EXPECT_TRUE(IsQuarantined(report, 0xab));
  EXPECT_FALSE(IsQuarantined(report, 0xef));
  const std::string text = QuarantineText(report, now);
  for (const char* expected :
       {R"("prefill":{"crashes":[])", R"("parts":["ab","cd"])",
        R"("engines":3)", R"("first_crash_age_s":30)",
        R"("next_trial_in_s":50)", R"("engine":2)", R"("parts":["ab","cd"])"}) {
    EXPECT_NE(text.find(expected), std::string::npos) << expected << text;
  }
}

}  // namespace
}  // namespace anvilridge
