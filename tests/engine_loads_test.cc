#include <QJsonArray>
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/operator_line.h"
#include "membership/home_map.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kOrderBound = absl::Seconds(30);

fleet_options Options() {
  fleet_options options;
  options.daemons = 3;
  options.prefill_engines = 2;
  options.decode_engines = 2;
  options.prefill_options = {"--model-load-ms=200"};
  options.decode_options = {"--model-load-ms=200", "--checks-fencing"};
  options.platform_options = {"--weights-ms=300"};
  return options;
}

class loads_test : public testing::Test {
 protected:
  std::string Info(const standin& engine, const char* field) const {
    return Get(engine.port, "/v1/info").Json()[field].toString().toStdString();
  }

  QJsonArray Orders(const standin& engine) const {
    return Get(engine.port, "/standin/orders").Json()["orders"].toArray();
  }

  qsizetype Deliveries() const {
    return Get(fleet_.platform.port, "/standin/totals")
        .Json()["weights"]
        .toArray()
        .size();
  }

  std::string StageAt(size_t daemon, const std::string& upstream) const {
    return FirstRow(
               fleet_.daemons[daemon],
               absl::StrCat("show loads where upstream=", upstream))["state"]
        .toString()
        .toStdString();
  }

  void Give(const std::string& line) {
    const test_answer given = GiveCommand(fleet_.daemons[0], line);
    ASSERT_EQ(given.status, 200) << given.body;
  }

  // Index of the daemon that is the home of `engine`.
  size_t HomeIndex(const std::string& engine) const {
    std::vector<std::string> names;
    for (const fleet_daemon& daemon : fleet_.daemons) {
      names.push_back(daemon.name);
    }
    const auto home = HomeOf(engine, names);
    return std::find(names.begin(), names.end(), std::string(home)) -
           names.begin();
  }

  fleet fleet_{Options()};
};

TEST_F(loads_test, ALoadIsDeliveredOnceOrderedOnceAndThenServes) {
  Give("load model model version 2 on upstream decode-1 because \"release\"");
  EXPECT_TRUE(Eventually(kOrderBound, [&] {
    return Info(fleet_.decode[0], "version") == "2" &&
           StageAt(1, "decode-1") == "done";
  })) << StageAt(1, "decode-1");
  EXPECT_EQ(Deliveries(), 1);
  EXPECT_EQ(Orders(fleet_.decode[0]).size(), 1);
  EXPECT_EQ(Info(fleet_.decode[1], "version"), "1");
  EXPECT_TRUE(Eventually(kOrderBound, [&] {
    return FirstRow(fleet_.daemons[2],
                    "show upstreams where name=decode-1")["state"] == "serving";
  }));
}

TEST_F(loads_test, ARoleChangeWaitsForTheRequestsOfTheEngine) {
  std::vector<std::unique_ptr<event_stream>> streams;
  for (int i = 0; i < 6; ++i) {
    test_request request;
    request.method = "POST";
    request.port = fleet_.daemons[i % 3].caller;
    request.target = "/v1/completions";
    request.headers = fleet_.Caller();
    request.timeout = kOrderBound;
    request.body = BodyText(fleet::Completion(absl::StrCat("p", i), 300));
    streams.push_back(std::make_unique<event_stream>(request));
    ASSERT_TRUE(streams.back()->WaitForEvents(1, absl::Seconds(10)));
  }
  const size_t busy = EngineRequests(fleet_.decode[0].port).empty() ? 1 : 0;
  const standin& engine = fleet_.decode[busy];
  ASSERT_FALSE(EngineRequests(engine.port).empty());
  Give(absl::StrCat("role upstream decode-", busy + 1,
                    " to prefill pool=drafts-prefill because \"evening\""));
  bool changed_under_requests = false;
  EXPECT_TRUE(Eventually(kOrderBound, [&] {
    const bool holds = !EngineRequests(engine.port).empty();
    const bool changed = Info(engine, "role") == "prefill";
    if (holds && changed) changed_under_requests = true;
    return changed;
  }));
  EXPECT_FALSE(changed_under_requests);
  for (const auto& stream : streams) {
    EXPECT_TRUE(stream->WaitForEnd(kOrderBound));
    EXPECT_EQ(stream->Events().back().data, "[DONE]");
  }
}

TEST_F(loads_test, AnotherHomeFinishesTheLoadOfOneThatWasKilled) {
  const size_t home = HomeIndex("decode-1");
  ASSERT_LT(home, fleet_.daemons.size());
  SetFault(fleet_.platform.port, "outage", {{"what", "weights"}});
  Give("load model model version 2 on upstream decode-1 because \"release\"");
  const size_t other = (home + 1) % fleet_.daemons.size();
  ASSERT_TRUE(Eventually(kOrderBound, [&] {
    const std::string stage = StageAt(other, "decode-1");
    return stage == "waiting" || stage == "fetching";
  }));
  fleet_.daemons[home].process->Kill();
  ClearFaults(fleet_.platform.port);
  EXPECT_TRUE(Eventually(kOrderBound, [&] {
    return Info(fleet_.decode[0], "version") == "2" &&
           StageAt(other, "decode-1") == "done";
  })) << StageAt(other, "decode-1");
  EXPECT_EQ(Orders(fleet_.decode[0]).size(), 1);
}

TEST_F(loads_test, AStaleFenceIsShownAsRefusedAndNotRepeated) {
  const test_answer later = Post(fleet_.decode[0].port, "/v1/orders",
                                 {{"order", "unload"},
                                  {"model", "none"},
                                  {"version", "1"},
                                  {"adapter", ""},
                                  {"role", ""},
                                  {"fence", 1000000}});
  ASSERT_EQ(later.status, 202) << later.body;
  Give("load model model version 2 on upstream decode-1 because \"release\"");
  EXPECT_TRUE(Eventually(kOrderBound, [&] {
    return StageAt(1, "decode-1") == "refused";
  })) << StageAt(1, "decode-1");
  EXPECT_EQ(Orders(fleet_.decode[0]).size(), 1);
  EXPECT_EQ(Info(fleet_.decode[0], "version"), "1");
}

}  // namespace
}  // namespace anvilridge
