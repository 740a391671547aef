#include <QJsonArray>
#include <memory>

#include "common/token_text.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "upstreams/vm_watch.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);
// An upstream that leaves gets no new work after this: the brief's "a few
// seconds", counted from the command's record or from the list that shows it.
constexpr absl::Duration kNoNewWorkAfter = absl::Seconds(5);
// How long new work is offered afterwards.
constexpr absl::Duration kWatched = absl::Seconds(2);
constexpr char kPrompt[] = "Draft a proof note for the new card order.";
// Tokens of the request that is in flight while its engine leaves.
constexpr int kLongAnswer = 400;

int Started(const standin& engine) {
  return static_cast<int>(
      Get(engine.port, "/standin/totals").Json()["started"].toObject().size());
}

int Executed(const standin& service) {
  return Get(service.port, "/standin/counts").Json()["total"].toInt();
}

test_request Streaming(const fleet& fleet_under_test, size_t daemon,
                       const QJsonObject& body) {
  test_request request;
  request.method = "POST";
  request.port = fleet_under_test.daemons[daemon].caller;
  request.target = "/v1/completions";
  request.headers = fleet_under_test.Caller();
  request.body = BodyText(body);
  request.timeout = absl::Seconds(60);
  return request;
}

enum class way { drain_command, vm_list };
enum class kind { prefill_engine, decode_engine, service };

struct leaving_case {
  const char* name;
  way by;
  kind of;
};

class leaving_test : public testing::TestWithParam<leaving_case> {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.daemons = 2;
    options.prefill_engines = 2;
    options.decode_engines = 2;
    options.services = 2;
    return options;
  }

  const standin& Leaver() const {
    switch (GetParam().of) {
      case kind::prefill_engine:
        return fleet_.prefill[0];
      case kind::decode_engine:
        return fleet_.decode[0];
      case kind::service:
        return fleet_.services[0];
    }
    return fleet_.services[0];
  }

  const char* LeaverName() const {
    switch (GetParam().of) {
      case kind::prefill_engine:
        return "prefill-1";
      case kind::decode_engine:
        return "decode-1";
      case kind::service:
        return "ledger-1";
    }
    return "";
  }

  int Work() const {
    return GetParam().of == kind::service ? Executed(Leaver())
                                          : Started(Leaver());
  }

  void Leave() {
    if (GetParam().by == way::drain_command) {
      config_command drain =
          Command(command_verb::drain, object_kind::upstream, LeaverName(), {});
      drain.base_version = VersionOf(LeaverName());
      fleet_.Append(drain);
      return;
    }
    const QJsonObject row{
        {"name", "vm-1"},
        {"address", QString::fromStdString(Leaver().Address())},
        {"failure_domain", "domain-a"},
        {"kind", GetParam().of == kind::service ? "service" : "engine"},
        {"state", "leaving"}};
    Put(fleet_.platform.port, "/standin/vms",
        {{"vms", QJsonArray{row}}, {"immediate", true}});
  }

  // Offset of the only record about `name` so far.
  int64_t VersionOf(const char* name) const {
    const QJsonArray records =
        Get(fleet_.platform.port, "/log/config?from=1&limit=1000")
            .Json()["records"]
            .toArray();
    for (const QJsonValue record : records) {
      if (record["data"]["name"].toString() == name) {
        return record["offset"].toInteger();
      }
    }
    return 0;
  }

  // Sends one request through each daemon; returns whether all were answered.
  bool OfferWork() {
    bool answered = true;
    for (const fleet_daemon& daemon : fleet_.daemons) {
      const bool service = GetParam().of == kind::service;
      const test_answer answer =
          service ? Post(daemon.caller, "/ledger/postings", {{"fee", 3}},
                         fleet_.Caller())
                  : Post(daemon.caller, "/v1/completions",
                         fleet::Completion(kPrompt, 2, /*stream=*/false),
                         fleet_.Caller());
      answered = answered && answer.status / 100 == 2;
    }
    return answered;
  }

  fleet fleet_{Options()};
};

TEST_P(leaving_test, GetsNoNewWorkAfterTheBoundAndFinishesWhatItHas) {
  ASSERT_TRUE(Eventually(kBound, [&] { return OfferWork() && Work() > 0; }));
  // Enough streams for some to be on either engine.
  constexpr int kInFlight = 8;
  std::vector<std::unique_ptr<event_stream>> in_flight;
  in_flight.reserve(kInFlight);
  for (int i = 0; i < kInFlight; ++i) {
    in_flight.push_back(std::make_unique<event_stream>(
        Streaming(fleet_, i % 2, fleet::Completion(kPrompt, kLongAnswer))));
  }
  for (const auto& stream : in_flight) {
    ASSERT_TRUE(stream->WaitForEvents(1, kBound));
  }
  Leave();
  const absl::Time left = MonotonicNow();
  // New work goes on meanwhile, so that a pause does not hide late work.
  while (MonotonicNow() - left < kNoNewWorkAfter) ASSERT_TRUE(OfferWork());
  const int before = Work();
  const absl::Time watched = MonotonicNow();
  while (MonotonicNow() - watched < kWatched) ASSERT_TRUE(OfferWork());
  EXPECT_EQ(Work(), before);
  for (const auto& stream : in_flight) {
    ASSERT_TRUE(stream->WaitForEnd(absl::Seconds(30)));
    EXPECT_EQ(StreamedText(stream->Events()),
              AnswerText("model", kPrompt, kLongAnswer));
    EXPECT_EQ(stream->Events().back().data, "[DONE]");
  }
}

INSTANTIATE_TEST_SUITE_P(
    cases, leaving_test,
    testing::Values(
        leaving_case{"drained_prefill", way::drain_command,
                     kind::prefill_engine},
        leaving_case{"drained_decode", way::drain_command, kind::decode_engine},
        leaving_case{"drained_service", way::drain_command, kind::service},
        leaving_case{"listed_prefill", way::vm_list, kind::prefill_engine},
        leaving_case{"listed_decode", way::vm_list, kind::decode_engine},
        leaving_case{"listed_service", way::vm_list, kind::service}),
    [](const auto& tested) { return tested.param.name; });

enum class list_fault { frozen, unreachable, slow };

struct stale_case {
  const char* name;
  list_fault fault;
};

class stale_list_test : public testing::TestWithParam<stale_case> {};

TEST_P(stale_list_test, DoesNotStopServing) {
  fleet_options options;
  options.daemons = 1;
  fleet fleet_under_test(options);
  const uint16_t platform = fleet_under_test.platform.port;
  const auto list = [&](const char* state) {
    const QJsonObject row{
        {"name", "vm-1"},
        {"address",
         QString::fromStdString(fleet_under_test.decode[0].Address())},
        {"failure_domain", "domain-a"},
        {"kind", "engine"},
        {"state", state}};
    Put(platform, "/standin/vms",
        {{"vms", QJsonArray{row}}, {"immediate", true}});
  };
  const auto serves = [&] {
    return Post(fleet_under_test.daemons[0].caller, "/v1/completions",
                fleet::Completion(kPrompt, 2, /*stream=*/false),
                fleet_under_test.Caller())
               .status == 200;
  };
  list("live");
  ASSERT_TRUE(Eventually(kBound, serves));
  switch (GetParam().fault) {
    case list_fault::frozen:
      SetFault(platform, "freeze_vms");
      list("leaving");
      break;
    case list_fault::unreachable:
      // The last list before the outage would leave the pool empty.
      list("leaving");
      ASSERT_TRUE(Eventually(kNoNewWorkAfter, [&] { return !serves(); }));
      SetFault(platform, "outage", {{"what", "vms"}});
      EXPECT_TRUE(Eventually(kVmListStaleAfter + kNoNewWorkAfter, serves));
      break;
    case list_fault::slow:
      SetFault(platform, "slow", {{"path", "/vms"}, {"ms", 60000}});
      break;
  }
  const absl::Time began = MonotonicNow();
  while (MonotonicNow() - began < kWatched) EXPECT_TRUE(serves());
}

INSTANTIATE_TEST_SUITE_P(
    cases, stale_list_test,
    testing::Values(stale_case{"frozen", list_fault::frozen},
                    stale_case{"unreachable", list_fault::unreachable},
                    stale_case{"slow", list_fault::slow}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace anvilridge
