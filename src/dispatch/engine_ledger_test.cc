#include "dispatch/engine_ledger.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

TEST(engine_ledger_test, CountsTheRunsOfAllDaemons) {
  engine_ledger ledger;
  ledger.tokens_per_ms = 1;
  PromiseRun(ledger, "r1", "e1", 100, 50, kNow);
  PromiseRun(ledger, "r2", "e2", 100, 50, kNow);
  load_share peer;
  peer.engines[EngineKey("e1")].runs.push_back({10, 5, kNow});
  ledger.peers["p"] = {peer, kNow};
  EXPECT_EQ(RunsAt(ledger, "e1", kNow).size(), 2u);
  EXPECT_EQ(RunsAt(ledger, "e2", kNow).size(), 1u);
  EndRun(ledger, "r1");
  EXPECT_EQ(RunsAt(ledger, "e1", kNow).size(), 1u);
}

TEST(engine_ledger_test, ForgetsADaemonThatIsSilent) {
  engine_ledger ledger;
  load_share peer;
  peer.engines[EngineKey("e1")].runs.push_back({10, 5, kNow});
  peer.waiting = 3;
  ledger.peers["p"] = {peer, kNow};
  EXPECT_EQ(PeersWaiting(ledger, kNow), 3);
  const absl::Time later = kNow + kPeerShareLife;
  EXPECT_EQ(PeersWaiting(ledger, later), 0);
  EXPECT_TRUE(RunsAt(ledger, "e1", later).empty());
}

TEST(engine_ledger_test, PrefillsOfOthersGoOnBetweenTheirMessages) {
  engine_ledger ledger;
  ledger.prefill_tokens_per_ms = 50;
  BeginPrefill(ledger, "r1", "e1", 1000);
  load_share peer;
  peer.engines[EngineKey("e1")].prefill_tokens = 2000;
  ledger.peers["p"] = {peer, kNow};
  EXPECT_DOUBLE_EQ(PrefillBacklog(ledger, "e1", kNow), 3000);
  EXPECT_DOUBLE_EQ(PrefillBacklog(ledger, "e1", kNow + absl::Milliseconds(10)),
                   2500);
  EndPrefill(ledger, "r1");
  EXPECT_DOUBLE_EQ(PrefillBacklog(ledger, "e1", kNow + absl::Milliseconds(10)),
                   1500);
}

TEST(engine_ledger_test, LearnsSpeedsWithinBounds) {
  engine_ledger ledger;
  for (int i = 0; i < 200; ++i) {
    LearnDecodeSpeed(ledger, 73, absl::Milliseconds(100));
    LearnPrefillSpeed(ledger, 5000, absl::ZeroDuration());
  }
  EXPECT_NEAR(ledger.tokens_per_ms, 0.73, 0.01);
  EXPECT_DOUBLE_EQ(ledger.prefill_tokens_per_ms, 50);
  for (int i = 0; i < 500; ++i) {
    LearnDecodeSpeed(ledger, 1, absl::Hours(1));
  }
  EXPECT_GT(ledger.tokens_per_ms, 0);
}

// An engine that has kept a prompt answers at once.
TEST(engine_ledger_test, PromptsThatWereKeptDontMakeEnginesSeemFast) {
  engine_ledger ledger;
  for (int i = 0; i < 400; ++i) {
    const bool kept = i % 8 == 0;
    LearnPrefillSpeed(ledger, 5000,
                      kept ? absl::Milliseconds(2) : absl::Milliseconds(90));
  }
  EXPECT_NEAR(ledger.prefill_tokens_per_ms, 5000.0 / 90, 5);
}

TEST(engine_ledger_test, FasterEnginesAreFoundOut) {
  engine_ledger ledger;
  for (int i = 0; i < 200; ++i) {
    LearnPrefillSpeed(ledger, 5000, absl::Milliseconds(25));
  }
  EXPECT_NEAR(ledger.prefill_tokens_per_ms, 200, 10);
}

TEST(engine_ledger_test, ReadingAtADecodeEngineCountsUntilTheFirstEvent) {
  engine_ledger ledger;
  PromiseRun(ledger, "r1", "e1", 8000, 50, kNow);
  ExpectReading(ledger, "r1", 6000);
  ExpectReading(ledger, "unknown", 6000);
  EXPECT_DOUBLE_EQ(PrefillBacklog(ledger, "e1", kNow), 6000);
  EXPECT_DOUBLE_EQ(
      OwnShare(ledger, kNow).engines[EngineKey("e1")].prefill_tokens, 6000);
  AdvanceRun(ledger, "r1", 8100, 40, kNow);
  EXPECT_DOUBLE_EQ(PrefillBacklog(ledger, "e1", kNow), 0);
}

}  // namespace
}  // namespace anvilridge
