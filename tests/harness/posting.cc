#include "harness/posting.h"

#include "absl/time/clock.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"

namespace anvilridge {
namespace {

fleet_options Options(bool fencing) {
  fleet_options options;
  options.daemons = 3;
  options.prefill_engines = 0;
  options.decode_engines = 0;
  options.services = 2;
  options.services_check_fencing = fencing;
  if (fencing) options.service_options = {"--checks-fencing"};
  options.platform_options = {"--max-records=64"};
  return options;
}

}  // namespace

posting::posting(bool fencing)
    : deployment(Options(fencing)),
      fencing(fencing),
      key(fencing ? UuidKey(absl::Now()) : SecondsKey(absl::Now())) {}

test_answer posting::Call(size_t daemon, int fee) const {
  return Send(Request(daemon, key, fee));
}

std::future<test_answer> posting::Begin(size_t daemon) const {
  return std::async(std::launch::async,
                    [this, daemon] { return Call(daemon); });
}

test_request posting::Request(size_t daemon, const std::string& call_key,
                              int fee) const {
  test_request request;
  request.method = "POST";
  request.port = deployment.daemons[daemon].caller;
  request.target = kPostingPath;
  request.headers = deployment.Caller(
      {{"Idempotency-Key", call_key}, {"Content-Type", "application/json"}});
  request.body = BodyText({{"fee", fee}});
  request.timeout = kAnswerBound;
  return request;
}

int posting::Runs() const { return RunsOf(deployment, key); }

bool posting::WaitForRun() const {
  return Eventually(kBound, [this] { return Runs() == 1; });
}

bool posting::WaitForClaim(int before) const {
  return Eventually(
      kBound, [this, before] { return ClaimAppends(deployment) > before; });
}

std::string Ran(const test_answer& answer) {
  return answer.Json()["ran"].toString().toStdString();
}

bool Replayed(const test_answer& answer) {
  return answer.Header("idempotency-replayed") == "true";
}

void ExpectNoSecondRun(const test_answer& answer, int runs_before) {
  if (answer.status == 201) {
    EXPECT_TRUE(runs_before == 0 || Replayed(answer)) << answer.body;
    return;
  }
  EXPECT_NE(Ran(answer), "") << answer.status << answer.error;
  if (runs_before > 0) {
    EXPECT_NE(Ran(answer), "not_run") << answer.body;
  }
}

void RetryThroughAll(const posting& call) {
  ClearLedgerFaults(call.deployment);
  for (int round = 0; round < 2; ++round) {
    for (size_t i = 0; i < call.deployment.daemons.size(); ++i) {
      if (!call.deployment.daemons[i].process->Running()) continue;
      const int before = call.Runs();
      ExpectNoSecondRun(call.Call(i), before);
      EXPECT_LE(call.Runs(), 1) << "through daemon " << i;
    }
  }
}

}  // namespace anvilridge
