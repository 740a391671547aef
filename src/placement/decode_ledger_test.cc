#include "placement/decode_ledger.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();
constexpr absl::Duration kInterval = absl::Milliseconds(20);

decode_ledger MakeLedger(int slots, int pieces) {
  decode_ledger ledger;
  ledger.slots = slots;
  ledger.pieces = pieces;
  return ledger;
}

reserve_decode_request Request(const std::string& id, int pieces = 10) {
  return {id, "a:1", pieces, absl::Milliseconds(100), absl::Seconds(1),
          {}, "team"};
}

engine_request MakeRow(const std::string& id, int generated) {
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

TEST(decode_ledger_test, NeverReservesMoreThanSlotsOrPieces) {
  decode_ledger ledger = MakeLedger(2, 25);
  EXPECT_TRUE(ReserveDecode(ledger, Request("r1"), {}, kStart).granted);
  EXPECT_TRUE(ReserveDecode(ledger, Request("r2"), {}, kStart).granted);
  const reserve_decode_reply third =
      ReserveDecode(ledger, Request("r3", 1), {}, kStart);
  EXPECT_FALSE(third.granted);
  EXPECT_EQ(third.free_in, absl::Milliseconds(1100));
  ReleaseDecode(ledger, "r1");
  EXPECT_FALSE(ReserveDecode(ledger, Request("r4", 16), {}, kStart).granted);
  EXPECT_TRUE(ReserveDecode(ledger, Request("r4", 15), {}, kStart).granted);
}

TEST(decode_ledger_test, RepeatedRequestRenewsItsReservation) {
  decode_ledger ledger = MakeLedger(1, 100);
  EXPECT_TRUE(ReserveDecode(ledger, Request("r1"), {}, kStart).granted);
  EXPECT_TRUE(ReserveDecode(ledger, Request("r1"), {}, kStart).granted);
  EXPECT_EQ(ledger.reservations.size(), 1U);
}

// The place is needed after 100 ms. The engine must list the request within
// another 5 s, after which an unlisted reservation may be removed.
TEST(decode_ledger_test, UnlistedReservationEndsByListOrLossOfOwner) {
  const struct {
    const char* name;
    bool owner_is_live;
    absl::Duration list_requested_at;  // zero for no list
    absl::Duration at;
    bool free;
  } cases[] = {
      {"owner lost, listing not due yet", false, {}, absl::Seconds(5), false},
      {"owner lost", false, {}, absl::Seconds(6), true},
      {"owner live", true, {}, absl::Hours(1), false},
      {"owner live, list requested before it was due", true, absl::Seconds(5),
       absl::Hours(1), false},
      {"owner live, omitted from the list", true, absl::Seconds(6),
       absl::Seconds(6), true},
  };
  for (const auto& c : cases) {
    decode_ledger ledger = MakeLedger(1, 100);
    ASSERT_TRUE(ReserveDecode(ledger, Request("r1"), {}, kStart).granted);
    const absl::Time now = kStart + c.at;
    if (c.list_requested_at > absl::ZeroDuration()) {
      MergeDecodeList(ledger, {}, kInterval, kStart + c.list_requested_at, now);
    }
    const auto is_live = [&c](absl::string_view owner) {
      return owner == "a:1" && c.owner_is_live;
    };
    ExpireReservations(ledger, is_live, now);
    EXPECT_EQ(ReserveDecode(ledger, Request("r2"), {}, now).granted, c.free)
        << c.name;
  }
}

TEST(decode_ledger_test, RebuildsFromListOfEngine) {
  decode_ledger ledger = MakeLedger(2, 100);
  MergeDecodeList(ledger, {MakeRow("r1", 0), MakeRow("r2", 60)}, kInterval,
                  kStart, kStart);
  EXPECT_FALSE(ReserveDecode(ledger, Request("r3"), {}, kStart).granted);
  MergeDecodeList(ledger, {MakeRow("r1", 10)}, kInterval, kStart, kStart);
  EXPECT_TRUE(ReserveDecode(ledger, Request("r3"), {}, kStart).granted);
}

TEST(decode_ledger_test, OvercommitReservesPlacesPredictedToBecomeFree) {
  decode_ledger ledger = MakeLedger(1, 100);
  MergeDecodeList(ledger, {MakeRow("r1", 77)}, kInterval, kStart, kStart);
  const overcommit_policy no_overcommit{0, absl::Seconds(5)};
  const overcommit_policy full_overcommit{1, absl::Seconds(5)};
  EXPECT_FALSE(
      ReserveDecode(ledger, Request("r2"), no_overcommit, kStart).granted);
  EXPECT_TRUE(
      ReserveDecode(ledger, Request("r2"), full_overcommit, kStart).granted);
  EXPECT_FALSE(
      ReserveDecode(ledger, Request("r3"), full_overcommit, kStart).granted);
}

TEST(decode_ledger_test, PredictsUseFromFinishedRequests) {
  decode_ledger ledger = MakeLedger(1, 100);
  const overcommit_policy full_overcommit{1, absl::Seconds(5)};
  for (int i = 0; i < 200; ++i) {
    ReserveDecode(ledger, Request("r1"), full_overcommit, kStart);
    // Needed 100 ms after the request and used for 250 ms, a quarter of the
    // longest expected use.
    UpdateDecodeUse(ledger, "r1", kStart + absl::Milliseconds(350));
    ReleaseDecode(ledger, "r1");
  }
  EXPECT_NEAR(ledger.use_fraction, 0.25, 0.001);
  // An unlisted reservation is not expected to end before its listing is due.
  ReserveDecode(ledger, Request("r1"), full_overcommit, kStart);
  const absl::Time later = kStart + absl::Milliseconds(400);
  EXPECT_FALSE(
      ReserveDecode(ledger, Request("r2"), full_overcommit, later).granted);
  MergeDecodeList(ledger, {MakeRow("r1", 16)}, kInterval, later, later);
  EXPECT_FALSE(ReserveDecode(ledger, Request("r2"), {}, later).granted);
  reserve_decode_request patient = Request("r2");
  patient.needed_in = absl::Milliseconds(500);
  EXPECT_TRUE(ReserveDecode(ledger, patient, full_overcommit, later).granted);
}

}  // namespace
}  // namespace anvilridge
