#include "claims/claim_service.h"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "claims/claim_world_for_test.h"

namespace anvilridge {
namespace {

/// An answer `not_run` is true of this attempt and of all that began earlier.
void CheckPromises(const claim_world& world, const std::string& name) {
  EXPECT_LE(world.executions, 1) << name;
  for (const auto& a : world.attempts) {
    if (a->status.ok() || RunStateOf(a->status) != run_state::not_run) continue;
    EXPECT_FALSE(a->sent) << name;
    for (const auto& other : world.attempts) {
      if (other->began > a->began) continue;
      EXPECT_FALSE(other->sent) << name << ": not_run while another ran";
    }
  }
}

struct fault_case {
  const char* name;
  std::function<void(claim_world&)> run;
  int executions;
  /// Kind and run state of the last attempt; internal for an ok one.
  error_kind last = error_kind::internal;
  run_state ran = run_state::unknown;
};

const fault_case kFaultCases[] = {
    {"plain", [](claim_world& w) { w.Try(w.HomeOrOther(false)); }, 1},
    {"both daemons at once",
     [](claim_world& w) {
       w.Try(w.HomeOrOther(true));
       w.Try(w.HomeOrOther(false));
     },
     1, error_kind::key_in_progress},
    {"retry gets the stored outcome",
     [](claim_world& w) {
       w.Try(0);
       w.RunFor(absl::Seconds(5));
       w.Try(1);
       w.RunFor(absl::Seconds(5));
       EXPECT_TRUE(w.attempts[1]->replayed);
     },
     1},
    {"other body",
     [](claim_world& w) {
       w.Try(0);
       w.RunFor(absl::Seconds(5));
       w.Try(1, "other");
     },
     1, error_kind::key_conflict},
    {"answer of the append lost after its effect",
     [](claim_world& w) {
       w.appends = append_fault::lost_after;
       w.Try(0);
       w.RunFor(absl::Milliseconds(50));
       w.appends = append_fault::none;
     },
     1},
    {"every answer of the log's appends lost",
     [](claim_world& w) {
       w.appends = append_fault::lost_after;
       w.Try(0);
     },
     1},
    {"append lost before its effect",
     [](claim_world& w) {
       w.appends = append_fault::lost_before;
       w.Try(0);
       w.RunFor(absl::Milliseconds(50));
       w.appends = append_fault::none;
     },
     1},
    {"appends refused throughout",
     [](claim_world& w) {
       w.appends = append_fault::refused;
       w.Try(0);
     },
     0, error_kind::log_unavailable, run_state::not_run},
    {"appends take effect too late",
     [](claim_world& w) {
       w.appends = append_fault::late;
       w.Try(0);
     },
     0, error_kind::log_unavailable, run_state::not_run},
    {"a late append of one daemon and a refused one of the other",
     [](claim_world& w) {
       w.appends = append_fault::late;
       w.late_by = absl::Seconds(2);
       w.Try(0);
       w.RunFor(absl::Milliseconds(100));
       w.appends = append_fault::refused;
       w.Try(1);
     },
     1, error_kind::key_in_progress},
    {"a claim lands after another daemon was refused",
     [](claim_world& w) {
       w.peers_down = true;
       w.appends = append_fault::late;
       w.late_by = absl::Milliseconds(3800);
       const int first = w.HomeOrOther(true);
       w.Try(first);
       w.RunFor(absl::Milliseconds(50));
       w.daemons[first]->reads_down = true;
       w.appends = append_fault::refused;
       w.Try(w.HomeOrOther(false));
       w.RunFor(absl::Milliseconds(3600));
       w.daemons[first]->reads_down = false;
     },
     0, error_kind::log_unavailable, run_state::not_run},
    {"log can't be read",
     [](claim_world& w) {
       w.reads_down = true;
       w.Try(0);
     },
     0, error_kind::log_unavailable, run_state::unknown},
    {"outage after the claim",
     [](claim_world& w) {
       w.Try(0);
       w.RunFor(absl::Milliseconds(60));
       w.reads_down = true;
       w.appends = append_fault::refused;
       w.RunFor(absl::Seconds(10));
       w.reads_down = false;
       w.appends = append_fault::none;
       w.RunFor(absl::Seconds(30));
       w.Try(1);
       w.RunFor(absl::Seconds(10));
       EXPECT_TRUE(w.attempts[1]->replayed);
     },
     1},
    {"peers can't reach each other: two homes at once",
     [](claim_world& w) {
       w.peers_down = true;
       w.Try(w.HomeOrOther(false));
       w.RunFor(absl::Milliseconds(1500));
       w.Try(w.HomeOrOther(true));
       w.RunFor(absl::Milliseconds(50));
       EXPECT_EQ(w.attempts[0]->status.ok() + w.attempts[1]->status.ok(), 1);
     },
     1},
    {"home dies between append and answer",
     [](claim_world& w) {
       w.Try(w.HomeOrOther(false));
       w.RunFor(absl::Milliseconds(5));
       w.daemons[w.HomeOrOther(true)]->killed = true;
     },
     1},
    {"home frozen for a while",
     [](claim_world& w) {
       w.Freeze(w.HomeOrOther(true), absl::Seconds(20));
       w.Try(w.HomeOrOther(false));
     },
     1},
    {"holder killed after its claim",
     [](claim_world& w) {
       const int holder = w.HomeOrOther(false);
       w.Try(holder);
       w.RunFor(absl::Milliseconds(9));
       w.daemons[holder]->killed = true;
       w.RunFor(absl::Seconds(60));
       w.Try(w.HomeOrOther(true));
     },
     0, error_kind::outcome_unknown},
    {"holder frozen past its lease before the grant",
     [](claim_world& w) {
       const int holder = w.HomeOrOther(false);
       w.Try(holder);
       w.RunFor(absl::Milliseconds(9));
       w.Freeze(holder, absl::Seconds(20));
       w.RunFor(absl::Seconds(60));
       w.Try(w.HomeOrOther(true));
     },
     1},
    {"holder frozen between check and send: the key stays used",
     [](claim_world& w) {
       const int holder = w.HomeOrOther(false);
       w.send_gap = absl::Milliseconds(50);
       w.Try(holder);
       w.RunFor(absl::Milliseconds(40));
       w.Freeze(holder, absl::Seconds(60));
       w.RunFor(absl::Seconds(50));
       w.Try(w.HomeOrOther(true));
     },
     1, error_kind::outcome_unknown},
    {"key older than the log's records",
     [](claim_world& w) {
       w.complete_since = kStart;
       w.Try(0);
     },
     0, error_kind::key_expired},
    {"key without a time", [](claim_world& w) { w.Try(0, "b", "dues"); }, 0,
     error_kind::key_malformed, run_state::not_run},
    {"key of the future",
     [](claim_world& w) { w.Try(0, "b", "1800000100-dues"); }, 0,
     error_kind::key_malformed, run_state::not_run},
};

TEST(claim_service, RunsAtMostOnceAndSaysSoTruly) {
  for (const fault_case& c : kFaultCases) {
    claim_world world(2);
    c.run(world);
    world.RunFor(kSettled);
    EXPECT_EQ(world.executions, c.executions) << c.name;
    CheckPromises(world, c.name);
    const absl::Status last = world.attempts.back()->status;
    EXPECT_LT(world.attempts.back()->answered, absl::InfiniteFuture())
        << c.name;
    EXPECT_EQ(last.ok(), c.last == error_kind::internal)
        << c.name << ": " << last;
    if (last.ok()) continue;
    EXPECT_EQ(AnswerFor(KindOf(last)).name, AnswerFor(c.last).name) << c.name;
    EXPECT_EQ(RunStateName(RunStateOf(last)), RunStateName(c.ran)) << c.name;
  }
}

TEST(claim_service, KeyCanBeUsedAgainOnceTheOutageIsOver) {
  for (append_fault fault :
       {append_fault::refused, append_fault::late, append_fault::lost_before}) {
    claim_world world(2);
    world.appends = fault;
    world.Try(0);
    world.RunFor(absl::Seconds(8));
    world.appends = append_fault::none;
    world.RunFor(absl::Seconds(30));
    world.Try(1);
    world.RunFor(kSettled);
    EXPECT_EQ(world.executions, 1);
    EXPECT_TRUE(world.attempts[1]->status.ok());
    for (auto& d : world.daemons) {
      EXPECT_EQ(d->service->UnwrittenRecords(), 0u);
    }
  }
}

/// One random step: a fault, a repair or an attempt.
void RandomStep(claim_world& world, std::mt19937& random) {
  const auto pick = [&](int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random);
  };
  const int daemon = pick(static_cast<int>(world.daemons.size()));
  switch (pick(8)) {
    case 0:
      world.appends = static_cast<append_fault>(pick(5));
      world.late_by = absl::Milliseconds(pick(6000));
      break;
    case 1:
      world.daemons[daemon]->reads_down = pick(2) == 0;
      break;
    case 2:
      world.peers_down = pick(2) == 0;
      break;
    case 3:
      world.Freeze(daemon, absl::Milliseconds(pick(12000)));
      break;
    case 4:
      if (daemon == 0 && pick(4) == 0) world.daemons[daemon]->killed = true;
      break;
    default:
      world.Try(daemon);
  }
  world.RunFor(absl::Milliseconds(pick(2) == 0 ? pick(20) : pick(3000)));
}

TEST(claim_service, PromisesHoldUnderRandomFaults) {
  constexpr int kSeeds = 1500;
  constexpr int kSteps = 14;
  int ran = 0;
  int not_run = 0;
  for (int seed = 0; seed < kSeeds; ++seed) {
    std::mt19937 random(seed);
    claim_world world(3);
    for (int step = 0; step < kSteps; ++step) RandomStep(world, random);
    world.RunFor(kSettled);
    CheckPromises(world, absl::StrCat("seed ", seed));
    if (testing::Test::HasFailure()) return;
    ran += world.executions;
    for (const auto& a : world.attempts) {
      not_run += !a->status.ok() && RunStateOf(a->status) == run_state::not_run;
    }
  }
  EXPECT_GT(ran, kSeeds / 2) << "the faults leave room for calls that run";
  EXPECT_GT(not_run, 0);
}

TEST(claim_service, ManyCallsShareFewAppends) {
  constexpr int kCalls = 2000;
  constexpr double kAppendsPerSecond = 100;
  constexpr int kBursts = 2 * 4;
  claim_world world(2);
  const absl::Time began = world.now;
  const int appends_before = world.append_calls;
  for (int i = 0; i < kCalls; ++i) {
    world.Try(i % 2, "body", absl::StrCat("1799999990-", i));
    if (i % 10 == 0) world.RunFor(absl::Milliseconds(10));
  }
  while (world.executions < kCalls && world.now < began + kSettled) {
    world.RunFor(absl::Milliseconds(10));
  }
  const double seconds = absl::ToDoubleSeconds(world.now - began);
  const int appends = world.append_calls - appends_before;
  std::cout << kCalls << " calls in " << seconds << " s with " << appends
            << " appends\n";
  EXPECT_EQ(world.executions, kCalls);
  EXPECT_LE(appends, kAppendsPerSecond * seconds + kBursts);
}

}  // namespace
}  // namespace anvilridge
