#include "claims/claim_service.h"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "claims/claim_cluster_for_test.h"

namespace anvilridge {
namespace {

/// Checks that at most one attempt ran, and that neither an attempt that ended
/// with run state `not_run` nor any attempt that began before it was sent.
void CheckGuarantees(const claim_cluster& cluster, const std::string& name) {
  EXPECT_LE(cluster.executions, 1) << name;
  for (const auto& a : cluster.attempts) {
    if (a->status.ok() || RunStateOf(a->status) != run_state::not_run) continue;
    EXPECT_FALSE(a->sent) << name;
    for (const auto& other : cluster.attempts) {
      if (other->began > a->began) continue;
      EXPECT_FALSE(other->sent)
          << name << ": not_run although an earlier attempt was sent";
    }
  }
}

/// Sequence of attempts and faults, and its expected result.
struct fault_case {
  const char* name;
  std::function<void(claim_cluster&)> run;
  /// Expected number of calls that the upstream has run.
  int executions;
  /// Expected error of the last attempt; `internal` if it must succeed.
  error_kind last_error = error_kind::internal;
  /// Expected run state of that error.
  run_state last_run_state = run_state::unknown;
};

const fault_case kFaultCases[] = {
    {"no fault",
     [](claim_cluster& cluster) {
       cluster.StartAttempt(cluster.FindDaemon(/*is_home=*/false));
     },
     1},
    {"attempts at two daemons at the same time",
     [](claim_cluster& cluster) {
       cluster.StartAttempt(cluster.FindDaemon(/*is_home=*/true));
       cluster.StartAttempt(cluster.FindDaemon(/*is_home=*/false));
     },
     1, error_kind::key_in_progress},
    {"retry gets the stored outcome",
     [](claim_cluster& cluster) {
       cluster.StartAttempt(0);
       cluster.RunFor(absl::Seconds(5));
       cluster.StartAttempt(1);
       cluster.RunFor(absl::Seconds(5));
       EXPECT_TRUE(cluster.attempts[1]->replayed);
     },
     1},
    {"retry with another body",
     [](claim_cluster& cluster) {
       cluster.StartAttempt(0);
       cluster.RunFor(absl::Seconds(5));
       cluster.StartAttempt(1, "other");
     },
     1, error_kind::key_conflict},
    {"append takes effect but its reply is lost",
     [](claim_cluster& cluster) {
       cluster.current_append_fault = append_fault::lost_after;
       cluster.StartAttempt(0);
       cluster.RunFor(absl::Milliseconds(50));
       cluster.current_append_fault = append_fault::none;
     },
     1},
    {"every append takes effect but its reply is lost",
     [](claim_cluster& cluster) {
       cluster.current_append_fault = append_fault::lost_after;
       cluster.StartAttempt(0);
     },
     1},
    {"append takes no effect and its reply is lost",
     [](claim_cluster& cluster) {
       cluster.current_append_fault = append_fault::lost_before;
       cluster.StartAttempt(0);
       cluster.RunFor(absl::Milliseconds(50));
       cluster.current_append_fault = append_fault::none;
     },
     1},
    {"every append is refused",
     [](claim_cluster& cluster) {
       cluster.current_append_fault = append_fault::refused;
       cluster.StartAttempt(0);
     },
     0, error_kind::log_unavailable, run_state::not_run},
    {"appends take effect after the send window",
     [](claim_cluster& cluster) {
       cluster.current_append_fault = append_fault::late;
       cluster.StartAttempt(0);
     },
     0, error_kind::log_unavailable, run_state::not_run},
    {"append of one daemon is late and that of the other refused",
     [](claim_cluster& cluster) {
       cluster.current_append_fault = append_fault::late;
       cluster.append_delay = absl::Seconds(2);
       cluster.StartAttempt(0);
       cluster.RunFor(absl::Milliseconds(100));
       cluster.current_append_fault = append_fault::refused;
       cluster.StartAttempt(1);
     },
     1, error_kind::key_in_progress},
    {"claim is appended late, after another daemon's was refused",
     [](claim_cluster& cluster) {
       cluster.peers_unreachable = true;
       cluster.current_append_fault = append_fault::late;
       cluster.append_delay = absl::Milliseconds(3800);
       const int first = cluster.FindDaemon(/*is_home=*/true);
       cluster.StartAttempt(first);
       cluster.RunFor(absl::Milliseconds(50));
       cluster.daemons[first]->reads_fail = true;
       cluster.current_append_fault = append_fault::refused;
       cluster.StartAttempt(cluster.FindDaemon(/*is_home=*/false));
       cluster.RunFor(absl::Milliseconds(3600));
       cluster.daemons[first]->reads_fail = false;
     },
     0, error_kind::log_unavailable, run_state::not_run},
    {"log can't be read",
     [](claim_cluster& cluster) {
       cluster.reads_fail = true;
       cluster.StartAttempt(0);
     },
     0, error_kind::log_unavailable, run_state::unknown},
    {"log outage after the claim",
     [](claim_cluster& cluster) {
       cluster.StartAttempt(0);
       cluster.RunFor(absl::Milliseconds(60));
       cluster.reads_fail = true;
       cluster.current_append_fault = append_fault::refused;
       cluster.RunFor(absl::Seconds(10));
       cluster.reads_fail = false;
       cluster.current_append_fault = append_fault::none;
       cluster.RunFor(absl::Seconds(30));
       cluster.StartAttempt(1);
       cluster.RunFor(absl::Seconds(10));
       EXPECT_TRUE(cluster.attempts[1]->replayed);
     },
     1},
    {"daemons can't reach each other, so that both append",
     [](claim_cluster& cluster) {
       cluster.peers_unreachable = true;
       cluster.StartAttempt(cluster.FindDaemon(/*is_home=*/false));
       cluster.RunFor(absl::Milliseconds(1500));
       cluster.StartAttempt(cluster.FindDaemon(/*is_home=*/true));
       cluster.RunFor(absl::Milliseconds(50));
       EXPECT_EQ(
           cluster.attempts[0]->status.ok() + cluster.attempts[1]->status.ok(),
           1);
     },
     1},
    {"home is killed between append and reply",
     [](claim_cluster& cluster) {
       cluster.StartAttempt(cluster.FindDaemon(/*is_home=*/false));
       cluster.RunFor(absl::Milliseconds(5));
       cluster.daemons[cluster.FindDaemon(/*is_home=*/true)]->killed = true;
     },
     1},
    {"home is frozen for 20 s",
     [](claim_cluster& cluster) {
       cluster.Freeze(cluster.FindDaemon(/*is_home=*/true), absl::Seconds(20));
       cluster.StartAttempt(cluster.FindDaemon(/*is_home=*/false));
     },
     1},
    {"holder is killed after its claim",
     [](claim_cluster& cluster) {
       const int holder = cluster.FindDaemon(/*is_home=*/false);
       cluster.StartAttempt(holder);
       cluster.RunFor(absl::Milliseconds(9));
       cluster.daemons[holder]->killed = true;
       cluster.RunFor(absl::Seconds(60));
       cluster.StartAttempt(cluster.FindDaemon(/*is_home=*/true));
     },
     0, error_kind::outcome_unknown},
    {"holder is frozen past its lease before the grant",
     [](claim_cluster& cluster) {
       const int holder = cluster.FindDaemon(/*is_home=*/false);
       cluster.StartAttempt(holder);
       cluster.RunFor(absl::Milliseconds(9));
       cluster.Freeze(holder, absl::Seconds(20));
       cluster.RunFor(absl::Seconds(60));
       cluster.StartAttempt(cluster.FindDaemon(/*is_home=*/true));
     },
     1},
    {"holder is frozen between check and send: the key stays in use",
     [](claim_cluster& cluster) {
       const int holder = cluster.FindDaemon(/*is_home=*/false);
       cluster.send_delay = absl::Milliseconds(50);
       cluster.StartAttempt(holder);
       cluster.RunFor(absl::Milliseconds(40));
       cluster.Freeze(holder, absl::Seconds(60));
       cluster.RunFor(absl::Seconds(50));
       cluster.StartAttempt(cluster.FindDaemon(/*is_home=*/true));
     },
     1, error_kind::outcome_unknown},
    {"key is older than the oldest record in the log",
     [](claim_cluster& cluster) {
       cluster.complete_since = kStart;
       cluster.StartAttempt(0);
     },
     0, error_kind::key_expired},
    {"key contains no time",
     [](claim_cluster& cluster) { cluster.StartAttempt(0, "b", "dues"); }, 0,
     error_kind::key_malformed, run_state::not_run},
    {"key contains a future time",
     [](claim_cluster& cluster) {
       cluster.StartAttempt(0, "b", "1800000100-dues");
     },
     0, error_kind::key_malformed, run_state::not_run},
};

TEST(claim_service, RunsAtMostOnceAndReportsTheRunState) {
  for (const fault_case& c : kFaultCases) {
    claim_cluster cluster(2);
    c.run(cluster);
    cluster.RunFor(kSettleTime);
    EXPECT_EQ(cluster.executions, c.executions) << c.name;
    CheckGuarantees(cluster, c.name);
    const absl::Status last = cluster.attempts.back()->status;
    EXPECT_LT(cluster.attempts.back()->completed_at, absl::InfiniteFuture())
        << c.name;
    EXPECT_EQ(last.ok(), c.last_error == error_kind::internal)
        << c.name << ": " << last;
    if (last.ok()) continue;
    EXPECT_EQ(AnswerFor(KindOf(last)).name, AnswerFor(c.last_error).name)
        << c.name;
    EXPECT_EQ(RunStateName(RunStateOf(last)), RunStateName(c.last_run_state))
        << c.name;
  }
}

TEST(claim_service, KeyCanBeUsedAgainOnceTheOutageIsOver) {
  for (append_fault fault :
       {append_fault::refused, append_fault::late, append_fault::lost_before}) {
    claim_cluster cluster(2);
    cluster.current_append_fault = fault;
    cluster.StartAttempt(0);
    cluster.RunFor(absl::Seconds(8));
    cluster.current_append_fault = append_fault::none;
    cluster.RunFor(absl::Seconds(30));
    cluster.StartAttempt(1);
    cluster.RunFor(kSettleTime);
    EXPECT_EQ(cluster.executions, 1);
    EXPECT_TRUE(cluster.attempts[1]->status.ok());
    for (auto& d : cluster.daemons) {
      EXPECT_EQ(d->service->UnwrittenRecords(), 0u);
    }
  }
}

/// Applies one random fault or repair, or starts an attempt, and then runs for
/// a random time.
void RandomStep(claim_cluster& cluster, std::mt19937& random) {
  const auto pick = [&](int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random);
  };
  const int daemon = pick(static_cast<int>(cluster.daemons.size()));
  switch (pick(8)) {
    case 0:
      cluster.current_append_fault = static_cast<append_fault>(pick(5));
      cluster.append_delay = absl::Milliseconds(pick(6000));
      break;
    case 1:
      cluster.daemons[daemon]->reads_fail = pick(2) == 0;
      break;
    case 2:
      cluster.peers_unreachable = pick(2) == 0;
      break;
    case 3:
      cluster.Freeze(daemon, absl::Milliseconds(pick(12000)));
      break;
    case 4:
      if (daemon == 0 && pick(4) == 0) cluster.daemons[daemon]->killed = true;
      break;
    default:
      cluster.StartAttempt(daemon);
  }
  cluster.RunFor(absl::Milliseconds(pick(2) == 0 ? pick(20) : pick(3000)));
}

// First of the seeds that one test runs. A single test over all of them takes
// nearly its whole time limit with sanitizers.
class claim_service_faults : public testing::TestWithParam<int> {};

INSTANTIATE_TEST_SUITE_P(seeds, claim_service_faults,
                         testing::Values(0, 500, 1000));

TEST_P(claim_service_faults, GuaranteesHoldUnderRandomFaults) {
  constexpr int kSeeds = 500;
  constexpr int kSteps = 14;
  int ran = 0;
  int not_run = 0;
  for (int seed = GetParam(); seed < GetParam() + kSeeds; ++seed) {
    std::mt19937 random(seed);
    claim_cluster cluster(3);
    for (int step = 0; step < kSteps; ++step) RandomStep(cluster, random);
    cluster.RunFor(kSettleTime);
    CheckGuarantees(cluster, absl::StrCat("seed ", seed));
    if (testing::Test::HasFailure()) return;
    ran += cluster.executions;
    for (const auto& a : cluster.attempts) {
      not_run += !a->status.ok() && RunStateOf(a->status) == run_state::not_run;
    }
  }
  EXPECT_GT(ran, kSeeds / 2) << "too few calls run to test the guarantees";
  EXPECT_GT(not_run, 0);
}

TEST(claim_service, ManyCallsShareFewAppends) {
  constexpr int kCalls = 2000;
  // Claims may use half of the 200 appends per second that the log accepts.
  constexpr double kAppendsPerSecond = 100;
  // Each of the two daemons may start 4 appends without delay.
  constexpr int kBurstAppends = 2 * 4;
  claim_cluster cluster(2);
  const absl::Time began = cluster.now;
  const int appends_before = cluster.append_calls;
  for (int i = 0; i < kCalls; ++i) {
    cluster.StartAttempt(i % 2, "body", absl::StrCat("1799999990-", i));
    if (i % 10 == 0) cluster.RunFor(absl::Milliseconds(10));
  }
  while (cluster.executions < kCalls && cluster.now < began + kSettleTime) {
    cluster.RunFor(absl::Milliseconds(10));
  }
  const double seconds = absl::ToDoubleSeconds(cluster.now - began);
  const int appends = cluster.append_calls - appends_before;
  std::cout << kCalls << " calls in " << seconds << " s with " << appends
            << " appends\n";
  EXPECT_EQ(cluster.executions, kCalls);
  EXPECT_LE(appends, kAppendsPerSecond * seconds + kBurstAppends);
}

}  // namespace
}  // namespace anvilridge
