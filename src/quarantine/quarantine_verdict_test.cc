#include "quarantine/quarantine_verdict.h"

#include <algorithm>
#include <random>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "quarantine/part_successes.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(100000);
// First part of all prompts, and the part that crashes engines.
constexpr prompt_part kFirst = 1;
constexpr prompt_part kDeadly = 13;

void Crash(crash_evidence& evidence, uint32_t engine, absl::Duration age,
           prompt_parts parts) {
  AddCrashReport(evidence, {engine, kNow - age, std::move(parts)});
}

// Returns evidence of `crashes` engines that crashed on a prompt with `parts`.
crash_evidence Crashes(uint32_t crashes, const prompt_parts& parts) {
  crash_evidence evidence;
  for (uint32_t engine = 0; engine < crashes; ++engine) {
    Crash(evidence, engine, absl::Seconds(20 - engine), parts);
  }
  evidence.last_success = kNow;
  return evidence;
}

bool HoldsBack(const crash_evidence& evidence, const prompt_parts& parts) {
  return VerdictAgainst(FindVerdicts(evidence), parts).has_value();
}

TEST(quarantine_verdict_test, APartIsBlamedAfterThreeCrashes) {
  EXPECT_FALSE(HoldsBack({}, {kDeadly}));
  EXPECT_FALSE(HoldsBack(Crashes(2, {kDeadly}), {kDeadly}));
  EXPECT_TRUE(HoldsBack(Crashes(3, {kDeadly}), {kDeadly}));
  EXPECT_TRUE(HoldsBack(Crashes(3, {kDeadly}), {kFirst, kDeadly, 5}));
  EXPECT_FALSE(HoldsBack(Crashes(3, {kDeadly}), {kFirst, 5}));
}

// Guards against sound prompts with the same first part that are held back:
// crashes that all have both parts don't tell which one is to blame.
TEST(quarantine_verdict_test, PartsThatCrashesHaveInCommonAreBlamedTogether) {
  crash_evidence evidence = Crashes(3, {kFirst, kDeadly});
  EXPECT_TRUE(HoldsBack(evidence, {kFirst, kDeadly}));
  EXPECT_FALSE(HoldsBack(evidence, {kFirst, 5}));
  EXPECT_FALSE(HoldsBack(evidence, {5, kDeadly}));
  // One more crash tells them apart.
  Crash(evidence, 9, absl::Seconds(1), {5, kDeadly});
  EXPECT_TRUE(HoldsBack(evidence, {6, kDeadly}));
  EXPECT_FALSE(HoldsBack(evidence, {kFirst, 5}));
}

// Prompts that share their beginning are known by a chain of prefixes, of which
// the longest common one decides.
TEST(quarantine_verdict_test, ACommonPrefixIsOneVerdict) {
  crash_evidence evidence;
  for (uint32_t engine = 0; engine < 3; ++engine) {
    Crash(evidence, engine, absl::Seconds(20 - engine),
          {1, 2, 3, 100 + engine});
  }
  const auto verdicts = FindVerdicts(evidence);
  ASSERT_EQ(verdicts.size(), 1u);
  EXPECT_EQ(verdicts[0].parts, (prompt_parts{1, 2, 3}));
  EXPECT_TRUE(HoldsBack(evidence, {1, 2, 3, 104}));
  EXPECT_FALSE(HoldsBack(evidence, {1, 2, 103}));
}

// An engine that keeps its name crashes anew once it has started again.
TEST(quarantine_verdict_test, AnEngineThatRestartsMayCrashAgain) {
  crash_evidence evidence;
  for (int crash = 0; crash < 3; ++crash) {
    Crash(evidence, 1, absl::Seconds(20 - 5 * crash), {kDeadly});
    Crash(evidence, 1, absl::Seconds(20 - 5 * crash) - absl::Milliseconds(300),
          {kDeadly});
  }
  EXPECT_EQ(CrashesAgainst(evidence, kDeadly).size(), 3u);
  EXPECT_TRUE(HoldsBack(evidence, {kDeadly}));
}

TEST(quarantine_verdict_test, APartThatIsHandledElsewhereIsNoCompanion) {
  crash_evidence evidence = Crashes(3, {kFirst, kDeadly});
  RecordPartSuccess(evidence, kFirst, kNow);
  EXPECT_TRUE(HoldsBack(evidence, {5, kDeadly}));
  EXPECT_FALSE(HoldsBack(evidence, {kFirst, 5}));
  RecordPartSuccess(evidence, kDeadly, kNow);
  EXPECT_FALSE(HoldsBack(evidence, {kFirst, kDeadly}));
}

// Guards against verdicts after a power failure or a partition.
TEST(quarantine_verdict_test, EnginesThatCrashTogetherBlameNothing) {
  crash_evidence evidence;
  for (uint32_t engine = 0; engine < 12; ++engine) {
    Crash(evidence, engine, absl::Milliseconds(60 + engine), {kFirst});
  }
  EXPECT_FALSE(HoldsBack(evidence, {kFirst}));
}

// Guards against a quarantine that outlasts a faulty release on which engines
// crash on all prompts: one request after the other is tried soon.
TEST(quarantine_verdict_test, EnginesThatHandleNothingAreTriedSoon) {
  crash_evidence evidence = Crashes(6, {kFirst});
  evidence.last_success = absl::InfinitePast();
  EXPECT_EQ(FindVerdicts(evidence).front().next_trial,
            kNow - absl::Seconds(15) + kUnconfirmedTrialInterval);
  evidence.last_success = kNow - absl::Seconds(30);
  EXPECT_EQ(FindVerdicts(evidence).front().next_trial,
            kNow - absl::Seconds(15) + kUnconfirmedTrialInterval);
  crash_evidence other;
  other.last_success = kNow - absl::Seconds(10);
  MergeEvidence(evidence, other);
  EXPECT_EQ(FindVerdicts(evidence).front().next_trial,
            kNow - absl::Seconds(15) + kMaxTrialInterval);
}

TEST(quarantine_verdict_test, TrialsFollowAtGrowingIntervals) {
  const auto next_trial = [](const crash_evidence& evidence) {
    return FindVerdicts(evidence).front().next_trial;
  };
  EXPECT_EQ(next_trial(Crashes(3, {kDeadly})),
            kNow - absl::Seconds(18) + kMinTrialInterval);
  EXPECT_EQ(next_trial(Crashes(5, {kDeadly})),
            kNow - absl::Seconds(16) + 4 * kMinTrialInterval);
  EXPECT_EQ(next_trial(Crashes(12, {kDeadly})),
            kNow - absl::Seconds(9) + kMaxTrialInterval);
  crash_evidence tried = Crashes(3, {kDeadly});
  RecordTrial(tried, kDeadly, kNow);
  EXPECT_EQ(next_trial(tried), kNow + kMinTrialInterval);
}

// Guards against sound prompts that are held back because they were by chance
// at three of the engines that crash for other reasons.
TEST(quarantine_verdict_test, CrashesOnOtherPromptsRequireFurtherCrashes) {
  for (uint32_t others = 0; others <= 4; ++others) {
    const size_t needed = 3 + std::min<size_t>(others, 2);
    for (uint32_t crashes = 3; crashes <= 5; ++crashes) {
      crash_evidence evidence = Crashes(crashes, {kFirst, kDeadly});
      RecordPartSuccess(evidence, kFirst, kNow);
      for (uint32_t other = 0; other < others; ++other) {
        Crash(evidence, 100 + other, absl::Seconds(25), {kFirst, 50 + other});
      }
      EXPECT_EQ(HoldsBack(evidence, {kDeadly}), crashes >= needed)
          << others << " others, " << crashes << " crashes";
    }
  }
}

// Guards against a verdict that lapses when engines crash for other reasons
// later, or did so long before.
TEST(quarantine_verdict_test, CrashesAtOtherTimesRequireNoFurtherOnes) {
  crash_evidence evidence = Crashes(3, {kDeadly});
  for (uint32_t other = 0; other < 5; ++other) {
    Crash(evidence, 100 + other, absl::Seconds(10), {50 + other});
    Crash(evidence, 200 + other, absl::Seconds(40), {60 + other});
  }
  EXPECT_TRUE(HoldsBack(evidence, {kDeadly}));
  // A trial that crashes an engine doesn't make the later ones count either.
  Crash(evidence, 300, absl::Seconds(1), {kDeadly});
  EXPECT_TRUE(HoldsBack(evidence, {kDeadly}));
}

// Guards against a verdict that lapses when reports of crashes on other prompts
// arrive late.
TEST(quarantine_verdict_test, LateReportsEndNoVerdict) {
  crash_evidence evidence = Crashes(3, {kDeadly});
  const auto known = FindVerdicts(evidence);
  ASSERT_EQ(known.size(), 1u);
  Crash(evidence, 100, absl::Milliseconds(18500), {50});
  EXPECT_TRUE(FindVerdicts(evidence).empty());
  EXPECT_EQ(FindVerdicts(evidence, known).size(), 1u);
  // A success ends it.
  RecordPartSuccess(evidence, kDeadly, kNow);
  EXPECT_TRUE(FindVerdicts(evidence, known).empty());
}

// Two parts that crash engines at the same time explain the crashes together.
TEST(quarantine_verdict_test, EachOfTwoPartsIsBlamed) {
  crash_evidence evidence = Crashes(3, {kDeadly});
  for (uint32_t engine = 0; engine < 3; ++engine) {
    Crash(evidence, 100 + engine, absl::Seconds(20 - engine), {kDeadly + 1});
  }
  EXPECT_TRUE(HoldsBack(evidence, {kDeadly}));
  EXPECT_TRUE(HoldsBack(evidence, {kDeadly + 1}));
}

// Guards against verdicts where any run crashes its engine with a probability
// of one in seven, none is sent again, and each of 20 parts has five requests.
TEST(quarantine_verdict_test, CrashesByChanceHoldNothingBack) {
  int held_back = 0;
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    std::bernoulli_distribution crashes(1.0 / 7);
    crash_evidence evidence;
    part_successes successes;
    for (uint32_t request = 0; request < 80; ++request) {
      const absl::Time now = kNow + request * absl::Milliseconds(50);
      const prompt_part part = 1000 + request % 20;
      if (crashes(random)) {
        AddCrashReport(evidence, {request, now, {part}});
        RecordPartSuccess(evidence, part, LastSuccess(successes, part));
      } else {
        RecordSuccess(successes, part, now);
        RecordPartSuccess(evidence, part, now);
      }
      held_back += FindVerdicts(evidence).empty() ? 0 : 1;
    }
  }
  EXPECT_EQ(held_back, 0);
}

// Guards against as many trials as there are daemons, each of which may crash
// an engine: the callers that were told to come back meet all daemons.
TEST(quarantine_verdict_test, DaemonsTryOneAfterTheOther) {
  const auto verdicts = FindVerdicts(Crashes(3, {kDeadly}));
  ASSERT_EQ(verdicts.size(), 1u);
  constexpr int kDaemons = 25;
  std::vector<absl::Time> turns;
  turns.reserve(kDaemons);
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    turns.push_back(TrialTime(verdicts[0], absl::StrCat("entry-", daemon)));
  }
  std::sort(turns.begin(), turns.end());
  EXPECT_GE(turns.front(), verdicts[0].next_trial);
  EXPECT_LE(turns.back(),
            verdicts[0].next_trial + kTrialSpread * kMinTrialInterval);
  // Daemons hear of a trial within a second.
  EXPECT_LE(std::count_if(turns.begin(), turns.end(),
                          [&turns](absl::Time turn) {
                            return turn < turns.front() + absl::Seconds(1);
                          }),
            5);
}

// A model of daemons that tell each other what they see over messages of which
// some are lost.
class daemons_model {
 public:
  daemons_model(size_t daemons, double loss, uint32_t seed)
      : evidence_(daemons), successes_(daemons), loss_(loss), random_(seed) {}

  void Report(size_t daemon, uint32_t engine, const prompt_parts& parts) {
    AddCrashReport(evidence_[daemon], {engine, now_, parts});
  }

  void Succeed(size_t daemon, const prompt_parts& parts) {
    for (const prompt_part part : parts) {
      RecordSuccess(successes_[daemon], part, now_);
      RecordPartSuccess(evidence_[daemon], part, now_);
    }
  }

  // Each daemon sends one message to each other one.
  void Exchange() {
    now_ += absl::Milliseconds(300);
    std::uniform_real_distribution<double> lost(0, 1);
    for (size_t from = 0; from < evidence_.size(); ++from) {
      for (size_t to = 0; to < evidence_.size(); ++to) {
        if (from == to || lost(random_) < loss_) continue;
        MergeEvidence(evidence_[to], evidence_[from]);
        for (const auto& [part, record] : evidence_[to].parts) {
          RecordPartSuccess(evidence_[to], part,
                            LastSuccess(successes_[to], part));
        }
      }
    }
  }

  // Returns how many daemons hold back a prompt with `parts`.
  size_t HoldingBack(const prompt_parts& parts) const {
    size_t count = 0;
    for (const crash_evidence& evidence : evidence_) {
      const auto verdicts = FindVerdicts(evidence);
      count += VerdictAgainst(verdicts, parts) ? 1 : 0;
    }
    return count;
  }

  void Restart(size_t daemon) {
    evidence_[daemon] = {};
    successes_[daemon] = {};
  }

 private:
  std::vector<crash_evidence> evidence_;
  std::vector<part_successes> successes_;
  const double loss_;
  std::mt19937 random_;
  absl::Time now_ = kNow;
};

// Guards against a fault that no daemon sees twice: five crashes at five of 25
// daemons, a third of the messages lost, within the 3 s after the fifth crash.
TEST(quarantine_verdict_test, ManyDaemonsThatSeeOneCrashEachAgree) {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    daemons_model model(25, 0.33, seed);
    for (uint32_t crash = 0; crash < 5; ++crash) {
      model.Report(size_t{4} * crash, crash, {kFirst, kDeadly});
      model.Succeed((size_t{7} * crash + 1) % 25, {kFirst});
      model.Exchange();
    }
    for (int i = 0; i < 8; ++i) model.Exchange();
    EXPECT_EQ(model.HoldingBack({kFirst, kDeadly}), 25u) << seed;
    EXPECT_EQ(model.HoldingBack({5, kDeadly}), 25u) << seed;
    EXPECT_EQ(model.HoldingBack({kFirst}), 0u) << seed;
    model.Restart(3);
    for (int i = 0; i < 5; ++i) model.Exchange();
    EXPECT_EQ(model.HoldingBack({kFirst, kDeadly}), 25u) << seed;
  }
}

// Guards against sound prompts that are held back because engines crash in
// series for other reasons. Each crash has a few prompts without an event, with
// one of four first parts and mostly a part of their own.
TEST(quarantine_verdict_test, CrashesForOtherReasonsHoldNothingBack) {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    daemons_model model(4, 0.1, seed);
    std::uniform_int_distribution<prompt_part> first(1, 4);
    std::uniform_int_distribution<prompt_part> rare(1000, 3000);
    std::uniform_int_distribution<size_t> daemon(0, 3);
    for (uint32_t crash = 0; crash < 40; ++crash) {
      for (int i = 0; i < 3; ++i) {
        model.Report(daemon(random), crash, {first(random), rare(random)});
      }
      for (int i = 0; i < 8; ++i) {
        model.Succeed(daemon(random), {first(random), rare(random)});
      }
      model.Exchange();
      for (prompt_part part = 1; part <= 4; ++part) {
        EXPECT_EQ(model.HoldingBack({part}), 0u) << seed;
      }
    }
  }
}

}  // namespace
}  // namespace anvilridge
