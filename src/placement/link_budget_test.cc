#include "placement/link_budget.h"

#include "gtest/gtest.h"
#include "placement/linked_prefill.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();

// Two prefill engines in `a`, one in `b`; a link from `a` to `b` alone.
config_state Config() {
  config_state config;
  config.pools["pre"].role = pool_role::prefill;
  config.pools["dec"].role = pool_role::decode;
  const auto add = [&config](const char* name, const char* pool,
                             const char* domain) {
    upstream_config& upstream = config.upstreams[name];
    upstream.name = name;
    upstream.pool = pool;
    upstream.failure_domain = domain;
  };
  add("p1", "pre", "a");
  add("p2", "pre", "a");
  add("p3", "pre", "b");
  add("d1", "dec", "a");
  config.links["ab"].from_domain = "a";
  config.links["ab"].to_domain = "b";
  config.links["ab"].pieces_per_second = 2000;
  return config;
}

TEST(link_budget_test, ShareIsTheLinksRateOverTheEnginesThatSend) {
  struct {
    const char* engine;
    const char* to;
    const char* link;
    double rate;
  } const cases[] = {
      {"p1", "b", "a>b", 1000}, {"p1", "a", "", 0},    {"p1", "", "", 0},
      {"p1", "c", "a>c", 0},    {"p3", "a", "b>a", 0},
  };
  const config_state config = Config();
  for (const auto& one : cases) {
    SCOPED_TRACE(std::string(one.engine) + " to " + one.to);
    const link_share share =
        ShareOfLink(config, config.upstreams.at(one.engine), one.to);
    EXPECT_EQ(share.link, one.link);
    EXPECT_EQ(share.pieces_per_second, one.rate);
  }
}

// A share of 1000 pieces a second and 600 ms: 600 pieces in flight.
TEST(link_budget_test, TransfersInFlightStayWithinTheWindow) {
  const link_share share{"a>b", 1000, absl::Milliseconds(600)};
  link_ledger ledger;
  PromiseTransfer(ledger, share, "r1", 400, kStart, kStart);
  struct {
    int pieces;
    int begins_ms;
    bool fits;
    int queue_ms;
  } const cases[] = {
      {200, 0, true, 400},    {201, 0, false, 400}, {300, 100, true, 300},
      {301, 100, false, 300}, {600, 400, true, 0},  {601, 900, false, 0},
  };
  for (const auto& one : cases) {
    SCOPED_TRACE(absl::FormatDuration(absl::Milliseconds(one.begins_ms)));
    const transfer_forecast forecast = ForecastTransfer(
        ledger, share, one.pieces, kStart + absl::Milliseconds(one.begins_ms));
    EXPECT_EQ(forecast.fits, one.fits);
    EXPECT_EQ(forecast.queue, absl::Milliseconds(one.queue_ms));
    EXPECT_EQ(forecast.budget_pieces, 600);
  }
  ReleaseTransfer(ledger, "r1");
  EXPECT_TRUE(ForecastTransfer(ledger, share, 600, kStart).fits);
}

TEST(link_budget_test, EndedTransfersAreForgotten) {
  const link_share share{"a>b", 1000, absl::Milliseconds(600)};
  link_ledger ledger;
  for (int i = 0; i < 100; ++i) {
    const absl::Time now = kStart + i * absl::Seconds(1);
    PromiseTransfer(ledger, share, std::to_string(i), 100, now, now);
  }
  EXPECT_EQ(ledger.transfer_ends.at("a>b").size(), 1U);
}

TEST(link_budget_test, FullLinkLeavesThePrefillQueueAlone) {
  const link_share share{"a>b", 1000, absl::Milliseconds(600)};
  prefill_ledger prefill;
  prefill.tokens_per_second = 16000;
  link_ledger links;
  prefill_ask ask{"r1", "o", 8000, absl::Seconds(9), "b", 500};
  EXPECT_TRUE(AskPrefillOverLink(prefill, links, ask, share, kStart).granted);
  // The second prefill is to end right behind the first.
  ask = {"r2", "o", 160, absl::Seconds(9), "b", 500};
  const prefill_answer full =
      AskPrefillOverLink(prefill, links, ask, share, kStart);
  EXPECT_FALSE(full.granted);
  EXPECT_TRUE(full.link_full);
  // Prefill until 510 ms, link until 1000 ms, and 100 ms more than fit.
  EXPECT_EQ(full.wait, absl::Milliseconds(500 + 390));
  EXPECT_EQ(prefill.busy_until, kStart + absl::Milliseconds(500));
  // Inside the failure domain the link does not matter.
  ask = {"r3", "o", 160, absl::Seconds(9), "", 0};
  EXPECT_TRUE(AskPrefillOverLink(prefill, links, ask, {}, kStart).granted);
}

}  // namespace
}  // namespace anvilridge
