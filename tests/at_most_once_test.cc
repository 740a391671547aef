#include <signal.h>

#include <future>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "absl/time/clock.h"
#include "claims/claim_record.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/posting.h"

namespace anvilridge {
namespace {

using trouble = void (*)(posting&);

void ThroughThreeAtOnce(posting& call) {
  constexpr int kRounds = 10;
  for (int round = 0; round < kRounds; ++round) {
    call.key = SecondsKey(absl::Now());
    std::vector<std::future<test_answer>> answers;
    for (size_t i = 0; i < 3; ++i) answers.push_back(call.Begin(i));
    int first_hand = 0;
    for (auto& pending : answers) {
      const test_answer answer = pending.get();
      if (answer.status == 201 && !Replayed(answer)) ++first_hand;
      if (answer.status != 201) {
        EXPECT_EQ(answer.status, 409) << answer.body;
      }
    }
    EXPECT_EQ(first_hand, 1) << round;
    EXPECT_EQ(call.Runs(), 1) << round;
  }
}

void EntryKilledWhileServiceIsSlow(posting& call) {
  SetServiceFault(call.deployment, "late_answer", {{"ms", 2000}});
  std::future<test_answer> first = call.Begin(0);
  ASSERT_TRUE(call.WaitForRun());
  call.deployment.daemons[0].process->Kill();
  EXPECT_EQ(first.get().status, 0);
  const test_answer retried = call.Call(1);
  EXPECT_EQ(Ran(retried), "unknown") << retried.body;
}

void FrozenBetweenClaimAndSend(posting& call) {
  SetFault(call.deployment.platform.port, "late_answer",
           {{"path", "/log/claims"}, {"ms", 1500}});
  std::future<test_answer> first = call.Begin(0);
  ASSERT_TRUE(call.WaitForClaim());
  call.deployment.daemons[0].process->Freeze();
  ClearFaults(call.deployment.platform.port);
  absl::SleepFor(kMaxSendWindow);
  const test_answer retried = call.Call(1);
  EXPECT_EQ(Ran(retried), "unknown") << retried.body;
  call.deployment.daemons[0].process->Thaw();
  const test_answer late = first.get();
  EXPECT_NE(late.status, 201);
  EXPECT_EQ(call.Runs(), 0) << late.body;
}

// The bytes have left when the upstream freezes: only a service that checks
// the number's expiry can refuse the late call.
void UpstreamFrozenPastTheSendWindow(posting& call) {
  for (const standin& service : call.deployment.services) {
    service.process->Freeze();
  }
  std::future<test_answer> first = call.Begin(0);
  ASSERT_TRUE(call.WaitForClaim());
  absl::SleepFor(kMaxSendWindow + absl::Seconds(1));
  const test_answer retried = call.Call(1);
  EXPECT_EQ(Ran(retried), "unknown") << retried.body;
  for (const standin& service : call.deployment.services) {
    service.process->Thaw();
  }
  const test_answer late = first.get();
  const bool checks = call.fencing;
  EXPECT_EQ(call.Runs(), checks ? 0 : 1) << late.body;
  EXPECT_EQ(late.status, checks ? 502 : 201) << late.body;
}

void AppendAnswerLost(posting& call) {
  SetFault(call.deployment.platform.port, "lose_answer_after_effect",
           {{"path", "/log/claims"}, {"method", "POST"}, {"count", 1}});
  const test_answer answer = call.Call(0);
  EXPECT_EQ(answer.status, 201) << answer.body;
  EXPECT_EQ(call.Runs(), 1);
}

void AppendsOutBeforeTheClaim(posting& call) {
  SetFault(call.deployment.platform.port, "outage", {{"what", "append"}});
  const test_answer answer = call.Call(0);
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(Ran(answer), "not_run") << answer.body;
  EXPECT_EQ(call.Runs(), 0);
}

void LogOutBeforeTheClaim(posting& call) {
  SetFault(call.deployment.platform.port, "outage");
  const test_answer answer = call.Call(0);
  EXPECT_EQ(answer.status, 503);
  EXPECT_EQ(Ran(answer), "unknown") << answer.body;
  EXPECT_EQ(call.Runs(), 0);
}

void LogOutAfterTheClaim(posting& call) {
  SetServiceFault(call.deployment, "late_answer", {{"ms", 1500}});
  std::future<test_answer> first = call.Begin(0);
  ASSERT_TRUE(call.WaitForRun());
  SetFault(call.deployment.platform.port, "outage");
  EXPECT_EQ(first.get().status, 201);
  const test_answer retried = call.Call(1);
  EXPECT_EQ(Ran(retried), "unknown") << retried.body;
}

void ClosedAfterRead(posting& call) {
  SetServiceFault(call.deployment, "close_after_read");
  const test_answer answer = call.Call(0);
  EXPECT_EQ(Ran(answer), "unknown") << answer.body;
  EXPECT_EQ(call.Runs(), 0);
}

void ClosedAfterRun(posting& call) {
  SetServiceFault(call.deployment, "close_after_run");
  const test_answer answer = call.Call(0);
  EXPECT_EQ(Ran(answer), "unknown") << answer.body;
  EXPECT_EQ(call.Runs(), 1);
}

void AnswerOfTheServiceLost(posting& call) {
  SetServiceFault(call.deployment, "lose_answer");
  const test_answer answer = call.Call(0);
  EXPECT_EQ(Ran(answer), "unknown") << answer.body;
  EXPECT_EQ(call.Runs(), 1);
}

void CallerLeavesAndRetries(posting& call) {
  SetServiceFault(call.deployment, "late_answer", {{"ms", 1000}});
  test_request hasty = call.Request(0, call.key, 12);
  hasty.timeout = absl::Milliseconds(500);
  EXPECT_EQ(Send(hasty).status, 0);
  EXPECT_TRUE(Eventually(kBound, [&] { return Replayed(call.Call(1)); }));
  EXPECT_EQ(call.Runs(), 1);
}

void OtherBody(posting& call) {
  EXPECT_EQ(call.Call(0).status, 201);
  const test_answer other = call.Call(1, 13);
  EXPECT_EQ(other.status, 422) << other.body;
  EXPECT_EQ(Ran(other), "unknown");
}

// Each daemon is home of some keys, so some of these lose their home.
void HomeKilled(posting& call) {
  constexpr int kKeys = 9;
  SetFault(call.deployment.platform.port, "late_answer",
           {{"path", "/log/claims"}, {"method", "POST"}, {"ms", 300}});
  std::vector<std::string> keys;
  std::vector<std::future<test_answer>> answers;
  for (int i = 0; i < kKeys; ++i) {
    keys.push_back(SecondsKey(absl::Now()));
    answers.push_back(std::async(std::launch::async, [&call, key = keys[i]] {
      return Send(call.Request(0, key, 12));
    }));
  }
  ASSERT_TRUE(call.WaitForClaim());
  call.deployment.daemons[2].process->Kill();
  for (auto& answer : answers) {
    const test_answer got = answer.get();
    EXPECT_EQ(got.status, 201) << got.body;
  }
  for (const std::string& key : keys) {
    EXPECT_EQ(RunsOf(call.deployment, key), 1);
    ExpectNoSecondRun(Send(call.Request(1, key, 12)), 1);
    EXPECT_EQ(RunsOf(call.deployment, key), 1);
  }
}

void PlannedStopInBetween(posting& call) {
  SetServiceFault(call.deployment, "late_answer", {{"ms", 1500}});
  std::future<test_answer> first = call.Begin(0);
  ASSERT_TRUE(call.WaitForRun());
  call.deployment.daemons[0].process->Signal(SIGTERM);
  const test_answer early = call.Call(1);
  EXPECT_EQ(Ran(early), "unknown") << early.body;
  EXPECT_EQ(first.get().status, 201);
  EXPECT_EQ(call.deployment.daemons[0].process->WaitForExit(kAnswerBound), 0);
  const test_answer retried = call.Call(1);
  EXPECT_EQ(retried.status, 201) << retried.body;
  EXPECT_TRUE(Replayed(retried));
}

// The daemons restart, so that none remembers the call.
void RecordsExpired(posting& call) {
  EXPECT_EQ(call.Call(0).status, 201);
  ExpireClaims(call.deployment);
  for (size_t i = 0; i < call.deployment.daemons.size(); ++i) {
    call.deployment.daemons[i].process->Kill();
    call.deployment.RestartDaemon(i);
  }
  ASSERT_TRUE(call.deployment.WaitReady(kAnswerBound));
  const test_answer retried = call.Call(1);
  EXPECT_EQ(retried.status, 409) << retried.body;
  EXPECT_EQ(Ran(retried), "unknown") << retried.body;
}

struct trouble_case {
  const char* name;
  trouble make;
  // How often the call ran by then; negative when `make` has checked it.
  int runs;
};

constexpr trouble_case kTroubles[] = {
    {"ThroughThreeAtOnce", ThroughThreeAtOnce, 1},
    {"EntryKilledWhileServiceIsSlow", EntryKilledWhileServiceIsSlow, 1},
    {"FrozenBetweenClaimAndSend", FrozenBetweenClaimAndSend, 0},
    {"UpstreamFrozenPastTheSendWindow", UpstreamFrozenPastTheSendWindow, -1},
    {"AppendAnswerLost", AppendAnswerLost, 1},
    {"AppendsOutBeforeTheClaim", AppendsOutBeforeTheClaim, 0},
    {"LogOutBeforeTheClaim", LogOutBeforeTheClaim, 0},
    {"LogOutAfterTheClaim", LogOutAfterTheClaim, 1},
    {"ClosedAfterRead", ClosedAfterRead, 0},
    {"ClosedAfterRun", ClosedAfterRun, 1},
    {"AnswerOfTheServiceLost", AnswerOfTheServiceLost, 1},
    {"CallerLeavesAndRetries", CallerLeavesAndRetries, 1},
    {"OtherBody", OtherBody, 1},
    {"HomeKilled", HomeKilled, 0},
    {"PlannedStopInBetween", PlannedStopInBetween, 1},
    {"RecordsExpired", RecordsExpired, 1},
};

std::ostream& operator<<(std::ostream& out, const trouble_case& tested) {
  return out << tested.name;
}

class at_most_once_test
    : public testing::TestWithParam<std::tuple<trouble_case, bool>> {};

// After the trouble the call is retried through every daemon, twice.
TEST_P(at_most_once_test, CallRunsAtMostOnce) {
  const auto& [trouble, fencing] = GetParam();
  posting call(fencing);
  trouble.make(call);
  if (HasFatalFailure()) return;
  if (trouble.runs >= 0) {
    EXPECT_EQ(call.Runs(), trouble.runs);
  }
  RetryThroughAll(call);
}

std::string CaseName(
    const testing::TestParamInfo<std::tuple<trouble_case, bool>>& tested) {
  const trouble_case& trouble = std::get<0>(tested.param);
  return std::string(trouble.name) +
         (std::get<1>(tested.param) ? "Fenced" : "Unfenced");
}

INSTANTIATE_TEST_SUITE_P(Troubles, at_most_once_test,
                         testing::Combine(testing::ValuesIn(kTroubles),
                                          testing::Bool()),
                         CaseName);

// ---- Balance lookups may be repeated ----

fleet_options OneThread() {
  fleet_options options;
  options.daemons = 1;
  options.prefill_engines = 0;
  options.decode_engines = 0;
  options.services = 2;
  options.settings = {{"daemon", {{"traffic_threads", "1"}}}};
  return options;
}

// Lookups that the services have read, whatever became of them.
int LookupsRead(const fleet& fleet) {
  const QString call = QString("GET ") + kBalancePath;
  int calls = 0;
  for (const standin& service : fleet.services) {
    calls += Get(service.port, "/standin/calls").Json()[call].toInt();
  }
  return calls;
}

TEST(lookup_retry_test, LookupMovesOnWhenItsUpstreamClosesTheConnection) {
  constexpr int kLookups = 20;
  constexpr int kClosed = 3;
  for (const char* fault : {"close_after_read", "close_after_run"}) {
    fleet fleet(OneThread());
    SetFault(fleet.services[0].port, fault, {{"count", kClosed}});
    for (int i = 0; i < kLookups; ++i) {
      const test_answer answer =
          Get(fleet.daemons[0].caller, kBalancePath, fleet.Caller());
      EXPECT_EQ(answer.status, 200) << answer.body;
    }
    EXPECT_GT(LookupsRead(fleet), kLookups);
    EXPECT_LE(LookupsRead(fleet), kLookups + kClosed);
  }
}

TEST(lookup_retry_test, RetriesStayWithinTheirBudget) {
  constexpr int kLookups = 200;
  // The budget's stock, and one retry for each ten lookups.
  constexpr int kMostRetries = 10 + kLookups / 10;
  fleet fleet(OneThread());
  SetServiceFault(fleet, "close_after_run", {{"probability", 0.4}});
  int answered = 0;
  for (int i = 0; i < kLookups; ++i) {
    const test_answer answer =
        Get(fleet.daemons[0].caller, kBalancePath, fleet.Caller());
    if (answer.status == 200) ++answered;
  }
  EXPECT_GT(answered, 0);
  EXPECT_GT(LookupsRead(fleet), kLookups / 2);
  EXPECT_LE(LookupsRead(fleet), kLookups + kMostRetries);
}

}  // namespace
}  // namespace anvilridge
