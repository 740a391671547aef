#include "quarantine/crash_evidence.h"

#include <algorithm>

#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(100000);
constexpr prompt_part kPart = 7;

crash_report Report(uint32_t engine, absl::Duration age, prompt_parts parts) {
  return {engine, kNow - age, std::move(parts)};
}

size_t Crashes(const crash_evidence& evidence, prompt_part part) {
  return CrashesAgainst(evidence, part).size();
}

// Guards against a verdict after one crash that several daemons have seen.
TEST(crash_evidence_test, ACrashSeenByManyCountsOnce) {
  crash_evidence evidence;
  EXPECT_TRUE(
      AddCrashReport(evidence, Report(1, absl::Milliseconds(9), {kPart, 8})));
  EXPECT_FALSE(
      AddCrashReport(evidence, Report(1, absl::Milliseconds(5), {kPart, 8})));
  EXPECT_TRUE(
      AddCrashReport(evidence, Report(1, absl::Milliseconds(3), {kPart, 9})));
  EXPECT_EQ(Crashes(evidence, kPart), 1u);
  EXPECT_TRUE(
      AddCrashReport(evidence, Report(2, absl::Milliseconds(1), {kPart, 8})));
  EXPECT_EQ(Crashes(evidence, kPart), 2u);
  EXPECT_EQ(Crashes(evidence, 9), 1u);
}

TEST(crash_evidence_test, APromptWithoutSharedPartsLeavesNoReport) {
  crash_evidence evidence;
  EXPECT_FALSE(AddCrashReport(evidence, Report(1, absl::ZeroDuration(), {})));
  EXPECT_TRUE(evidence.reports.empty());
}

// Guards against sound prompts that are blamed for crashes beside which they
// were handled.
TEST(crash_evidence_test, ASuccessClearsAPart) {
  struct success_case {
    absl::Duration crash_age;
    absl::Duration success_age;
    size_t crashes;
  };
  const std::vector<success_case> cases = {
      {absl::Seconds(5), absl::Seconds(1), 0},
      {absl::Seconds(5), absl::Seconds(5), 0},
      {absl::Seconds(5), absl::Seconds(15), 0},
      {absl::Seconds(5), absl::Seconds(16), 1},
      {absl::Seconds(5), absl::InfiniteDuration(), 1},
  };
  for (const success_case& tried : cases) {
    crash_evidence evidence;
    AddCrashReport(evidence, Report(1, tried.crash_age, {kPart, 8}));
    const bool cleared =
        RecordPartSuccess(evidence, kPart, kNow - tried.success_age);
    EXPECT_EQ(Crashes(evidence, kPart), tried.crashes) << tried.success_age;
    EXPECT_EQ(cleared, tried.crashes == 0) << tried.success_age;
    EXPECT_EQ(Crashes(evidence, 8), 1u);
  }
}

TEST(crash_evidence_test, SuccessesOfPartsWithoutAReportAreNotKept) {
  crash_evidence evidence;
  EXPECT_FALSE(RecordPartSuccess(evidence, kPart, kNow));
  EXPECT_TRUE(evidence.parts.empty());
}

TEST(crash_evidence_test, OldReportsAreRemovedWithTheirParts) {
  crash_evidence evidence;
  AddCrashReport(evidence,
                 Report(1, kCrashReportLifetime + absl::Seconds(1), {kPart}));
  AddCrashReport(evidence, Report(2, absl::Seconds(1), {8}));
  RemoveOldReports(evidence, kNow);
  ASSERT_EQ(evidence.reports.size(), 1u);
  EXPECT_EQ(evidence.reports[0].engine, 2u);
  EXPECT_FALSE(evidence.parts.contains(kPart));
}

// Guards against evidence that a power failure crowds out: its crashes have no
// part in common, and the table is bounded.
TEST(crash_evidence_test, ReportsWithoutACommonPartYield) {
  crash_evidence evidence;
  for (uint32_t engine = 0; engine < 3; ++engine) {
    AddCrashReport(evidence, Report(engine, absl::Minutes(9), {kPart}));
  }
  for (uint32_t engine = 10; engine < 200; ++engine) {
    AddCrashReport(evidence, Report(engine, absl::Seconds(1), {1000 + engine}));
  }
  EXPECT_EQ(evidence.reports.size(), kMaxCrashReports);
  EXPECT_EQ(Crashes(evidence, kPart), 3u);
  EXPECT_LE(evidence.parts.size(), kMaxCrashReports);
}

TEST(crash_evidence_test, LongPromptsAreBounded) {
  crash_evidence evidence;
  prompt_parts parts(1000);
  for (size_t i = 0; i < parts.size(); ++i) parts[i] = i;
  AddCrashReport(evidence, Report(1, absl::ZeroDuration(), parts));
  EXPECT_EQ(evidence.reports[0].parts.size(), kMaxPartsPerReport);
}

// Guards against daemons that tell each other the same evidence for ever: a
// report that doesn't fit is no change.
TEST(crash_evidence_test, AFullTableDoesNotChangeAgain) {
  crash_evidence evidence;
  crash_evidence other;
  for (uint32_t engine = 0; engine < 2 * kMaxCrashReports; ++engine) {
    const crash_report report =
        Report(engine, absl::Seconds(100 - engine), {1000 + engine});
    AddCrashReport(engine % 2 == 0 ? evidence : other, report);
  }
  MergeEvidence(evidence, other);
  MergeEvidence(other, evidence);
  EXPECT_FALSE(MergeEvidence(evidence, other));
  EXPECT_FALSE(MergeEvidence(other, evidence));
}

TEST(crash_evidence_test, TimesThatVaryByAMessageDelayAreNoNews) {
  crash_evidence evidence;
  AddCrashReport(evidence, Report(1, absl::Seconds(30), {kPart}));
  RecordTrial(evidence, kPart, kNow - absl::Seconds(5));
  RecordPartSuccess(evidence, kPart, kNow - absl::Seconds(60));
  crash_evidence other = evidence;
  for (auto& [part, record] : other.parts) {
    record.last_trial += absl::Milliseconds(300);
    record.last_success += absl::Milliseconds(300);
  }
  EXPECT_FALSE(MergeEvidence(evidence, other));
  EXPECT_EQ(evidence.parts[kPart].last_trial, kNow - absl::Seconds(5));
  other.parts[kPart].last_success = kNow;
  EXPECT_TRUE(MergeEvidence(evidence, other));
  EXPECT_EQ(Crashes(evidence, kPart), 0u);
}

// Returns when an engine crashed, by a daemon that saw it up to a second late.
// Two crashes of an engine are further apart.
absl::Duration CrashAge() {
  return absl::Seconds(4 * *rc::gen::inRange(0, 10)) -
         absl::Milliseconds(*rc::gen::inRange(0, 1000));
}

// Daemons that have received the same messages in any order, some of them more
// than once, count the same crashes.
RC_GTEST_PROP(crash_evidence_test, MergesInAnyOrder, ()) {
  std::vector<crash_evidence> messages;
  const int count = *rc::gen::inRange(1, 8);
  for (int i = 0; i < count; ++i) {
    crash_evidence message;
    const int reports = *rc::gen::inRange(0, 4);
    for (int j = 0; j < reports; ++j) {
      const auto part = *rc::gen::inRange<prompt_part>(1, 4);
      AddCrashReport(message, Report(*rc::gen::inRange<uint32_t>(0, 5),
                                     CrashAge(), {part}));
    }
    messages.push_back(message);
  }
  crash_evidence forwards;
  crash_evidence backwards;
  for (int round = 0; round < 2; ++round) {
    for (const crash_evidence& message : messages) {
      MergeEvidence(forwards, message);
    }
  }
  std::reverse(messages.begin(), messages.end());
  for (const crash_evidence& message : messages) {
    MergeEvidence(backwards, message);
  }
  for (prompt_part part = 1; part < 4; ++part) {
    RC_ASSERT(Crashes(forwards, part) == Crashes(backwards, part));
  }
}

}  // namespace
}  // namespace anvilridge
