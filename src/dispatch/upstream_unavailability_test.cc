#include "dispatch/upstream_unavailability.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr uint32_t kEngine = 7;
const absl::Time kNow = absl::FromUnixSeconds(1000);

TEST(upstream_unavailability_test, EachRefusalPausesTheUpstreamForLonger) {
  unavailability_table table;
  absl::Time now = kNow;
  absl::Duration last_pause;
  for (int i = 0; i < 6; ++i) {
    RecordRefusal(table, kEngine, now);
    absl::Time pause_end = now;
    while (IsUpstreamUnavailable(table, kEngine, engine_stage::decode,
                                 pause_end)) {
      pause_end += absl::Milliseconds(1);
    }
    EXPECT_GE(pause_end - now, last_pause);
    EXPECT_LE(pause_end - now, absl::Seconds(2));
    last_pause = pause_end - now;
    now = pause_end;
  }
  RecordAccepted(table, kEngine);
  RecordRefusal(table, kEngine, now);
  EXPECT_FALSE(IsUpstreamUnavailable(table, kEngine, engine_stage::decode,
                                     now + absl::Milliseconds(100)));
}

TEST(upstream_unavailability_test, RefusalsDuringAPauseDoNotExtendIt) {
  unavailability_table table;
  for (int i = 0; i < 5; ++i) RecordRefusal(table, kEngine, kNow);
  EXPECT_FALSE(IsUpstreamUnavailable(table, kEngine, engine_stage::none,
                                     kNow + absl::Milliseconds(100)));
}

TEST(upstream_unavailability_test, AnOrderedEngineIsAvailableInItsNewStage) {
  unavailability_table table;
  RecordLeavingStage(table, kEngine, engine_stage::prefill,
                     kNow + absl::Seconds(12));
  EXPECT_TRUE(
      IsUpstreamUnavailable(table, kEngine, engine_stage::prefill, kNow));
  EXPECT_FALSE(
      IsUpstreamUnavailable(table, kEngine, engine_stage::decode, kNow));
  EXPECT_FALSE(IsUpstreamUnavailable(table, kEngine, engine_stage::prefill,
                                     kNow + absl::Seconds(13)));
}

// Guards against sends to an instance that is gone. A daemon that the store
// refuses to serve keeps that instance in its list of upstreams.
TEST(upstream_unavailability_test, AMisdirectedUpstreamIsAwayForSeconds) {
  unavailability_table table;
  RecordMisdirected(table, kEngine, engine_stage::decode, kNow);
  const absl::Time later = kNow + absl::Seconds(3);
  EXPECT_TRUE(
      IsUpstreamUnavailable(table, kEngine, engine_stage::decode, later));
  // The upstream has since been registered with another stage.
  EXPECT_FALSE(
      IsUpstreamUnavailable(table, kEngine, engine_stage::prefill, later));
  EXPECT_FALSE(IsUpstreamUnavailable(table, kEngine, engine_stage::decode,
                                     kNow + absl::Seconds(6)));
}

// Guards against each daemon losing a request of its own to find out that an
// engine is unreachable.
TEST(upstream_unavailability_test, ReportsOfTwoPeersMakeAnUpstreamUnavailable) {
  unavailability_table table;
  RecordPeerReport(table, kEngine, "one", kNow);
  RecordPeerReport(table, kEngine, "one", kNow);
  EXPECT_FALSE(
      IsUpstreamUnavailable(table, kEngine, engine_stage::decode, kNow));
  RecordPeerReport(table, kEngine, "two", kNow);
  EXPECT_TRUE(
      IsUpstreamUnavailable(table, kEngine, engine_stage::decode, kNow));
  // The upstream is tried again once the reports have expired.
  EXPECT_FALSE(IsUpstreamUnavailable(table, kEngine, engine_stage::decode,
                                     kNow + absl::Milliseconds(1100)));
}

// Guards against losing engines that are cut off from other daemons only.
TEST(upstream_unavailability_test, OwnResponsesTakePrecedenceOverReports) {
  unavailability_table table;
  RecordResponse(table, kEngine, kNow);
  RecordPeerReport(table, kEngine, "one", kNow);
  RecordPeerReport(table, kEngine, "two", kNow);
  EXPECT_FALSE(
      IsUpstreamUnavailable(table, kEngine, engine_stage::decode, kNow));
}

TEST(upstream_unavailability_test, AFailedConnectionIsReportedForOneSecond) {
  unavailability_table table;
  RecordConnectFailure(table, kEngine, kNow);
  EXPECT_TRUE(
      IsUpstreamUnavailable(table, kEngine, engine_stage::decode, kNow));
  EXPECT_EQ(UnreachableUpstreams(table, kNow + absl::Milliseconds(900)),
            std::vector<uint32_t>{kEngine});
  EXPECT_TRUE(
      UnreachableUpstreams(table, kNow + absl::Milliseconds(1100)).empty());
  RecordResponse(table, kEngine, kNow);
  EXPECT_TRUE(UnreachableUpstreams(table, kNow).empty());
}

}  // namespace
}  // namespace anvilridge
