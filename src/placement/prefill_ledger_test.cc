#include "placement/prefill_ledger.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();

prefill_ledger MakeLedger() {
  prefill_ledger ledger;
  ledger.tokens_per_second = 1000;
  return ledger;
}

engine_request MakeRow(const std::string& id, engine_phase phase) {
  engine_request row;
  row.request_id = id;
  row.phase = phase;
  row.prompt_tokens = 200;
  return row;
}

TEST(prefill_ledger_test, QueueShortensAsTimePasses) {
  prefill_ledger ledger = MakeLedger();
  EXPECT_TRUE(ReservePrefill(ledger, {"r1", "a:1", 500, {}}, kStart).granted);
  const reserve_prefill_reply busy = ReservePrefill(
      ledger, {"r2", "a:1", 500, absl::Milliseconds(400)}, kStart);
  EXPECT_FALSE(busy.granted);
  EXPECT_EQ(busy.wait, absl::Milliseconds(500));
  const reserve_prefill_reply later =
      ReservePrefill(ledger, {"r2", "a:1", 500, absl::Milliseconds(400)},
                     kStart + absl::Milliseconds(300));
  EXPECT_TRUE(later.granted);
  EXPECT_EQ(later.wait, absl::Milliseconds(200));
  EXPECT_EQ(later.work, absl::Milliseconds(500));
}

TEST(prefill_ledger_test, ListCorrectsPredictedEnd) {
  prefill_ledger ledger = MakeLedger();
  ReservePrefill(ledger, {"finished early", "a:1", 5000, {}}, kStart);
  const absl::Time now = kStart + absl::Seconds(1);
  const reserve_prefill_request not_listed_yet{"not listed yet", "a:1", 300,
                                               absl::Seconds(9)};
  ReservePrefill(ledger, not_listed_yet, now);
  MergePrefillList(ledger,
                   {MakeRow("r1", engine_phase::queued),
                    MakeRow("r2", engine_phase::prefill),
                    MakeRow("r3", engine_phase::exportable)},
                   now);
  // 200 tokens queued, half of the 200 being prefilled, and 300 reserved but
  // not listed yet.
  EXPECT_EQ(ledger.busy_until - now, absl::Milliseconds(600));
}

TEST(prefill_ledger_test, RateIsUpdatedFromLongPrefillsOnly) {
  prefill_ledger ledger = MakeLedger();
  UpdatePrefillRate(ledger, 10, absl::Milliseconds(1));
  EXPECT_EQ(ledger.tokens_per_second, 1000);
  for (int i = 0; i < 100; ++i) {
    UpdatePrefillRate(ledger, 500, absl::Milliseconds(250));
  }
  EXPECT_NEAR(ledger.tokens_per_second, 2000, 1);
}

}  // namespace
}  // namespace anvilridge
