#include <signal.h>

#include <QJsonArray>
#include <future>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "base/error_kind.h"
#include "base/run_state.h"
#include "claims/claim_record.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/ledger.h"
#include "harness/operator_line.h"
#include "harness/refusal_scene.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);

void Nothing(scene&) {}

void Drained(scene& on) {
  for (const char* name : {"ledger-1", "prefill-1", "decode-1"}) {
    const std::string line =
        absl::StrCat("drain upstream ", name, " because \"disk errors\"");
    ASSERT_EQ(GiveCommand(on.deployment.daemons[0], line).status, 200);
  }
}

void RateUsedUp(scene& on) {
  ASSERT_EQ(GiveCommand(on.deployment.daemons[0],
                        "change team choir rate=0.1 because \"season\"")
                .status,
            200);
  EXPECT_EQ(Send(Balance(on)).status, 200);
}

void OneInProgress(scene& on) {
  ASSERT_EQ(GiveCommand(on.deployment.daemons[0],
                        "change team choir concurrency=1 because \"season\"")
                .status,
            200);
  SetServiceFault(on.deployment, "late_answer", {{"ms", 2000}});
  on.other = std::async(std::launch::async, [&] { return Send(Balance(on)); });
  ASSERT_TRUE(
      Eventually(kBound, [&] { return ReadsOfAll(on.deployment) > 0; }));
}

void RequestsUsedUp(scene& on) {
  SetServiceFault(on.deployment, "late_answer", {{"ms", 3000}});
  for (int i = 0; i < kMaxRequests; ++i) {
    on.others.push_back(
        std::async(std::launch::async, [&] { return Send(Balance(on)); }));
  }
  ASSERT_TRUE(Eventually(
      kBound, [&] { return ReadsOfAll(on.deployment) == kMaxRequests; }));
}

// Connections that go on sending their request. Any that was itself refused,
// while the cap was being found, is replaced.
void ConnectionsUsedUp(scene& on) {
  test_request slow = Unkeyed(on);
  slow.headers.emplace_back("Content-Length", "100");
  const error_answer& refusal = AnswerFor(error_kind::too_many_connections);
  ASSERT_TRUE(Eventually(kBound, [&] {
    on.streams.push_back(std::make_unique<event_stream>(slow));
    return Send(Without(Unkeyed(on))).status == refusal.http_status;
  }));
}

void NotReady(scene& on) {
  SetFault(on.deployment.platform.port, "outage");
  on.deployment.daemons[0].process->Kill();
  on.deployment.RestartDaemon(0);
}

void AppendsOut(scene& on) {
  SetFault(on.deployment.platform.port, "outage", {{"what", "append"}});
}

void LogOut(scene& on) { SetFault(on.deployment.platform.port, "outage"); }

void KeyOld(scene& on) {
  ExpireClaims(on.deployment);
  on.key = SecondsKey(absl::Now() - absl::Hours(1));
}

void KeyMalformed(scene& on) { on.key = "season"; }

void KeyOfTheFuture(scene& on) {
  on.key = SecondsKey(absl::Now() + absl::Hours(1));
}

void KeyOfOtherBody(scene& on) {
  test_request other = Keyed(on);
  other.body = BodyText({{"fee", 13}});
  EXPECT_EQ(Send(other).status, 201);
}

void KeyInProgress(scene& on) {
  SetServiceFault(on.deployment, "late_answer", {{"ms", 2000}});
  on.other = std::async(std::launch::async, [&] { return Send(Keyed(on)); });
  ASSERT_TRUE(Eventually(kBound, [&] { return RunsOfAll(on.deployment) > 0; }));
}

void UpstreamsGone(scene& on) {
  on.deployment.services[0].process->Kill();
  on.deployment.prefill[0].process->Kill();
}

void DecodeGone(scene& on) { on.deployment.decode[0].process->Kill(); }

template <const char* kFault>
void ServiceFault(scene& on) {
  SetServiceFault(on.deployment, kFault);
}

constexpr char kCloseAfterRead[] = "close_after_read";
constexpr char kCloseAfterRun[] = "close_after_run";
constexpr char kLoseAnswer[] = "lose_answer";

void PrefillRefuses(scene& on) {
  SetFault(on.deployment.prefill[0].port, "refuse_prefill");
}

void PrefillCloses(scene& on) {
  SetFault(on.deployment.prefill[0].port, "close_after_read",
           {{"path", "/v1/prefill"}});
}

void ImportRefused(scene& on) {
  SetFault(on.deployment.decode[0].port, "refuse_import");
}

void PrefillSilent(scene& on) {
  SetFault(on.deployment.prefill[0].port, "stall_prefill");
}

void ImportSilent(scene& on) {
  SetFault(on.deployment.decode[0].port, "late_answer",
           {{"path", "/v1/import"}, {"ms", 60000}});
}

// The engine gives the transfer up by itself.
void TransferStalled(scene& on) {
  SetFault(on.deployment.prefill[0].port, "stall_transfer");
}

void DecodeSilent(scene& on) {
  SetFault(on.deployment.decode[0].port, "stall_decode");
}

// Another request has the only place until after this one's target.
void PlaceTaken(scene& on) {
  ASSERT_EQ(GiveCommand(on.deployment.daemons[0],
                        "change upstream decode-1 slots=1 because \"season\"")
                .status,
            200);
  test_request request = Completion(on);
  request.body = BodyText(fleet::Completion("Draft a note.", 2000));
  on.streams.push_back(std::make_unique<event_stream>(request));
  ASSERT_TRUE(on.streams.back()->WaitForEvents(1, kBound));
}

// The only place is to come free in time, and does not.
void PlaceOverdue(scene& on) {
  const fleet_daemon& daemon = on.deployment.daemons[0];
  for (const char* line :
       {"change upstream decode-1 slots=1 because \"season\"",
        "change route drafts first_token=2s because \"season\""}) {
    ASSERT_EQ(GiveCommand(daemon, line).status, 200);
  }
  test_request request = Completion(on);
  request.body = BodyText(fleet::Completion("Draft a note.", 40));
  on.streams.push_back(std::make_unique<event_stream>(request));
  ASSERT_TRUE(on.streams.back()->WaitForEvents(1, kBound));
  DecodeSilent(on);
}

// The claim is in the log, and its holder hears so past its send window. The
// append takes effect after 1 s, so that the read with which the holder begins
// does not show the claim in time.
void ClaimAnsweredLate(scene& on) {
  SetFault(on.deployment.platform.port, "slow",
           {{"path", "/log/claims"}, {"method", "POST"}, {"ms", 1000}});
  const int late_ms =
      static_cast<int>(absl::ToInt64Milliseconds(kMaxSendWindow)) + 500;
  SetFault(on.deployment.platform.port, "late_answer",
           {{"path", "/log/claims"}, {"method", "POST"}, {"ms", late_ms}});
}

// A request that keeps the daemon from ending while it stops.
void Stopping(scene& on) {
  SetServiceFault(on.deployment, "late_answer", {{"ms", 3000}});
  on.other = std::async(std::launch::async, [&] { return Send(Balance(on)); });
  ASSERT_TRUE(
      Eventually(kBound, [&] { return ReadsOfAll(on.deployment) > 0; }));
  on.deployment.daemons[0].process->Signal(SIGTERM);
  ASSERT_TRUE(
      Eventually(kBound, [&] { return !on.deployment.daemons[0].Ready(); }));
}

struct refusal_case {
  const char* name;
  void (*make)(scene&);
  test_request (*call)(const scene&);
  error_kind kind;
  run_state ran;
  bool retry_after;
};

std::ostream& operator<<(std::ostream& out, const refusal_case& tested) {
  return out << tested.name;
}

using enum error_kind;
using enum run_state;

const refusal_case kRefusals[] = {
    {"NoCredential", Nothing,
     [](const scene& on) { return Without(Unkeyed(on)); }, missing_credential,
     not_run, false},
    {"NoCredentialOfCompletion", Nothing,
     [](const scene& on) { return Without(Completion(on)); },
     missing_credential, not_run, false},
    {"UnknownCredential", Nothing,
     [](const scene& on) { return WithUnknownKey(Unkeyed(on)); },
     unknown_credential, not_run, false},
    {"NoCredentialKeyed", Nothing,
     [](const scene& on) { return Without(Keyed(on)); }, missing_credential,
     unknown, false},
    {"UnknownRoute", Nothing, Elsewhere, unknown_route, not_run, false},
    {"UnknownModel", Nothing, OtherModel, unknown_route, not_run, false},
    {"WrongMethod", Nothing, WrongMethod, method_not_allowed, not_run, false},
    {"MalformedCompletion", Nothing, MalformedCompletion, malformed_request,
     not_run, false},
    {"LargeBody", Nothing,
     [](const scene& on) { return WithLargeBody(Unkeyed(on)); }, body_too_large,
     not_run, false},
    {"LargeBodyOfCompletion", Nothing,
     [](const scene& on) { return WithLargeBody(Completion(on)); },
     body_too_large, not_run, false},
    {"LargeHeader", Nothing,
     [](const scene& on) { return WithLargeHeader(Unkeyed(on)); },
     headers_too_large, unknown, false},
    {"LargeHeaderKeyed", Nothing,
     [](const scene& on) { return WithLargeHeader(Keyed(on)); },
     headers_too_large, unknown, false},
    {"LargeBodyKeyed", Nothing,
     [](const scene& on) { return WithLargeBody(Keyed(on)); }, body_too_large,
     unknown, false},
    {"Connections", ConnectionsUsedUp, Unkeyed, too_many_connections, unknown,
     true},
    {"ConnectionsKeyed", ConnectionsUsedUp, Keyed, too_many_connections,
     unknown, true},
    {"Requests", RequestsUsedUp, Unkeyed, too_many_connections, not_run, true},
    {"RequestsKeyed", RequestsUsedUp, Keyed, too_many_connections, unknown,
     true},
    {"Drained", Drained, Unkeyed, no_upstream, not_run, true},
    {"DrainedKeyed", Drained, Keyed, no_upstream, not_run, true},
    {"DrainedBalance", Drained, Balance, no_upstream, not_run, true},
    {"DrainedCompletion", Drained, Completion, no_upstream, not_run, true},
    {"RateLimit", RateUsedUp, Unkeyed, rate_limited, not_run, true},
    {"RateLimitKeyed", RateUsedUp, Keyed, rate_limited, unknown, true},
    {"RateLimitCompletion", RateUsedUp, Completion, rate_limited, not_run,
     true},
    {"Concurrency", OneInProgress, Unkeyed, concurrency_limited, not_run, true},
    {"ConcurrencyKeyed", OneInProgress, Keyed, concurrency_limited, unknown,
     true},
    {"ConcurrencyCompletion", OneInProgress, Completion, concurrency_limited,
     not_run, true},
    {"NotReady", NotReady, Unkeyed, not_ready, not_run, true},
    {"NotReadyCompletion", NotReady, Completion, not_ready, not_run, true},
    {"NotReadyKeyed", NotReady, Keyed, not_ready, unknown, true},
    {"StoppingKeyed", Stopping, Keyed, shutting_down, unknown, true},
    {"Stopping", Stopping, Unkeyed, shutting_down, not_run, true},
    {"StoppingCompletion", Stopping, Completion, shutting_down, not_run, true},
    {"AppendsOut", AppendsOut, Keyed, log_unavailable, not_run, true},
    {"LogOut", LogOut, Keyed, log_unavailable, unknown, true},
    {"KeyOld", KeyOld, Keyed, key_expired, unknown, false},
    {"KeyMalformed", KeyMalformed, Keyed, key_malformed, not_run, false},
    {"KeyOfTheFuture", KeyOfTheFuture, Keyed, key_malformed, not_run, false},
    {"KeyOfOtherBody", KeyOfOtherBody, Keyed, key_conflict, unknown, false},
    {"KeyInProgress", KeyInProgress, Keyed, key_in_progress, unknown, true},
    {"ServiceGone", UpstreamsGone, Unkeyed, no_upstream, not_run, true},
    {"ServiceGoneKeyed", UpstreamsGone, Keyed, no_upstream, not_run, true},
    {"PrefillGone", UpstreamsGone, Completion, upstream_failed, not_run, true},
    {"DecodeGone", DecodeGone, Completion, overloaded, not_run, true},
    {"ClosedAfterRead", ServiceFault<kCloseAfterRead>, Unkeyed, outcome_unknown,
     unknown, false},
    {"ClosedAfterReadKeyed", ServiceFault<kCloseAfterRead>, Keyed,
     outcome_unknown, unknown, false},
    {"ClosedAfterRun", ServiceFault<kCloseAfterRun>, Unkeyed, outcome_unknown,
     unknown, false},
    {"BalanceClosedAfterRun", ServiceFault<kCloseAfterRun>, Balance,
     no_upstream, unknown, true},
    {"StalledKeyed", ServiceFault<kLoseAnswer>, Keyed, outcome_unknown, unknown,
     false},
    {"Stalled", ServiceFault<kLoseAnswer>, Unkeyed, outcome_unknown, unknown,
     false},
    {"PrefillRefuses", PrefillRefuses, Completion, upstream_refused, not_run,
     true},
    {"PrefillCloses", PrefillCloses, Completion, upstream_failed, unknown,
     true},
    {"ImportRefused", ImportRefused, Completion, upstream_refused, unknown,
     true},
    {"PrefillSilent", PrefillSilent, Completion, upstream_stalled, unknown,
     true},
    {"ImportSilent", ImportSilent, Completion, upstream_stalled, unknown, true},
    {"TransferStalled", TransferStalled, Completion, upstream_refused, unknown,
     true},
    {"DecodeSilent", DecodeSilent,
     [](const scene& on) {
       test_request patient = Completion(on);
       patient.timeout = 2 * patient.timeout;
       return patient;
     },
     upstream_stalled, unknown, true},
    {"NoPlaceInTime", PlaceTaken, Completion, overloaded, not_run, true},
    {"DeadlineInQueue", PlaceOverdue, Completion, overloaded, not_run, true},
    {"DeadlineBeforeSend", ClaimAnsweredLate, Keyed, deadline_exceeded, not_run,
     true},
};

class not_run_test : public testing::TestWithParam<refusal_case> {};

TEST_P(not_run_test, AnswerIsTrue) {
  const refusal_case& tested = GetParam();
  scene on;
  tested.make(on);
  if (HasFatalFailure()) return;
  const int before = Executions(on.deployment);
  const test_answer answer = Send(tested.call(on));
  const int executions = Executions(on.deployment) - before;
  const error_answer& row = AnswerFor(tested.kind);
  EXPECT_EQ(answer.status, row.http_status) << answer.body << answer.error;
  const std::string type = answer.Json()["type"].toString().toStdString();
  EXPECT_TRUE(absl::EndsWith(type, row.name)) << answer.body;
  const std::string ran = answer.Json()["ran"].toString().toStdString();
  EXPECT_EQ(ran, RunStateName(tested.ran)) << answer.body;
  EXPECT_EQ(!answer.Header("retry-after").empty(), tested.retry_after);
  if (ran == "not_run") {
    EXPECT_EQ(executions, 0) << answer.body;
  }
}

INSTANTIATE_TEST_SUITE_P(Refusals, not_run_test, testing::ValuesIn(kRefusals),
                         [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace anvilridge
