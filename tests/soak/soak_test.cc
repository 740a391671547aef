// A short soak for each verdict, the seeds that ever failed, and planted faults
// that must be caught.
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "base/testing/run_loop.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "soak/soak_checks.h"
#include "soak/soak_run.h"

namespace anvilridge {
namespace {

using testing::HasSubstr;

std::string Broken(const soak_options& options) {
  EnsureTestApplication();
  const soak_result result = RunSoak(options);
  // A run in which nobody is served would break no promise.
  EXPECT_GT(result.record.upstreams.size(), 100u);
  if (options.silences) {
    EXPECT_GT(SilencedRequests(result.record), 30);
  }
  std::string broken = absl::StrJoin(BrokenPromises(result.record), "\n");
  if (!broken.empty()) {
    GTEST_LOG_(INFO) << "seed " << options.seed << "\n"
                     << absl::StrJoin(result.steps, "\n");
  }
  return broken;
}

class soak_seed_test : public testing::TestWithParam<uint64_t> {};

TEST_P(soak_seed_test, BreaksNoPromise) {
  soak_options options;
  options.seed = GetParam();
  EXPECT_EQ(Broken(options), "");
}

INSTANTIATE_TEST_SUITE_P(short_runs, soak_seed_test, testing::Values(1, 2));
// 318: an answer on the configuration overtook an earlier one.
// 336: a daemon was told to stop before it handled signals.
INSTANTIATE_TEST_SUITE_P(failed_before, soak_seed_test,
                         testing::Values(318, 336));

// Guards against repeats beyond the send budget when all daemons are ended
// again and again while upstreams refuse.
class soak_herd_test : public testing::TestWithParam<uint64_t> {};

TEST_P(soak_herd_test, RestartsWhileUpstreamsRefuseKeepTheBudget) {
  soak_options options;
  options.seed = GetParam();
  options.herds = true;
  options.daemons = 8;
  options.decode_engines = 8;
  options.rate = 150;
  options.slack = 40;
  EXPECT_EQ(Broken(options), "");
}

INSTANTIATE_TEST_SUITE_P(short_runs, soak_herd_test, testing::Values(1, 2));

struct silence_run {
  uint64_t seed;
  bool has_budget;
};

// Guards against requests that end without a whole answer because their
// upstream was silent for at most 3 s.
class soak_silence_test : public testing::TestWithParam<silence_run> {};

soak_options Silences(const silence_run& run) {
  soak_options options;
  options.silences = true;
  options.seed = run.seed;
  if (!run.has_budget) options.slack = 0;
  if (!run.has_budget) options.ratio = 0;
  return options;
}

TEST_P(soak_silence_test, UpstreamsThatGoOnKeepTheirRequests) {
  EXPECT_EQ(Broken(Silences(GetParam())), "");
}

INSTANTIATE_TEST_SUITE_P(short_runs, soak_silence_test,
                         testing::Values(silence_run{1, true},
                                         silence_run{2, false}),
                         [](const auto& run) {
                           return absl::StrCat("seed_", run.param.seed,
                                               run.param.has_budget
                                                   ? "_with_budget"
                                                   : "_without_budget");
                         });

// Guards against decodes that the send budget doesn't know behind prefills that
// were lost.
class soak_prefill_test : public testing::TestWithParam<uint64_t> {};

TEST_P(soak_prefill_test, FailingPrefillsKeepTheBudget) {
  soak_options options;
  options.seed = GetParam();
  options.failing_prefills = true;
  options.decode_engines = 8;
  options.rate = 80;
  options.slack = 10;
  EXPECT_EQ(Broken(options), "");
}

// 1, 4: decodes behind lost prefills were beyond the budget.
INSTANTIATE_TEST_SUITE_P(failed_before, soak_prefill_test,
                         testing::Values(1, 4));

// Guards against requests to upstreams that have said that they leave or for
// how long they want nothing, beside ends, freezes and changes of the daemons.
class soak_statement_test : public testing::TestWithParam<uint64_t> {};

TEST_P(soak_statement_test, AbsentUpstreamsGetNothing) {
  soak_options options;
  options.seed = GetParam();
  options.statements = true;
  EXPECT_EQ(Broken(options), "");
}

INSTANTIATE_TEST_SUITE_P(short_runs, soak_statement_test,
                         testing::Values(1, 2));

soak_options Stops(uint64_t seed) {
  soak_options options;
  options.stops = true;
  options.seed = seed;
  options.decode_engines = 8;
  return options;
}

// Guards against requests that are accepted in a planned stop, passed on, and
// cut without an answer when the daemon ends.
class soak_stop_test : public testing::TestWithParam<uint64_t> {};

TEST_P(soak_stop_test, StopsLeaveNoRequestWithoutItsAnswer) {
  EXPECT_EQ(Broken(Stops(GetParam())), "");
}

INSTANTIATE_TEST_SUITE_P(short_runs, soak_stop_test, testing::Values(1, 2));
// 203: a young daemon took calls longer than any that had ended there.
// 402: cut streams did not count, so that long ones were not expected.
INSTANTIATE_TEST_SUITE_P(failed_before, soak_stop_test,
                         testing::Values(203, 402));

soak_options CrashingPrompts(uint64_t seed) {
  soak_options options;
  options.crashing_prompts = true;
  options.seed = seed;
  options.disturbed = absl::Seconds(12);
  options.decode_engines = 8;
  options.rate = 80;
  return options;
}

// Guards against prompts that crash one engine after the other, and against
// sound ones that are held back for them, beside ends, freezes and cuts.
class soak_crash_test : public testing::TestWithParam<uint64_t> {};

TEST_P(soak_crash_test, PromptsThatCrashEnginesAreHeldBack) {
  EXPECT_EQ(Broken(CrashingPrompts(GetParam())), "");
}

INSTANTIATE_TEST_SUITE_P(short_runs, soak_crash_test, testing::Values(1, 2));

soak_options EndlessAnswers(uint64_t seed) {
  soak_options options;
  options.endless_answers = true;
  options.seed = seed;
  options.decode_engines = 8;
  options.rate = 150;
  return options;
}

// Guards against upstreams that send bytes without end and fill the memory of
// the daemons that have called them.
class soak_endless_test : public testing::TestWithParam<uint64_t> {};

TEST_P(soak_endless_test, AnswersWithoutEndDoNotFillTheMemory) {
  EXPECT_EQ(Broken(EndlessAnswers(GetParam())), "");
}

INSTANTIATE_TEST_SUITE_P(short_runs, soak_endless_test, testing::Values(1, 2));

soak_options Teams(uint64_t seed) {
  soak_options options;
  options.teams = true;
  options.seed = seed;
  options.disturbed = absl::Seconds(12);
  options.decode_engines = 8;
  options.rate = 60;
  return options;
}

// Guards against teams that use more than their caps, keys that are valid after
// they were revoked or reach upstreams, and teams that starve, beside ends,
// freezes and cuts of the store.
class soak_team_test : public testing::TestWithParam<uint64_t> {};

TEST_P(soak_team_test, KeysAndCapsHold) {
  EXPECT_EQ(Broken(Teams(GetParam())), "");
}

INSTANTIATE_TEST_SUITE_P(short_runs, soak_team_test, testing::Values(1, 2));

soak_options Planted(const char* fault) {
  soak_options options;
  options.program = "planted_daemon";
  options.arguments = {fault};
  return options;
}

// With more requests, for faults that act only where the answer of a posting is
// lost.
soak_options PlantedAmongMany(const char* fault) {
  soak_options options = Planted(fault);
  options.disturbed = absl::Seconds(12);
  options.decode_engines = 8;
  options.rate = 150;
  return options;
}

TEST(soak_planted_test, AResendIsCaught) {
  // A resend needs an extra send, which a daemon doesn't have at its start, and
  // another upstream.
  EXPECT_THAT(Broken(PlantedAmongMany("resend")), HasSubstr("run twice"));
}

TEST(soak_planted_test, AStaleViewIsCaught) {
  EXPECT_THAT(Broken(Planted("stale_view")),
              HasSubstr("an old configuration in force"));
}

TEST(soak_planted_test, AFalseRefusalIsCaught) {
  EXPECT_THAT(Broken(PlantedAmongMany("false_refusal")),
              HasSubstr("refused and run"));
}

TEST(soak_planted_test, NoPatienceIsCaught) {
  soak_options options = Silences({2, false});
  options.program = "planted_daemon";
  options.arguments = {"no_patience"};
  EXPECT_THAT(Broken(options), HasSubstr("its upstream was silent"));
}

TEST(soak_planted_test, DeafnessIsCaught) {
  soak_options options = Planted("deafness");
  options.statements = true;
  // The seed names one pause; the check needs three requests within it.
  options.rate = 120;
  const std::string broken = Broken(options);
  EXPECT_THAT(broken, HasSubstr("to an upstream that leaves"));
  EXPECT_THAT(broken, HasSubstr("to an upstream that wants none"));
}

TEST(soak_planted_test, CallsTakenUntilTheEndOfAStopAreCaught) {
  soak_options options = Stops(2);
  options.program = "planted_daemon";
  options.arguments = {"late_calls"};
  EXPECT_THAT(Broken(options),
              HasSubstr("passed on and ended without its answer"));
}

TEST(soak_planted_test, PromptsWithoutPartsAreCaught) {
  soak_options options = CrashingPrompts(1);
  options.program = "planted_daemon";
  options.arguments = {"no_parts"};
  EXPECT_THAT(Broken(options),
              HasSubstr("prompts that crash engines reach more of them"));
}

TEST(soak_planted_test, IgnoringCapsIsCaught) {
  soak_options options = Teams(1);
  options.program = "planted_daemon";
  options.arguments = {"no_caps"};
  EXPECT_THAT(Broken(options), HasSubstr("beyond the cap of team hot"));
}

TEST(soak_planted_test, KeysThatStayValidAreCaught) {
  soak_options options = Teams(1);
  options.program = "planted_daemon";
  options.arguments = {"stale_view"};
  const std::string broken = Broken(options);
  EXPECT_THAT(broken, HasSubstr("sent on with a revoked key"));
  EXPECT_THAT(broken, HasSubstr("a valid key was refused"));
}

TEST(soak_planted_test, KeepingAllOfEndlessAnswersIsCaught) {
  soak_options options = EndlessAnswers(1);
  options.machine_mb = kUnboundedMachineMb;
  // On a busy machine, a daemon avoids an endless service beside a sound one,
  // and ends short calls, before it has taken much.
  options.endless_services = options.services;
  options.long_calls = true;
  EXPECT_THAT(Broken(options), HasSubstr(" took "));
}

TEST(soak_planted_test, ALostCancelIsCaught) {
  soak_options options;
  options.hide_close = true;
  EXPECT_THAT(Broken(options), HasSubstr("callers that have left"));
}

}  // namespace
}  // namespace anvilridge
