#include "placement/place_queue.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::UnixEpoch();
const promise_policy kCautious;

decode_ask Ask(const std::string& id, absl::Duration may_wait) {
  return {id,       "a:1", 10, absl::ZeroDuration(), absl::Seconds(1),
          may_wait, "team"};
}

struct full_engine {
  place_queue queue;
  decode_ledger ledger;

  full_engine() {
    ledger.slots = 2;
    ledger.pieces = 100;
    AskDecode(ledger, Ask("r1", {}), kCautious, kStart);
    AskDecode(ledger, Ask("r2", {}), kCautious, kStart);
  }
};

TEST(place_queue_test, PlacesGoByOrderOfArrival) {
  full_engine engine;
  for (const char* id : {"r3", "r4"}) {
    EXPECT_FALSE(AskOrQueue(engine.queue, engine.ledger,
                            Ask(id, absl::Seconds(2)), kCautious, kStart));
  }
  EXPECT_TRUE(
      ServeQueue(engine.queue, engine.ledger, kCautious, kStart).empty());
  ReleaseDecode(engine.ledger, "r1");
  // A place is free, but it belongs to the first that waits.
  const auto refused =
      AskOrQueue(engine.queue, engine.ledger, Ask("r5", {}), kCautious, kStart);
  ASSERT_TRUE(refused);
  EXPECT_FALSE(refused->granted);
  const auto served =
      ServeQueue(engine.queue, engine.ledger, kCautious, kStart);
  ASSERT_EQ(served.size(), 1U);
  EXPECT_EQ(served[0].request_id, "r3");
  EXPECT_TRUE(served[0].answer.granted);
}

TEST(place_queue_test, HopelessWaitIsRefusedAtOnceAndLateOneAtItsEnd) {
  full_engine engine;
  // Two uses of a second each end every half a second.
  const auto hopeless =
      AskOrQueue(engine.queue, engine.ledger,
                 Ask("r3", absl::Milliseconds(499)), kCautious, kStart);
  ASSERT_TRUE(hopeless);
  EXPECT_EQ(hopeless->free_in, absl::Milliseconds(500));
  EXPECT_FALSE(AskOrQueue(engine.queue, engine.ledger,
                          Ask("r3", absl::Milliseconds(500)), kCautious,
                          kStart));
  const absl::Time late = kStart + absl::Milliseconds(500);
  const auto served = ServeQueue(engine.queue, engine.ledger, kCautious, late);
  ASSERT_EQ(served.size(), 1U);
  EXPECT_FALSE(served[0].answer.granted);
  EXPECT_TRUE(engine.queue.asks.empty());
}

}  // namespace
}  // namespace anvilridge
