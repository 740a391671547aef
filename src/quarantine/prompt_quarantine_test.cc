#include "quarantine/prompt_quarantine.h"

#include "base/error_kind.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(100000);
constexpr char kStage[] = "decode";
constexpr prompt_part kFirst = 1;
constexpr prompt_part kDeadly = 13;

class prompt_quarantine_test : public testing::Test {
 protected:
  evidence_change Crash(uint32_t engine, absl::Time time) {
    return RecordCrash(quarantine_, kStage, {engine, time, {kFirst, kDeadly}},
                       time);
  }

  // Lets three engines crash on a prompt with both parts, while others are
  // handled.
  void CrashEngines() {
    for (uint32_t engine = 0; engine < 3; ++engine) {
      Crash(engine, kNow + absl::Seconds(engine));
    }
    RecordHandled(quarantine_, kStage, prompt_parts{5},
                  kNow + absl::Seconds(3));
  }

  bool HeldBack(const prompt_parts& parts) const {
    return VerdictAgainst(quarantine_.verdicts, parts).has_value();
  }

  prompt_quarantine quarantine_;
};

TEST_F(prompt_quarantine_test, TellsWhenAVerdictBegins) {
  EXPECT_EQ(Crash(1, kNow), evidence_change::news);
  EXPECT_EQ(Crash(1, kNow), evidence_change::none);
  EXPECT_EQ(Crash(2, kNow + absl::Seconds(1)), evidence_change::news);
  EXPECT_EQ(Crash(3, kNow + absl::Seconds(2)), evidence_change::new_verdict);
  EXPECT_EQ(Crash(4, kNow + absl::Seconds(3)), evidence_change::news);
  EXPECT_TRUE(HeldBack({kFirst, kDeadly}));
}

// Guards against a sound part that is blamed at a daemon which has not handled
// it: one that has says so.
TEST_F(prompt_quarantine_test, OwnSuccessesCountAgainstTheEvidenceOfOthers) {
  prompt_quarantine other;
  RecordHandled(other, kStage, prompt_parts{kFirst}, kNow - absl::Seconds(1));
  CrashEngines();
  EXPECT_FALSE(HeldBack({kDeadly}));
  AddEvidence(other, kStage, quarantine_.evidence, kNow);
  EXPECT_TRUE(
      VerdictAgainst(other.verdicts, prompt_parts{kDeadly}).has_value());
  EXPECT_EQ(AddEvidence(quarantine_, kStage, other.evidence, kNow),
            evidence_change::new_verdict);
  EXPECT_TRUE(HeldBack({kDeadly}));
  EXPECT_FALSE(HeldBack({kFirst}));
}

TEST_F(prompt_quarantine_test, ASuccessfulTrialEndsTheVerdict) {
  CrashEngines();
  const absl::Time due = quarantine_.verdicts.front().next_trial;
  EXPECT_EQ(due, kNow + absl::Seconds(2) + kMinTrialInterval);
  RecordTrials(quarantine_, kStage, prompt_parts{kFirst, kDeadly, 7}, due);
  EXPECT_EQ(quarantine_.verdicts.front().next_trial, due + kMinTrialInterval);
  EXPECT_TRUE(HeldBack({kFirst, kDeadly}));
  RecordHandled(quarantine_, kStage, prompt_parts{kFirst, kDeadly},
                due + absl::Seconds(1));
  EXPECT_FALSE(HeldBack({kFirst, kDeadly}));
}

TEST_F(prompt_quarantine_test, AFailedTrialNeedsNoFurtherCrashes) {
  CrashEngines();
  const absl::Time due = quarantine_.verdicts.front().next_trial;
  RecordTrials(quarantine_, kStage, prompt_parts{kFirst, kDeadly}, due);
  Crash(9, due + absl::Seconds(1));
  EXPECT_TRUE(HeldBack({kFirst, kDeadly}));
  EXPECT_EQ(quarantine_.verdicts.front().next_trial,
            due + absl::Seconds(1) + 2 * kMinTrialInterval);
}

TEST_F(prompt_quarantine_test, LiftingClearsAllPartsOfTheVerdict) {
  CrashEngines();
  EXPECT_EQ(LiftVerdicts(quarantine_, kStage, 99, kNow), evidence_change::none);
  EXPECT_EQ(LiftVerdicts(quarantine_, kStage, kDeadly, kNow + absl::Seconds(9)),
            evidence_change::news);
  EXPECT_TRUE(quarantine_.verdicts.empty());
}

TEST_F(prompt_quarantine_test, VerdictsEndWithTheirEvidence) {
  CrashEngines();
  RemoveOldEvidence(quarantine_, kStage, kNow + kCrashReportLifetime);
  EXPECT_FALSE(quarantine_.verdicts.empty());
  RemoveOldEvidence(quarantine_, kStage,
                    kNow + kCrashReportLifetime + absl::Seconds(1));
  EXPECT_TRUE(quarantine_.verdicts.empty());
}

TEST_F(prompt_quarantine_test, TheErrorNamesThePartsAndWhenToReturn) {
  CrashEngines();
  const absl::Status error =
      QuarantineError(quarantine_.verdicts.front(), kNow + absl::Seconds(12));
  EXPECT_EQ(KindOf(error), error_kind::prompt_quarantined);
  EXPECT_EQ(RunStateOf(error), run_state::not_run);
  EXPECT_EQ(RetryAfterOf(error), absl::Seconds(50));
  EXPECT_NE(error.message().find("1,d"), std::string::npos) << error.message();
}

}  // namespace
}  // namespace anvilridge
