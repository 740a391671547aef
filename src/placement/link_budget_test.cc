#include "placement/link_budget.h"

#include "gtest/gtest.h"
#include "placement/linked_prefill.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();

// Two prefill engines and a decode engine in domain `a`, one prefill engine in
// `b`. The only link with a budget leads from `a` to `b`.
config_state TwoDomainConfig() {
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

TEST(link_budget_test, ShareIsRateOfLinkOverPrefillEnginesOfItsDomain) {
  struct {
    const char* engine;
    const char* to;
    const char* link;
    double rate;
  } const cases[] = {
      {"p1", "b", "a>b", 1000}, {"p1", "a", "", 0},    {"p1", "", "", 0},
      {"p1", "c", "a>c", 0},    {"p3", "a", "b>a", 0},
  };
  const config_state config = TwoDomainConfig();
  for (const auto& one : cases) {
    SCOPED_TRACE(std::string(one.engine) + " to " + one.to);
    const link_share share =
        ComputeLinkShare(config, config.upstreams.at(one.engine), one.to);
    EXPECT_EQ(share.link, one.link);
    EXPECT_EQ(share.pieces_per_second, one.rate);
  }
}

// A share of 1000 pieces per second and a window of 600 ms allow 600 pieces in
// flight.
TEST(link_budget_test, TransfersInFlightStayWithinTheWindow) {
  const link_share share{"a>b", 1000, absl::Milliseconds(600)};
  link_ledger ledger;
  ReserveTransfer(ledger, share, "r1", 400, kStart, kStart);
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
    EXPECT_EQ(forecast.wait, absl::Milliseconds(one.queue_ms));
    EXPECT_EQ(forecast.budget_pieces, 600);
  }
  ReleaseTransfer(ledger, "r1");
  EXPECT_TRUE(ForecastTransfer(ledger, share, 600, kStart).fits);
}

TEST(link_budget_test, RemovesEndedTransfers) {
  const link_share share{"a>b", 1000, absl::Milliseconds(600)};
  link_ledger ledger;
  for (int i = 0; i < 100; ++i) {
    const absl::Time now = kStart + i * absl::Seconds(1);
    ReserveTransfer(ledger, share, std::to_string(i), 100, now, now);
  }
  EXPECT_EQ(ledger.transfer_ends.at("a>b").size(), 1U);
}

TEST(link_budget_test, FullLinkDoesNotChangePrefillQueue) {
  const link_share share{"a>b", 1000, absl::Milliseconds(600)};
  prefill_ledger prefill;
  prefill.tokens_per_second = 16000;
  link_ledger links;
  reserve_prefill_request request{"r1", "o", 8000, absl::Seconds(9), "b", 500};
  EXPECT_TRUE(
      ReservePrefillOverLink(prefill, links, request, share, kStart).granted);
  // The second prefill would end 10 ms after the first.
  request = {"r2", "o", 160, absl::Seconds(9), "b", 500};
  const reserve_prefill_reply full =
      ReservePrefillOverLink(prefill, links, request, share, kStart);
  EXPECT_FALSE(full.granted);
  EXPECT_TRUE(full.link_full);
  // The prefill could start after 500 ms and end after 510 ms. The link is then
  // reserved for another 490 ms, which with the transfer's own 500 ms exceeds
  // the window of 600 ms by 390 ms.
  EXPECT_EQ(full.wait, absl::Milliseconds(500 + 390));
  EXPECT_EQ(prefill.busy_until, kStart + absl::Milliseconds(500));
  // A prefill for the same failure domain needs no link.
  request = {"r3", "o", 160, absl::Seconds(9), "", 0};
  EXPECT_TRUE(
      ReservePrefillOverLink(prefill, links, request, {}, kStart).granted);
}

}  // namespace
}  // namespace anvilridge
