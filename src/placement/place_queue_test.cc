#include "placement/place_queue.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();
const overcommit_policy kNoOvercommit;

reserve_decode_request Request(const std::string& id,
                               absl::Duration max_queue_wait) {
  return {
      id,    "a:1", 10, absl::ZeroDuration(), absl::Seconds(1), max_queue_wait,
      "team"};
}

// Engine with two places, both reserved.
struct full_engine {
  place_queue queue;
  decode_ledger ledger;

  full_engine() {
    ledger.slots = 2;
    ledger.pieces = 100;
    ReserveDecode(ledger, Request("r1", {}), kNoOvercommit, kStart);
    ReserveDecode(ledger, Request("r2", {}), kNoOvercommit, kStart);
  }
};

TEST(place_queue_test, GrantsPlacesInOrderOfArrival) {
  full_engine engine;
  for (const char* id : {"r3", "r4"}) {
    EXPECT_FALSE(ReserveOrQueue(engine.queue, engine.ledger,
                                Request(id, absl::Seconds(2)), kNoOvercommit,
                                kStart));
  }
  EXPECT_TRUE(
      ServeQueue(engine.queue, engine.ledger, kNoOvercommit, kStart).empty());
  ReleaseDecode(engine.ledger, "r1");
  // A place is free, but it is due to the first queued request.
  const auto refused = ReserveOrQueue(engine.queue, engine.ledger,
                                      Request("r5", {}), kNoOvercommit, kStart);
  ASSERT_TRUE(refused);
  EXPECT_FALSE(refused->granted);
  const auto served =
      ServeQueue(engine.queue, engine.ledger, kNoOvercommit, kStart);
  ASSERT_EQ(served.size(), 1U);
  EXPECT_EQ(served[0].request_id, "r3");
  EXPECT_TRUE(served[0].reply.granted);
}

TEST(place_queue_test, RefusesTooLongWaitAtOnceAndExpiredRequestAtItsDeadline) {
  full_engine engine;
  // With two places in use for a second each, one becomes free every 500 ms.
  const auto refused = ReserveOrQueue(engine.queue, engine.ledger,
                                      Request("r3", absl::Milliseconds(499)),
                                      kNoOvercommit, kStart);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->free_in, absl::Milliseconds(500));
  EXPECT_FALSE(ReserveOrQueue(engine.queue, engine.ledger,
                              Request("r3", absl::Milliseconds(500)),
                              kNoOvercommit, kStart));
  const absl::Time deadline = kStart + absl::Milliseconds(500);
  const auto served =
      ServeQueue(engine.queue, engine.ledger, kNoOvercommit, deadline);
  ASSERT_EQ(served.size(), 1U);
  EXPECT_FALSE(served[0].reply.granted);
  EXPECT_TRUE(engine.queue.reservations.empty());
}

}  // namespace
}  // namespace anvilridge
