#include <QJsonArray>

#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/operator_line.h"

namespace anvilridge {
namespace {

using testing::HasSubstr;
using testing::Not;

// The users' target for a change to be in force everywhere.
constexpr absl::Duration kInForceBound = absl::Seconds(9);

fleet_options FourDaemons() {
  fleet_options options;
  options.daemons = 4;
  return options;
}

bool InForceEverywhere(const fleet& fleet, absl::string_view query,
                       const QString& column, const QJsonValue& value) {
  for (const fleet_daemon& daemon : fleet.daemons) {
    if (FirstRow(daemon, query)[column] != value) return false;
  }
  return true;
}

TEST(operator_session_test, CommandIsInForceOnEveryDaemonWithinTheBound) {
  fleet fleet(FourDaemons());
  const test_answer created =
      GiveCommand(fleet.daemons[0],
                  "create team brigade weight=3 because \"new customer\"");
  ASSERT_EQ(created.status, 200) << created.body;
  EXPECT_TRUE(Eventually(kInForceBound, [&] {
    return InForceEverywhere(fleet, "show teams where name=brigade", "weight",
                             "3");
  }));
}

TEST(operator_session_test,
     ContestedPairChangesNothingAndTheHandoverExplainsIt) {
  fleet fleet(FourDaemons());
  ASSERT_EQ(
      GiveCommand(fleet.daemons[0], "create team brigade because \"n\"").status,
      200);
  ASSERT_TRUE(Eventually(kInForceBound, [&] {
    return InForceEverywhere(fleet, "show teams where name=brigade", "name",
                             "brigade");
  }));
  const int64_t version =
      FirstRow(fleet.daemons[0], "show teams where name=brigade")["version"]
          .toInteger();
  const test_answer first =
      GiveCommand(fleet.daemons[1],
                  "change team brigade weight=2 against " +
                      std::to_string(version) + " because \"season starts\"",
                  "ana");
  const test_answer second =
      GiveCommand(fleet.daemons[2],
                  "change team brigade weight=7 against " +
                      std::to_string(version) + " because \"complaint\"",
                  "ivo");
  EXPECT_EQ(first.status, 200) << first.body;
  EXPECT_EQ(second.status, 409) << second.body;
  EXPECT_TRUE(Eventually(kInForceBound, [&] {
    return InForceEverywhere(fleet, "show teams where name=brigade", "weight",
                             "2");
  }));
  for (const fleet_daemon& daemon : fleet.daemons) {
    EXPECT_TRUE(Eventually(kInForceBound, [&] {
      const std::string contested = AskQuery(daemon, "show contested").body;
      return contested.find("complaint") != std::string::npos;
    }));
  }
  const std::string handover = AskQuery(fleet.daemons[3], "handover").body;
  EXPECT_THAT(handover, HasSubstr("season starts"));
  EXPECT_THAT(handover, HasSubstr("complaint"));
  EXPECT_THAT(handover, HasSubstr("ivo"));
}

TEST(operator_session_test, OperatorPortIsClosedToCallers) {
  fleet fleet;
  const test_answer answer =
      Get(fleet.daemons[0].operators, "/api/v1/query?q=show%20teams",
          fleet.Caller());
  EXPECT_EQ(answer.status, 403);
  EXPECT_EQ(
      Get(fleet.daemons[0].operators, "/api/v1/query?q=show%20pools").status,
      401);
}

test_request LongCompletion(const fleet& fleet, int tokens) {
  test_request request;
  request.method = "POST";
  request.port = fleet.daemons[3].caller;
  request.target = "/v1/completions";
  request.headers = fleet.Caller();
  request.timeout = absl::Seconds(40);
  request.body = BodyText(fleet::Completion("A long summary.", tokens));
  return request;
}

TEST(operator_session_test, RequestsOfAllDaemonsAreShown) {
  fleet_options options = FourDaemons();
  options.decode_options = {"--token-interval-ms=50"};
  fleet fleet(options);
  event_stream stream(LongCompletion(fleet, 200));
  ASSERT_TRUE(stream.WaitForEvents(1, absl::Seconds(5)));
  EXPECT_TRUE(Eventually(kInForceBound, [&] {
    const QJsonObject row = FirstRow(fleet.daemons[0], "show requests");
    return row["team"] == "choir" && row["phase"] == "decode" &&
           row["upstream"] == "decode-1";
  }));
}

TEST(operator_session_test, ACancelledRequestEndsWhereverItRuns) {
  fleet_options options = FourDaemons();
  options.decode_options = {"--token-interval-ms=50"};
  fleet fleet(options);
  event_stream stream(LongCompletion(fleet, 600));
  ASSERT_TRUE(stream.WaitForEvents(1, absl::Seconds(5)));
  QString id;
  ASSERT_TRUE(Eventually(kInForceBound, [&] {
    id = FirstRow(fleet.daemons[0], "show requests")["id"].toString();
    return !id.isEmpty();
  }));
  const test_answer given =
      GiveCommand(fleet.daemons[1],
                  "cancel request " + id.toStdString() + " because \"stuck\"");
  ASSERT_EQ(given.status, 200) << given.body;
  ASSERT_TRUE(stream.WaitForEnd(kInForceBound));
  EXPECT_NE(stream.Events().back().data, "[DONE]");
  EXPECT_TRUE(
      Eventually(kInForceBound, [&] { return fleet.HeldRequests().empty(); }));
}

TEST(operator_session_test, MetricsTellTheStateThatTheAlertsNeed) {
  const fleet fleet;
  const fleet_daemon& daemon = fleet.daemons[0];
  std::string text;
  EXPECT_TRUE(Eventually(kInForceBound, [&] {
    text = Get(daemon.metrics, "/metrics").body;
    return text.find("\nanvil_live_daemons 2\n") != std::string::npos;
  })) << text;
  EXPECT_THAT(text, HasSubstr("\nanvil_log_out 0\n")) << daemon.process->Err();
  EXPECT_THAT(text, Not(HasSubstr("\nanvil_config_offset 0\n")));
  for (const char* name :
       {"anvil_config_offset ", "anvil_cancels_pending ",
        "anvil_requests_active ", "anvil_upstreams_ejected ",
        "anvil_upstreams_leaving ",
        "anvil_control_bytes{channel=\"membership\",direction=\"sent\"} "}) {
    EXPECT_THAT(text, HasSubstr(std::string("\n") + name));
  }
  SetFault(fleet.platform.port, "outage", {{"what", "read"}});
  EXPECT_TRUE(Eventually(absl::Seconds(20), [&] {
    return Get(daemon.metrics, "/metrics").body.find("\nanvil_log_out 1\n") !=
           std::string::npos;
  }));
}

}  // namespace
}  // namespace anvilridge
