#include "placement/decode_ledger.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();
constexpr absl::Duration kInterval = absl::Milliseconds(20);

decode_ledger Ledger(int slots, int pieces) {
  decode_ledger ledger;
  ledger.slots = slots;
  ledger.pieces = pieces;
  return ledger;
}

decode_ask Ask(const std::string& id, int pieces = 10) {
  return {id, "a:1", pieces, absl::Milliseconds(100), absl::Seconds(1),
          {}, "team"};
}

engine_request Row(const std::string& id, int generated) {
  engine_request row;
  row.request_id = id;
  row.owner = "a:1";
  row.phase = engine_phase::decode;
  row.pieces = 5;
  row.prompt_tokens = 80;
  row.generated = generated;
  row.max_tokens = 80;
  return row;
}

TEST(decode_ledger_test, NeverPromisesMoreThanSlotsOrPieces) {
  decode_ledger ledger = Ledger(2, 25);
  EXPECT_TRUE(AskDecode(ledger, Ask("r1"), {}, kStart).granted);
  EXPECT_TRUE(AskDecode(ledger, Ask("r2"), {}, kStart).granted);
  const decode_answer third = AskDecode(ledger, Ask("r3", 1), {}, kStart);
  EXPECT_FALSE(third.granted);
  EXPECT_EQ(third.free_in, absl::Milliseconds(1100));
  ReleaseDecode(ledger, "r1");
  EXPECT_FALSE(AskDecode(ledger, Ask("r4", 16), {}, kStart).granted);
  EXPECT_TRUE(AskDecode(ledger, Ask("r4", 15), {}, kStart).granted);
}

TEST(decode_ledger_test, AskingAgainRenewsThePromise) {
  decode_ledger ledger = Ledger(1, 100);
  EXPECT_TRUE(AskDecode(ledger, Ask("r1"), {}, kStart).granted);
  EXPECT_TRUE(AskDecode(ledger, Ask("r1"), {}, kStart).granted);
  EXPECT_EQ(ledger.holds.size(), 1U);
}

// The ask needs its place after 100 ms, and 5 s later the engine must show it.
TEST(decode_ledger_test, PromiseEndsByAListOrByTheDeathOfItsOwner) {
  const struct {
    const char* name;
    bool owner_lives;
    absl::Duration asked;  // when a list was asked for; zero for none
    absl::Duration at;
    bool free;
  } cases[] = {
      {"dead, may still begin", false, {}, absl::Seconds(5), false},
      {"dead", false, {}, absl::Seconds(6), true},
      {"live", true, {}, absl::Hours(1), false},
      {"live, the list is too old", true, absl::Seconds(5), absl::Hours(1),
       false},
      {"live, not in the list", true, absl::Seconds(6), absl::Seconds(6), true},
  };
  for (const auto& c : cases) {
    decode_ledger ledger = Ledger(1, 100);
    ASSERT_TRUE(AskDecode(ledger, Ask("r1"), {}, kStart).granted);
    const absl::Time now = kStart + c.at;
    if (c.asked > absl::ZeroDuration()) {
      MergeDecodeList(ledger, {}, kInterval, kStart + c.asked, now);
    }
    const auto lives = [&c](absl::string_view owner) {
      return owner == "a:1" && c.owner_lives;
    };
    ExpirePromises(ledger, lives, now);
    EXPECT_EQ(AskDecode(ledger, Ask("r2"), {}, now).granted, c.free) << c.name;
  }
}

TEST(decode_ledger_test, RebuildsFromTheEnginesOwnList) {
  decode_ledger ledger = Ledger(2, 100);
  MergeDecodeList(ledger, {Row("r1", 0), Row("r2", 60)}, kInterval, kStart,
                  kStart);
  EXPECT_FALSE(AskDecode(ledger, Ask("r3"), {}, kStart).granted);
  MergeDecodeList(ledger, {Row("r1", 10)}, kInterval, kStart, kStart);
  EXPECT_TRUE(AskDecode(ledger, Ask("r3"), {}, kStart).granted);
}

TEST(decode_ledger_test, BoldPolicyPromisesWhatIsPredictedToComeFree) {
  decode_ledger ledger = Ledger(1, 100);
  MergeDecodeList(ledger, {Row("r1", 77)}, kInterval, kStart, kStart);
  const promise_policy cautious{0, absl::Seconds(5)};
  const promise_policy bold{1, absl::Seconds(5)};
  EXPECT_FALSE(AskDecode(ledger, Ask("r2"), cautious, kStart).granted);
  EXPECT_TRUE(AskDecode(ledger, Ask("r2"), bold, kStart).granted);
  EXPECT_FALSE(AskDecode(ledger, Ask("r3"), bold, kStart).granted);
}

TEST(decode_ledger_test, UseIsPredictedFromFinishedRequests) {
  decode_ledger ledger = Ledger(1, 100);
  const promise_policy bold{1, absl::Seconds(5)};
  for (int i = 0; i < 200; ++i) {
    AskDecode(ledger, Ask("r1"), bold, kStart);
    // Placed 100 ms after the ask, in use for a quarter of the longest.
    LearnDecodeUse(ledger, "r1", kStart + absl::Milliseconds(350));
    ReleaseDecode(ledger, "r1");
  }
  EXPECT_NEAR(ledger.use_share, 0.25, 0.001);
  // What no list has shown in use is not about to end.
  AskDecode(ledger, Ask("r1"), bold, kStart);
  const absl::Time later = kStart + absl::Milliseconds(400);
  EXPECT_FALSE(AskDecode(ledger, Ask("r2"), bold, later).granted);
  MergeDecodeList(ledger, {Row("r1", 16)}, kInterval, later, later);
  EXPECT_FALSE(AskDecode(ledger, Ask("r2"), {}, later).granted);
  decode_ask patient = Ask("r2");
  patient.needed_in = absl::Milliseconds(500);
  EXPECT_TRUE(AskDecode(ledger, patient, bold, later).granted);
}

}  // namespace
}  // namespace anvilridge
