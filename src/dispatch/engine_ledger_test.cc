#include "dispatch/engine_ledger.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

TEST(engine_ledger_test, CountsTheRunsOfAllDaemons) {
  engine_ledger ledger;
  ledger.tokens_per_ms = 1;
  ReserveRun(ledger, "r1", "e1", 100, 50, kNow);
  ReserveRun(ledger, "r2", "e2", 100, 50, kNow);
  daemon_load peer;
  peer.engines[EngineKey("e1")].runs.push_back({10, 5, kNow});
  ledger.peers["p"] = {peer, kNow};
  EXPECT_EQ(EngineRuns(ledger, "e1", kNow).size(), 2u);
  EXPECT_EQ(EngineRuns(ledger, "e2", kNow).size(), 1u);
  EndRun(ledger, "r1");
  EXPECT_EQ(EngineRuns(ledger, "e1", kNow).size(), 1u);
}

TEST(engine_ledger_test, IgnoresTheLoadOfASilentDaemon) {
  engine_ledger ledger;
  daemon_load peer;
  peer.engines[EngineKey("e1")].runs.push_back({10, 5, kNow});
  peer.waiting = 3;
  ledger.peers["p"] = {peer, kNow};
  EXPECT_EQ(StreamsWaitingAtPeers(ledger, kNow), 3);
  const absl::Time later = kNow + kPeerLoadLifetime;
  EXPECT_EQ(StreamsWaitingAtPeers(ledger, later), 0);
  EXPECT_TRUE(EngineRuns(ledger, "e1", later).empty());
}

TEST(engine_ledger_test, PrefillsOfPeersAdvanceBetweenTheirMessages) {
  engine_ledger ledger;
  ledger.prefill_tokens_per_ms = 50;
  BeginPrefill(ledger, "r1", "e1", 1000);
  daemon_load peer;
  peer.engines[EngineKey("e1")].prefill_tokens = 2000;
  ledger.peers["p"] = {peer, kNow};
  EXPECT_DOUBLE_EQ(PrefillBacklog(ledger, "e1", kNow), 3000);
  EXPECT_DOUBLE_EQ(PrefillBacklog(ledger, "e1", kNow + absl::Milliseconds(10)),
                   2500);
  EndPrefill(ledger, "r1");
  EXPECT_DOUBLE_EQ(PrefillBacklog(ledger, "e1", kNow + absl::Milliseconds(10)),
                   1500);
}

TEST(engine_ledger_test, UpdatesSpeedsWithinBounds) {
  engine_ledger ledger;
  for (int i = 0; i < 200; ++i) {
    UpdateDecodeSpeed(ledger, 73, absl::Milliseconds(100));
    UpdatePrefillSpeed(ledger, 5000, absl::ZeroDuration());
  }
  EXPECT_NEAR(ledger.tokens_per_ms, 0.73, 0.01);
  EXPECT_DOUBLE_EQ(ledger.prefill_tokens_per_ms, 50);
  for (int i = 0; i < 500; ++i) {
    UpdateDecodeSpeed(ledger, 1, absl::Hours(1));
  }
  EXPECT_GT(ledger.tokens_per_ms, 0);
}

// Guards against an estimate of the prefill speed that is too high: an engine
// that has a prompt in its cache responds at once, here to every eighth prompt.
TEST(engine_ledger_test, CachedPromptsDoNotRaiseThePrefillSpeed) {
  engine_ledger ledger;
  for (int i = 0; i < 400; ++i) {
    const bool cached = i % 8 == 0;
    UpdatePrefillSpeed(ledger, 5000,
                       cached ? absl::Milliseconds(2) : absl::Milliseconds(90));
  }
  EXPECT_NEAR(ledger.prefill_tokens_per_ms, 5000.0 / 90, 5);
}

TEST(engine_ledger_test, PrefillSpeedFollowsFasterEngines) {
  engine_ledger ledger;
  for (int i = 0; i < 200; ++i) {
    UpdatePrefillSpeed(ledger, 5000, absl::Milliseconds(25));
  }
  EXPECT_NEAR(ledger.prefill_tokens_per_ms, 200, 10);
}

TEST(engine_ledger_test, LocalPrefillCountsUntilTheFirstEvent) {
  engine_ledger ledger;
  ReserveRun(ledger, "r1", "e1", 8000, 50, kNow);
  SetTokensToPrefill(ledger, "r1", 6000);
  SetTokensToPrefill(ledger, "unknown", 6000);
  EXPECT_DOUBLE_EQ(PrefillBacklog(ledger, "e1", kNow), 6000);
  EXPECT_DOUBLE_EQ(
      OwnLoad(ledger, kNow).engines[EngineKey("e1")].prefill_tokens, 6000);
  AdvanceRun(ledger, "r1", 8100, 40, kNow);
  EXPECT_DOUBLE_EQ(PrefillBacklog(ledger, "e1", kNow), 0);
}

}  // namespace
}  // namespace anvilridge
