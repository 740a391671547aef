#include "placement/prefill_ledger.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();

prefill_ledger Ledger() {
  prefill_ledger ledger;
  ledger.tokens_per_second = 1000;
  return ledger;
}

engine_request Row(const std::string& id, engine_phase phase) {
  engine_request row;
  row.request_id = id;
  row.phase = phase;
  row.prompt_tokens = 200;
  return row;
}

TEST(prefill_ledger_test, QueueIsWorkedOffAsTimePasses) {
  prefill_ledger ledger = Ledger();
  EXPECT_TRUE(AskPrefill(ledger, {"r1", "a:1", 500, {}}, kStart).granted);
  const prefill_answer busy =
      AskPrefill(ledger, {"r2", "a:1", 500, absl::Milliseconds(400)}, kStart);
  EXPECT_FALSE(busy.granted);
  EXPECT_EQ(busy.wait, absl::Milliseconds(500));
  const prefill_answer later =
      AskPrefill(ledger, {"r2", "a:1", 500, absl::Milliseconds(400)},
                 kStart + absl::Milliseconds(300));
  EXPECT_TRUE(later.granted);
  EXPECT_EQ(later.wait, absl::Milliseconds(200));
  EXPECT_EQ(later.work, absl::Milliseconds(500));
}

TEST(prefill_ledger_test, ListCorrectsThePrediction) {
  prefill_ledger ledger = Ledger();
  AskPrefill(ledger, {"done early", "a:1", 5000, {}}, kStart);
  const absl::Time now = kStart + absl::Seconds(1);
  const prefill_ask on_its_way{"on its way", "a:1", 300, absl::Seconds(9)};
  AskPrefill(ledger, on_its_way, now);
  MergePrefillList(
      ledger,
      {Row("r1", engine_phase::queued), Row("r2", engine_phase::prefill),
       Row("r3", engine_phase::exportable)},
      now);
  // 200 queued, half of 200 under way, and 300 on their way.
  EXPECT_EQ(ledger.busy_until - now, absl::Milliseconds(600));
}

TEST(prefill_ledger_test, RateIsLearnedFromLongPrefillsOnly) {
  prefill_ledger ledger = Ledger();
  LearnPrefillRate(ledger, 10, absl::Milliseconds(1));
  EXPECT_EQ(ledger.tokens_per_second, 1000);
  for (int i = 0; i < 100; ++i) {
    LearnPrefillRate(ledger, 500, absl::Milliseconds(250));
  }
  EXPECT_NEAR(ledger.tokens_per_second, 2000, 1);
}

}  // namespace
}  // namespace anvilridge
