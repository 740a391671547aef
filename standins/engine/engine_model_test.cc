#include "engine/engine_model.h"

#include <algorithm>

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

using ::testing::ElementsAre;

constexpr absl::Time kStart = absl::UnixEpoch();
constexpr absl::Duration kTick = absl::Milliseconds(1);

engine_settings TestSettings(const std::string& role) {
  engine_settings settings;
  settings.role = role;
  settings.slots = 2;
  settings.pieces = 100;
  settings.cache_event_loss = 0;
  return settings;
}

request_terms Terms(const std::string& id, int prompt_tokens,
                    int priority = 5) {
  request_terms terms;
  terms.request_id = id;
  terms.owner = "entry:1";
  terms.model = "model";
  terms.prompt =
      std::string(size_t{kCharactersPerToken} * prompt_tokens, id.at(0));
  terms.max_tokens = 3;
  terms.priority = priority;
  terms.prompt_tokens = prompt_tokens;
  terms.pieces = (prompt_tokens + kTokensPerPiece - 1) / kTokensPerPiece;
  return terms;
}

// Advances by small steps and returns the requests that `what` happened to.
std::vector<std::string> RunUntil(engine_state& state, absl::Time from,
                                  absl::Time to, engine_event::kind what) {
  std::vector<std::string> ids;
  for (absl::Time now = from; now <= to; now += kTick) {
    for (const engine_event& event : Advance(state, now)) {
      if (event.what == what) ids.push_back(event.request_id);
    }
  }
  return ids;
}

TEST(engine_prefill_test, RunsByPriorityThenArrivalBetweenChunks) {
  engine_state state = MakeEngine(TestSettings("prefill"));
  ASSERT_EQ(StartPrefill(state, Terms("a", 600), kStart), engine_refusal::none);
  ASSERT_EQ(StartPrefill(state, Terms("b", 80), kStart), engine_refusal::none);
  ASSERT_EQ(StartPrefill(state, Terms("c", 80), kStart), engine_refusal::none);
  ASSERT_EQ(StartPrefill(state, Terms("d", 80, 9), kStart),
            engine_refusal::none);
  EXPECT_THAT(RunUntil(state, kStart, kStart + absl::Milliseconds(110),
                       engine_event::kind::prefilled),
              ElementsAre("d", "a", "b", "c"));
}

TEST(engine_prefill_test, TakesAsLongAsItsUncachedTokens) {
  engine_state state = MakeEngine(TestSettings("prefill"));
  request_terms terms = Terms("a", 800);
  StartPrefill(state, terms, kStart);
  EXPECT_TRUE(Advance(state, kStart + absl::Milliseconds(99)).empty());
  EXPECT_EQ(Advance(state, kStart + absl::Milliseconds(100)).size(), 1U);

  const absl::Time again = kStart + absl::Seconds(2);
  Advance(state, again);
  terms.request_id = "b";
  StartPrefill(state, terms, again);
  EXPECT_EQ(state.requests.at("b").cached_tokens,
            800 / kBlockTokens * kBlockTokens);
  EXPECT_EQ(Advance(state, again + absl::Milliseconds(5)).size(), 1U);
}

TEST(engine_prefill_test, EvictsAResultThatNobodyFetches) {
  engine_state state = MakeEngine(TestSettings("prefill"));
  StartPrefill(state, Terms("a", 80), kStart);
  Advance(state, kStart + absl::Milliseconds(10));
  const std::string handle = state.requests.at("a").kv_handle;
  EXPECT_FALSE(handle.empty());
  Advance(state, kStart + absl::Milliseconds(809));
  EXPECT_EQ(state.requests.size(), 1U);
  Advance(state, kStart + absl::Milliseconds(810));
  EXPECT_TRUE(state.requests.empty());
  EXPECT_EQ(state.totals.evicted_tokens, 80);
  EXPECT_EQ(BeginExport(state, handle, "", kStart + absl::Seconds(1)), nullptr);
}

TEST(engine_prefill_test, ExportsOnceAtTheRateOfTheLink) {
  engine_settings settings = TestSettings("prefill");
  settings.transfer_pieces_per_second = 100;
  engine_state state = MakeEngine(settings);
  StartPrefill(state, Terms("a", 80), kStart);
  absl::Time now = kStart + absl::Milliseconds(10);
  Advance(state, now);
  const std::string handle = state.requests.at("a").kv_handle;
  ASSERT_NE(BeginExport(state, handle, "", now), nullptr);
  EXPECT_EQ(BeginExport(state, handle, "", now), nullptr);
  Advance(state, now + absl::Milliseconds(49));
  EXPECT_EQ(state.requests.size(), 1U);
  Advance(state, now + absl::Milliseconds(50));
  EXPECT_TRUE(state.requests.empty());
  EXPECT_EQ(state.totals.exported_tokens, 80);
}

// An abandoned transfer loses nothing: the result is sent again or evicted.
TEST(engine_prefill_test, ResultIsCountedAsLostOnceAndWhereItIs) {
  engine_state prefill = MakeEngine(TestSettings("prefill"));
  engine_state decode = MakeEngine(TestSettings("decode"));
  StartPrefill(prefill, Terms("a", 80), kStart);
  const absl::Time now = kStart + absl::Milliseconds(10);
  Advance(prefill, now);
  const std::string handle = prefill.requests.at("a").kv_handle;
  ASSERT_NE(BeginExport(prefill, handle, "", now), nullptr);
  ASSERT_EQ(BeginImport(decode, Terms("a", 80), now), engine_refusal::none);
  EXPECT_TRUE(CancelRequest(decode, "a", "entry:1", now));
  AbandonExport(prefill, handle, now);
  EXPECT_EQ(decode.totals.cancelled_tokens, 0);
  ASSERT_NE(BeginExport(prefill, handle, "", now), nullptr);
  ASSERT_EQ(BeginImport(decode, Terms("a", 80), now), engine_refusal::none);
  FinishImport(decode, "a", now);
  EXPECT_TRUE(CancelRequest(decode, "a", "entry:1", now));
  EXPECT_EQ(decode.totals.cancelled_tokens, 80);
}

TEST(engine_prefill_test, WaitsForMemoryAndRefusesWhatNeverFits) {
  engine_state state = MakeEngine(TestSettings("prefill"));
  StartPrefill(state, Terms("a", 1000), kStart);
  StartPrefill(state, Terms("b", 1000), kStart);
  Advance(state, kStart + absl::Milliseconds(200));
  EXPECT_EQ(state.requests.at("b").phase, request_phase::queued);
  EXPECT_EQ(StartPrefill(state, Terms("c", 1700), kStart),
            engine_refusal::no_pieces);
  EXPECT_TRUE(
      CancelRequest(state, "a", "entry:1", kStart + absl::Milliseconds(200)));
  EXPECT_EQ(state.requests.at("b").phase, request_phase::prefill);
}

TEST(engine_decode_test, RefusesBeyondSlotsAndPieces) {
  engine_state state = MakeEngine(TestSettings("decode"));
  EXPECT_EQ(BeginImport(state, Terms("a", 1600), kStart),
            engine_refusal::no_pieces);
  EXPECT_EQ(BeginImport(state, Terms("a", 160), kStart), engine_refusal::none);
  EXPECT_EQ(BeginImport(state, Terms("a", 160), kStart),
            engine_refusal::duplicate);
  EXPECT_EQ(BeginImport(state, Terms("b", 160), kStart), engine_refusal::none);
  EXPECT_EQ(BeginImport(state, Terms("c", 160), kStart),
            engine_refusal::no_slot);
}

TEST(engine_decode_test, BatchesAndKeepsFinishedOutputForAWhile) {
  engine_state state = MakeEngine(TestSettings("decode"));
  for (const char* id : {"a", "b"}) {
    BeginImport(state, Terms(id, 31), kStart);
    FinishImport(state, id, kStart);
    StartDecode(state, id, kStart);
  }
  EXPECT_EQ(state.requests.at("a").pieces, 2);
  // The first step is of "a" alone; "b" joins the second.
  Advance(state, kStart + absl::Milliseconds(45));
  EXPECT_EQ(state.requests.at("a").generated, 2);
  EXPECT_EQ(state.requests.at("b").generated, 1);
  EXPECT_EQ(state.requests.at("a").pieces, 3);
  EXPECT_THAT(
      RunUntil(state, kStart + absl::Milliseconds(46),
               kStart + absl::Milliseconds(85), engine_event::kind::finished),
      ElementsAre("a", "b"));
  EXPECT_TRUE(state.requests.empty());
  EXPECT_TRUE(FindStream(state, "a")->finished);
  Advance(state, kStart + absl::Seconds(62));
  EXPECT_FALSE(FindStream(state, "a"));
}

TEST(engine_decode_test, AStalledRequestDoesNotHoldUpTheOthers) {
  engine_state state = MakeEngine(TestSettings("decode"));
  ASSERT_TRUE(AddFault(state.faults, {{"fault", "stall_decode"},
                                      {"request_id", "a"},
                                      {"count", 1},
                                      {"ms", 100}})
                  .ok());
  for (const char* id : {"a", "b"}) {
    BeginImport(state, Terms(id, 31), kStart);
    FinishImport(state, id, kStart);
    StartDecode(state, id, kStart);
  }
  EXPECT_THAT(RunUntil(state, kStart, kStart + absl::Milliseconds(300),
                       engine_event::kind::finished),
              ElementsAre("b", "a"));
}

TEST(engine_cancel_test, FreesOnlyTheOwnersRequestAndRefusesALateOne) {
  engine_state state = MakeEngine(TestSettings("decode"));
  BeginImport(state, Terms("a", 160), kStart);
  EXPECT_FALSE(CancelRequest(state, "a", "entry:2", kStart));
  EXPECT_TRUE(CancelRequest(state, "a", "entry:1", kStart));
  EXPECT_FALSE(CancelRequest(state, "a", "entry:1", kStart));
  EXPECT_TRUE(state.requests.empty());
  EXPECT_EQ(BeginImport(state, Terms("a", 160), kStart),
            engine_refusal::cancelled);
  Advance(state, kStart + absl::Seconds(11));
  EXPECT_EQ(BeginImport(state, Terms("a", 160), kStart + absl::Seconds(11)),
            engine_refusal::none);
}

TEST(engine_cancel_test, AnAdoptedRequestObeysItsNewOwner) {
  engine_state state = MakeEngine(TestSettings("decode"));
  BeginImport(state, Terms("a", 160), kStart);
  EXPECT_EQ(AdoptRequest(state, "a", "entry:9", "entry:2"),
            adopt_result::not_owner);
  EXPECT_EQ(AdoptRequest(state, "a", "entry:1", "entry:2"),
            adopt_result::adopted);
  EXPECT_EQ(AdoptRequest(state, "a", "entry:1", "entry:2"),
            adopt_result::adopted);
  EXPECT_FALSE(CancelRequest(state, "a", "entry:1", kStart));
  EXPECT_TRUE(CancelRequest(state, "a", "entry:2", kStart));
}

TEST(engine_reports_test, LoadLagsAndCanBeFrozen) {
  engine_state state = MakeEngine(TestSettings("decode"));
  BeginImport(state, Terms("a", 160), kStart);
  EXPECT_EQ(LaggedLoad(state, kStart + absl::Milliseconds(499)).slots_used, 0);
  EXPECT_EQ(LaggedLoad(state, kStart + absl::Milliseconds(500)).slots_used, 1);
  ASSERT_TRUE(AddFault(state.faults, {{"fault", "stale_load"}}).ok());
  LaggedLoad(state, kStart + absl::Seconds(1));
  BeginImport(state, Terms("b", 160), kStart + absl::Seconds(1));
  const load_sample stale = LaggedLoad(state, kStart + absl::Seconds(9));
  EXPECT_EQ(stale.slots_used, 1);
  EXPECT_EQ(stale.time, kStart + absl::Milliseconds(500));
}

TEST(engine_reports_test, CacheEventsAreLateAndHaveGaps) {
  engine_settings settings = TestSettings("prefill");
  settings.cache_event_loss = 0.5;
  settings.cache_pieces = 40;
  engine_state state = MakeEngine(settings);
  StartPrefill(state, Terms("a", 1280), kStart);
  const absl::Time done = kStart + absl::Milliseconds(160);
  Advance(state, done);
  EXPECT_TRUE(EventsAfter(state.cache, 0, done).events.empty());
  const visible_events visible =
      EventsAfter(state.cache, 0, done + settings.cache_event_lag);
  EXPECT_EQ(state.cache.last_seq, 10);
  EXPECT_LT(visible.events.size(), 10U);
  EXPECT_FALSE(visible.events.empty());
  EXPECT_TRUE(
      EventsAfter(state.cache, visible.last_seq, done + absl::Seconds(9))
          .events.empty());
}

TEST(engine_orders_test, RefusesAnOldFenceOnlyWhenItChecks) {
  for (const bool checks : {false, true}) {
    engine_settings settings = TestSettings("prefill");
    settings.checks_fencing = checks;
    engine_state state = MakeEngine(settings);
    const engine_order load{"load", "next", "2", "", "", 7};
    EXPECT_EQ(TakeOrder(state, load, kStart), engine_refusal::none);
    const engine_order old{"role", "", "", "", "decode", 6};
    EXPECT_EQ(TakeOrder(state, old, kStart),
              checks ? engine_refusal::stale_fence : engine_refusal::none);
    EXPECT_EQ(state.settings.model, "model");
    Advance(state, kStart + settings.model_load);
    EXPECT_EQ(state.settings.model, "next");
  }
}

}  // namespace
}  // namespace anvilridge
