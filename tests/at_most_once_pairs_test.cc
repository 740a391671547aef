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
#include "membership/home_map.h"

namespace anvilridge {
namespace {

// From the last answer of a stopping daemon to its end: the 3 s for which it
// waits for the log, and room for a loaded machine.
constexpr absl::Duration kExitBound = absl::Seconds(8);

// Time that the log takes to answer for claims: long enough for a fault in
// between, and within the send window.
constexpr int kSlowLogMs = 2000;

constexpr size_t kEntry = 0;

void SlowServices(const posting& call) {
  SetServiceFault(call.deployment, "late_answer", {{"ms", 2000}});
}

void SlowAppends(const posting& call) {
  SetFault(call.deployment.platform.port, "late_answer",
           {{"path", "/log/claims"}, {"method", "POST"}, {"ms", kSlowLogMs}});
}

// Lets no daemon learn of a claim for that time: neither from the answer to its
// append nor from a read that meets the record.
void SlowClaims(const posting& call) {
  SlowAppends(call);
  SetFault(call.deployment.platform.port, "late_answer",
           {{"path", "/log/claims"}, {"method", "GET"}, {"ms", kSlowLogMs}});
}

void LoseOneAppendAnswer(const posting& call) {
  SetFault(call.deployment.platform.port, "lose_answer_after_effect",
           {{"path", "/log/claims"}, {"method", "POST"}, {"count", 1}});
}

child_process& Process(posting& call, size_t daemon) {
  return *call.deployment.daemons[daemon].process;
}

// Draws keys until the home of the key's claims is daemon `home`.
void ChooseKeyOfHome(posting& call, size_t home) {
  std::vector<std::string> names;
  for (const fleet_daemon& daemon : call.deployment.daemons) {
    names.push_back(daemon.name);
  }
  const auto is_home = [&] {
    const std::string stream = ClaimsStreamName(PartitionOf("choir", call.key));
    return HomeOf(stream, names) == names[home];
  };
  while (!is_home()) {
    call.key = call.fencing ? UuidKey(absl::Now()) : SecondsKey(absl::Now());
  }
}

// The answer to the call itself, byte for byte as the service gave it.
void ExpectWhole(const posting& call, const test_answer& answer) {
  EXPECT_EQ(answer.status, 201) << answer.body << answer.error;
  EXPECT_FALSE(Replayed(answer));
  const QJsonObject body = answer.Json();
  const std::string length(answer.Header("content-length"));
  EXPECT_EQ(std::to_string(answer.body.size()), length);
  EXPECT_EQ(body["key"].toString().toStdString(), call.key) << answer.body;
  EXPECT_EQ(body["executions"].toInt(), 1) << answer.body;
  EXPECT_EQ(body["path"].toString().toStdString(), kPostingPath);
}

// Until the outcome is in the log, a retry is told that the call is in
// progress.
void ExpectReplay(const posting& call, size_t daemon,
                  const test_answer& first) {
  test_answer answer;
  EXPECT_TRUE(Eventually(kBound, [&] {
    answer = call.Call(daemon);
    return answer.Json()["type"].toString() != "key_in_progress";
  }));
  EXPECT_EQ(answer.status, 201) << answer.body << answer.error;
  EXPECT_TRUE(Replayed(answer));
  EXPECT_EQ(answer.body, first.body);
}

void ExpectStopped(posting& call, size_t daemon) {
  EXPECT_EQ(Process(call, daemon).WaitForExit(kExitBound), 0);
}

// ---- Planned stops ----

void StopWhileTheServiceIsSlow(posting& call) {
  SlowServices(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForRun());
  Process(call, kEntry).Signal(SIGTERM);
  const test_answer first = pending.get();
  ExpectWhole(call, first);
  ExpectStopped(call, kEntry);
  ExpectReplay(call, 1, first);
}

void StopBetweenClaimAndSend(posting& call) {
  SlowAppends(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForClaim());
  Process(call, kEntry).Signal(SIGTERM);
  ClearFaults(call.deployment.platform.port);
  const test_answer first = pending.get();
  ExpectWhole(call, first);
  ExpectStopped(call, kEntry);
  ExpectReplay(call, 1, first);
}

// The outcome can't be written before the daemon ends: the key stays used.
void StopInALogOutage(posting& call) {
  SlowServices(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForRun());
  SetFault(call.deployment.platform.port, "outage");
  Process(call, kEntry).Signal(SIGTERM);
  ExpectWhole(call, pending.get());
  ExpectStopped(call, kEntry);
  ClearFaults(call.deployment.platform.port);
  const test_answer retried = call.Call(1);
  EXPECT_EQ(Ran(retried), "unknown") << retried.body;
}

void StopOfTheHome(posting& call) {
  ChooseKeyOfHome(call, 1);
  SlowAppends(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForClaim());
  Process(call, 1).Signal(SIGTERM);
  ClearFaults(call.deployment.platform.port);
  const test_answer first = pending.get();
  ExpectWhole(call, first);
  ExpectStopped(call, 1);
  ExpectReplay(call, 2, first);
}

void StopOfEntryAndHome(posting& call) {
  ChooseKeyOfHome(call, 1);
  SlowServices(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForRun());
  Process(call, kEntry).Signal(SIGTERM);
  Process(call, 1).Signal(SIGTERM);
  const test_answer first = pending.get();
  ExpectWhole(call, first);
  ExpectStopped(call, kEntry);
  ExpectStopped(call, 1);
  ExpectReplay(call, 2, first);
}

// ---- Pairs ----

void StopThenKillOfTheHome(posting& call) {
  ChooseKeyOfHome(call, 1);
  SlowServices(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForRun());
  Process(call, kEntry).Signal(SIGTERM);
  Process(call, 1).Kill();
  const test_answer first = pending.get();
  ExpectWhole(call, first);
  ExpectStopped(call, kEntry);
  ExpectReplay(call, 2, first);
}

void StopThenKillOfAnotherDaemon(posting& call) {
  ChooseKeyOfHome(call, 2);
  SlowServices(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForRun());
  Process(call, kEntry).Signal(SIGTERM);
  Process(call, 1).Kill();
  const test_answer first = pending.get();
  ExpectWhole(call, first);
  ExpectStopped(call, kEntry);
  ExpectReplay(call, 2, first);
}

void FrozenBeforeTheSendAndLogOut(posting& call) {
  SlowClaims(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForClaim());
  Process(call, kEntry).Freeze();
  EXPECT_EQ(call.Runs(), 0);
  SetFault(call.deployment.platform.port, "outage");
  absl::SleepFor(kMaxSendWindow);
  const test_answer retried = call.Call(1);
  EXPECT_EQ(Ran(retried), "unknown") << retried.body;
  Process(call, kEntry).Thaw();
  const test_answer late = pending.get();
  EXPECT_NE(late.status, 201);
  EXPECT_NE(Ran(late), "ran") << late.body;
}

void AppendAnswerLostThenEntryKilled(posting& call) {
  LoseOneAppendAnswer(call);
  SlowServices(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForRun());
  Process(call, kEntry).Kill();
  EXPECT_EQ(pending.get().status, 0);
  const test_answer retried = call.Call(1);
  EXPECT_EQ(Ran(retried), "unknown") << retried.body;
}

// The claim is in the log and its home, which doesn't know so, is gone.
void AppendAnswerLostThenHomeKilled(posting& call) {
  ChooseKeyOfHome(call, 1);
  LoseOneAppendAnswer(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForClaim());
  Process(call, 1).Kill();
  const test_answer first = pending.get();
  ExpectWhole(call, first);
  ExpectReplay(call, 2, first);
}

// Reads of the stream of the call's claims that the platform has got.
int StreamReads(const posting& call) {
  const std::string path =
      "GET /log/" + ClaimsStreamName(PartitionOf("choir", call.key));
  const QJsonObject calls =
      Get(call.deployment.platform.port, "/standin/calls").Json();
  return calls[QString::fromStdString(path)].toInt();
}

// Retries through `daemon`, and kills it while it reads the claims.
void KillWhileItRetries(posting& call, size_t daemon) {
  SetFault(call.deployment.platform.port, "late_answer",
           {{"path", "/log/claims"}, {"method", "GET"}, {"ms", kSlowLogMs}});
  const int before = StreamReads(call);
  std::future<test_answer> retry = call.Begin(daemon);
  EXPECT_TRUE(Eventually(kBound, [&] { return StreamReads(call) > before; }));
  Process(call, daemon).Kill();
  EXPECT_EQ(retry.get().status, 0);
  ClearFaults(call.deployment.platform.port);
}

void ExpectUnknown(const test_answer& answer) {
  EXPECT_EQ(Ran(answer), "unknown") << answer.body << answer.error;
}

void EntryKilledThenTheRetryingOne(posting& call) {
  ChooseKeyOfHome(call, kEntry);
  SlowServices(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForRun());
  Process(call, kEntry).Kill();
  EXPECT_EQ(pending.get().status, 0);
  KillWhileItRetries(call, 1);
  ExpectUnknown(call.Call(2));
}

void BothKilledBeforeTheSend(posting& call) {
  ChooseKeyOfHome(call, kEntry);
  SlowClaims(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForClaim());
  Process(call, kEntry).Kill();
  EXPECT_EQ(call.Runs(), 0);
  EXPECT_EQ(pending.get().status, 0);
  ClearFaults(call.deployment.platform.port);
  KillWhileItRetries(call, 1);
  ExpectUnknown(call.Call(2));
}

void EntryKilledAgainAfterItsRestart(posting& call) {
  SlowServices(call);
  std::future<test_answer> pending = call.Begin(kEntry);
  ASSERT_TRUE(call.WaitForRun());
  Process(call, kEntry).Kill();
  EXPECT_EQ(pending.get().status, 0);
  call.deployment.RestartDaemon(kEntry);
  ASSERT_TRUE(call.deployment.WaitReady(kAnswerBound));
  std::future<test_answer> retry = call.Begin(kEntry);
  Process(call, kEntry).Kill();
  const test_answer cut = retry.get();
  if (cut.status != 0) ExpectNoSecondRun(cut, 1);
  ExpectUnknown(call.Call(1));
}

struct pair_case {
  const char* name;
  void (*make)(posting&);
  // How often the call ran by then.
  int runs;
};

constexpr pair_case kPairs[] = {
    {"StopWhileTheServiceIsSlow", StopWhileTheServiceIsSlow, 1},
    {"StopBetweenClaimAndSend", StopBetweenClaimAndSend, 1},
    {"StopInALogOutage", StopInALogOutage, 1},
    {"StopOfTheHome", StopOfTheHome, 1},
    {"StopOfEntryAndHome", StopOfEntryAndHome, 1},
    {"StopThenKillOfTheHome", StopThenKillOfTheHome, 1},
    {"StopThenKillOfAnotherDaemon", StopThenKillOfAnotherDaemon, 1},
    {"FrozenBeforeTheSendAndLogOut", FrozenBeforeTheSendAndLogOut, 0},
    {"AppendAnswerLostThenEntryKilled", AppendAnswerLostThenEntryKilled, 1},
    {"AppendAnswerLostThenHomeKilled", AppendAnswerLostThenHomeKilled, 1},
    {"EntryKilledThenTheRetryingOne", EntryKilledThenTheRetryingOne, 1},
    {"BothKilledBeforeTheSend", BothKilledBeforeTheSend, 0},
    {"EntryKilledAgainAfterItsRestart", EntryKilledAgainAfterItsRestart, 1},
};

std::ostream& operator<<(std::ostream& out, const pair_case& tested) {
  return out << tested.name;
}

class at_most_once_pairs_test
    : public testing::TestWithParam<std::tuple<pair_case, bool>> {};

// After the faults the call is retried through every daemon left, twice.
TEST_P(at_most_once_pairs_test, CallRunsAtMostOnce) {
  const auto& [pair, fencing] = GetParam();
  posting call(fencing);
  pair.make(call);
  if (HasFatalFailure()) return;
  EXPECT_EQ(call.Runs(), pair.runs);
  RetryThroughAll(call);
}

INSTANTIATE_TEST_SUITE_P(Pairs, at_most_once_pairs_test,
                         testing::Combine(testing::ValuesIn(kPairs),
                                          testing::Bool()),
                         [](const auto& tested) {
                           return std::string(std::get<0>(tested.param).name) +
                                  (std::get<1>(tested.param) ? "Fenced"
                                                             : "Unfenced");
                         });

}  // namespace
}  // namespace anvilridge
