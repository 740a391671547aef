// Sends of streamed requests against the send budget, over a real daemon
// process: arrivals at the engines beyond the first one of a request, without
// the first prefill that an engine accepted, are taken from the budget.
#include <algorithm>
#include <map>
#include <ostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "dispatch/daemon_count.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/platform_scene.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

// Within which a daemon on this machine must act.
constexpr absl::Duration kBound = absl::Seconds(10);
// Within which a request must be rejected that no engine may receive. Callers
// here wait for longer.
constexpr absl::Duration kAtOnce = absl::Seconds(1);
constexpr char kNoBudget[] = "ratio = 0\nslack = 0";
// Four extra sends are saved up within two seconds, and two are earned in each
// second.
constexpr char kSmallBudget[] = "ratio = 0\nslack = 8\nwindow = 1s";
// More requests than the small budget has extra sends.
constexpr int kRequests = 8;

// What an engine does with a request.
enum class engine_act { serve, reset, refuse, fail, break_off };

struct budget_case {
  std::string name;
  // What the prefill and the decode engines do with each request in turn; all
  // later ones are treated as the last.
  std::vector<engine_act> prefills;
  std::vector<engine_act> decodes;
  // What a request leads to without a budget. A status of 0 stands for an
  // answer that is broken off.
  int status = 0;
  size_t prefills_without_budget = 0;
  size_t decodes_without_budget = 0;
};

void PrintTo(const budget_case& tried, std::ostream* out) {
  *out << tried.name;
}

engine_act ActFor(const std::vector<engine_act>& acts, size_t arrival) {
  return acts[std::min(arrival, acts.size() - 1)];
}

void Write(QTcpSocket& socket, const std::string& text) {
  socket.write(text.data(), static_cast<qint64>(text.size()));
}

void Respond(QTcpSocket& socket, const raw_request& request, int status,
             const std::string& body, const std::string& fields = "") {
  Write(socket,
        absl::StrCat(platform_scene::Head(request, status), fields,
                     "Content-Length: ", body.size(), "\r\n\r\n", body));
}

void ActAsEngine(QTcpSocket& socket, const raw_request& request,
                 engine_act act) {
  const bool is_prefill = !platform_scene::Field(request, "stage").empty();
  const std::string head =
      platform_scene::Head(request, 200) + "Transfer-Encoding: chunked\r\n\r\n";
  switch (act) {
    case engine_act::serve:
      if (is_prefill) {
        return Respond(socket, request, 200, R"({"Handle":"h1","Tokens":100})");
      }
      Write(socket, head);
      platform_scene::Events(socket, 1, 3);
      return Write(socket, "0\r\n\r\n");
    case engine_act::reset:
      return raw_server::Reset(socket);
    case engine_act::refuse:
      return Respond(socket, request, 503, "", "Not-Run: 1\r\n");
    case engine_act::fail:
      return Respond(socket, request, 500, "failed");
    case engine_act::break_off:
      Write(socket, head);
      platform_scene::Events(socket, 1, 2);
      return raw_server::Reset(socket);
  }
}

// Returns a handler that treats each request as `acts` say.
raw_server::handler ActInTurn(const std::vector<engine_act>& acts) {
  return [acts, arrivals = size_t{0}](QTcpSocket& socket,
                                      const raw_request& request) mutable {
    if (request.method == "DELETE") {
      return Respond(socket, request, 200, "{}");
    }
    ActAsEngine(socket, request, ActFor(acts, arrivals++));
  };
}

class send_budget_path_test : public testing::Test {
 protected:
  // Starts the daemon with two prefill and two decode engines.
  void Start(const std::string& budget) {
    scene_.Put("keyed.op", "config",
               R"({"Version":2,"Routes":[{"Name":"draft","Host":"a.example",)"
               R"("PathPrefix":"/draft/","Kind":"stream","TimeoutMs":5000,)"
               R"("LatencyTargetMs":900,"Attempts":4,"CanResume":true,)"
               R"("GapTargetMs":300,"Service":"model"}],"Services":[)"
               R"({"Name":"model","MaxConns":9,"Engine":{"Slots":4,)"
               R"("KvCapacity":100000,"KvTokenBytes":16,"LinkMbps":1000,)"
               R"("HandleTtlS":1,"StageSwitchS":6,"Stride":10}}]})");
    PutEngine("p2", scene_.PrefillAddress(), "prefill");
    PutEngine("d2", scene_.DecodeAddress(), "decode");
    ASSERT_TRUE(scene_.Start(budget));
    ASSERT_TRUE(Eventually(kBound, [&] {
      return CountLines("upstream_entry") >= 4 &&
             CountLines("config_in_force") >= 1;
    }));
  }

  void PutEngine(const std::string& id, const std::string& address,
                 const std::string& stage) {
    scene_.Put("keyed.servers", id,
               absl::StrCat(R"({"Service":"model","Addr":")", address,
                            R"(","Zone":"z","Slots":4,"State":"ready",)",
                            R"("Stage":")", stage, R"(","Seq":0})"));
  }

  // A daemon has no extra sends at its start.
  static void WaitForBudget() {
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(kCountSettleTime) +
                                std::chrono::milliseconds(500));
  }

  test_answer Draft(const std::string& id = "q1") {
    test_request request;
    request.method = "POST";
    request.port = scene_.CallerPort();
    request.target = "/draft/1";
    request.headers = {{"Host", "a.example"},
                       {"Request-Id", id},
                       {"Token-Count", "100,400"},
                       {"Deadline-Ms", "4800"}};
    request.body = "text";
    return Send(request);
  }

  size_t CountLines(const std::string& event) {
    return std::max<size_t>(
               1, std::vector<std::string>(
                      absl::StrSplit(scene_.Daemon().Out(),
                                     absl::StrCat("\"event\":\"", event, "\"")))
                      .size()) -
           1;
  }

  // Requests that reached the prefill engines, without releases of handles.
  std::vector<raw_request> Prefills() {
    std::vector<raw_request> prefills = scene_.AtPrefill();
    std::erase_if(prefills, [](const raw_request& request) {
      return request.method == "DELETE";
    });
    return prefills;
  }

  // Returns the arrivals that count against the budget, where the prefill
  // engines act as `acts` say.
  size_t ExtraArrivals(const std::vector<engine_act>& acts) {
    struct arrivals_of_request {
      size_t counted = 0;
      bool prefill_accepted = false;
    };
    std::map<std::string, arrivals_of_request> requests;
    size_t number = 0;
    for (const raw_request& prefill : Prefills()) {
      arrivals_of_request& arrivals =
          requests[platform_scene::Field(prefill, "request-id")];
      const bool accepted = ActFor(acts, number++) == engine_act::serve;
      if (!accepted || std::exchange(arrivals.prefill_accepted, true)) {
        ++arrivals.counted;
      }
    }
    for (const raw_request& decode : scene_.AtDecode()) {
      ++requests[platform_scene::Field(decode, "request-id")].counted;
    }
    size_t extra = 0;
    for (const auto& [id, arrivals] : requests) {
      extra += std::max<size_t>(1, arrivals.counted) - 1;
    }
    return extra;
  }

  platform_scene scene_;
};

class failing_send_test : public send_budget_path_test,
                          public testing::WithParamInterface<budget_case> {
 protected:
  void SetUp() override {
    scene_.OnPrefill(ActInTurn(GetParam().prefills));
    scene_.OnDecode(ActInTurn(GetParam().decodes));
  }
};

// Guards against a send that the budget denies and that is made all the same,
// such as a decode behind a lost prefill.
TEST_P(failing_send_test, WithoutBudgetNoExtraSendIsMade) {
  ASSERT_NO_FATAL_FAILURE(Start(kNoBudget));
  const absl::Time start = absl::Now();
  const test_answer answer = Draft();
  EXPECT_LT(absl::Now() - start, kAtOnce);
  EXPECT_EQ(answer.status, GetParam().status);
  if (answer.status == 503) {
    EXPECT_NE(answer.Header("retry-after"), "");
  }
  EXPECT_EQ(Prefills().size(), GetParam().prefills_without_budget);
  EXPECT_EQ(scene_.AtDecode().size(), GetParam().decodes_without_budget);
  EXPECT_EQ(ExtraArrivals(GetParam().prefills), 0u);
}

// Guards against arrivals beyond the first one of a request that the budget
// doesn't know, while it lasts and after it is used up.
TEST_P(failing_send_test, EachExtraArrivalIsTakenFromTheBudget) {
  ASSERT_NO_FATAL_FAILURE(Start(kSmallBudget));
  WaitForBudget();
  for (int i = 0; i < kRequests; ++i) Draft(absl::StrCat("q", i));
  const size_t extra = ExtraArrivals(GetParam().prefills);
  EXPECT_GT(extra, 0u);
  EXPECT_TRUE(
      Eventually(kBound, [&] { return CountLines("extra_send") >= extra; }));
  EXPECT_EQ(CountLines("extra_send"), extra);
}

INSTANTIATE_TEST_SUITE_P(
    failures, failing_send_test,
    testing::Values(
        budget_case{
            "PrefillLost", {engine_act::reset}, {engine_act::serve}, 503, 1, 0},
        budget_case{"PrefillRefused",
                    {engine_act::refuse},
                    {engine_act::serve},
                    503,
                    1,
                    0},
        budget_case{"PrefillFailed",
                    {engine_act::fail},
                    {engine_act::serve},
                    503,
                    1,
                    0},
        budget_case{"PrefillLostAndItsReplacementRefused",
                    {engine_act::reset, engine_act::refuse},
                    {engine_act::serve},
                    503,
                    1,
                    0},
        budget_case{"DecodeRefused",
                    {engine_act::serve},
                    {engine_act::refuse},
                    503,
                    1,
                    1},
        budget_case{"DecodeRefusedBehindALostPrefill",
                    {engine_act::reset},
                    {engine_act::refuse},
                    503,
                    1,
                    0},
        budget_case{"DecodeLostBehindALostPrefill",
                    {engine_act::reset},
                    {engine_act::reset},
                    503,
                    1,
                    0},
        budget_case{"RunBrokenOff",
                    {engine_act::serve},
                    {engine_act::break_off},
                    0,
                    1,
                    1},
        budget_case{"RunBrokenOffBehindALostPrefill",
                    {engine_act::reset},
                    {engine_act::break_off},
                    503,
                    1,
                    0}),
    [](const auto& test) { return test.param.name; });

// Guards against a request that is rejected although nothing of it has arrived
// anywhere: an engine that can't be reached costs no extra send.
TEST_F(send_budget_path_test, AnUnreachablePrefillIsNoSend) {
  PutEngine("p1", "127.0.0.1:1", "prefill");
  ASSERT_NO_FATAL_FAILURE(Start(kNoBudget));
  PutEngine("p2", "127.0.0.1:1", "prefill");
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(Draft(absl::StrCat("q", i)).status, 200);
  }
  EXPECT_EQ(scene_.AtDecode().size(), 4u);
}

// Guards against a second decode that the budget doesn't know behind a handle
// that has lapsed at its engine.
TEST_F(send_budget_path_test, ADecodeBehindALapsedHandleIsAnExtraSend) {
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    const bool has_handle =
        !platform_scene::Field(request, "kv-source").empty();
    ActAsEngine(socket, request,
                has_handle ? engine_act::refuse : engine_act::serve);
  });
  ASSERT_NO_FATAL_FAILURE(Start(kSmallBudget));
  EXPECT_EQ(Draft("q1").status, 503);
  EXPECT_EQ(scene_.AtDecode().size(), 1u);
  WaitForBudget();
  EXPECT_EQ(Draft("q2").status, 200);
  EXPECT_EQ(Prefills().size(), 2u);
  EXPECT_EQ(scene_.AtDecode().size(), 3u);
  EXPECT_TRUE(
      Eventually(kBound, [&] { return CountLines("extra_send") == 1; }));
}

}  // namespace
}  // namespace anvilridge
