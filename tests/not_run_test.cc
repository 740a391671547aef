#include <signal.h>

#include <QJsonArray>
#include <future>
#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "base/error_kind.h"
#include "base/run_state.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/ledger.h"
#include "harness/operator_line.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);

// Longer than any answer of a daemon.
constexpr absl::Duration kAnswerBound = absl::Seconds(20);

// Sizes past the daemon's limits as set here.
constexpr int kMaxBodyBytes = 2048;
constexpr int kMaxHeaderBytes = 4096;

fleet_options OneDaemon() {
  fleet_options options;
  options.daemons = 1;
  options.services = 1;
  options.platform_options = {"--max-records=64"};
  options.settings = {{"limits",
                       {{"max_body_bytes", absl::StrCat(kMaxBodyBytes)},
                        {"max_header_bytes", absl::StrCat(kMaxHeaderBytes)}}}};
  return options;
}

// One refusal or failure being made.
struct scene {
  fleet deployment{OneDaemon()};
  std::string key = SecondsKey(absl::Now());
  // What else goes on while the call is answered.
  std::future<test_answer> other;

  uint16_t Port() const { return deployment.daemons[0].caller; }
};

// Runs of all kinds of work that an upstream did for a call.
int Executions(const fleet& fleet) {
  int sum = 0;
  for (const standin& service : fleet.services) {
    if (!service.process->Running()) continue;
    const QJsonObject counts = Get(service.port, "/standin/counts").Json();
    sum += counts["total"].toInt() + counts["reads"].toInt();
  }
  for (const auto* engines : {&fleet.prefill, &fleet.decode}) {
    for (const standin& engine : *engines) {
      if (!engine.process->Running()) continue;
      const QJsonObject started =
          Get(engine.port, "/standin/totals").Json()["started"].toObject();
      for (const QJsonValue count : started) sum += count.toInt();
    }
  }
  return sum;
}

// ---- Calls ----

test_request Posting(const scene& on, const std::string& key) {
  test_request request;
  request.method = "POST";
  request.port = on.Port();
  request.target = kPostingPath;
  request.headers =
      on.deployment.Caller({{"Content-Type", "application/json"}});
  if (!key.empty()) request.headers.emplace_back("Idempotency-Key", key);
  request.body = BodyText({{"fee", 12}});
  request.timeout = kAnswerBound;
  return request;
}

test_request Keyed(const scene& on) { return Posting(on, on.key); }

test_request Unkeyed(const scene& on) { return Posting(on, ""); }

test_request Balance(const scene& on) {
  test_request request;
  request.port = on.Port();
  request.target = kBalancePath;
  request.headers = on.deployment.Caller();
  request.timeout = kAnswerBound;
  return request;
}

test_request Completion(const scene& on) {
  test_request request = Unkeyed(on);
  request.target = "/v1/completions";
  request.body = BodyText(fleet::Completion("Summarise the season.", 4));
  return request;
}

test_request Without(test_request request) {
  std::erase_if(request.headers, [](const auto& field) {
    return field.first == "Authorization";
  });
  return request;
}

test_request WithUnknownKey(test_request request) {
  request = Without(std::move(request));
  request.headers.emplace_back("Authorization", "Bearer nobody");
  return request;
}

test_request WithLargeBody(test_request request) {
  request.body = std::string(kMaxBodyBytes + 1, ' ');
  return request;
}

test_request WithLargeHeader(test_request request) {
  request.headers.emplace_back("X-Large", std::string(kMaxHeaderBytes, 'x'));
  return request;
}

test_request Elsewhere(const scene& on) {
  test_request request = Unkeyed(on);
  request.target = "/nowhere";
  return request;
}

test_request OtherModel(const scene& on) {
  test_request request = Completion(on);
  request.body = BodyText({{"model", "none"}, {"prompt", "x"}});
  return request;
}

test_request WrongMethod(const scene& on) {
  test_request request = Completion(on);
  request.method = "DELETE";
  return request;
}

test_request MalformedCompletion(const scene& on) {
  test_request request = Completion(on);
  request.body = "{\"model\": ";
  return request;
}

// ---- Troubles ----

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
     headers_too_large, not_run, false},
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
