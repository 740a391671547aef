#include "dispatch/decode_place.h"

#include <string>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

fleet_upstream Engine(const std::string& id) {
  fleet_upstream engine;
  engine.id = id;
  return engine;
}

// Guards against a stream with two places in the queue.
TEST(decode_place, IsQueuedOnce) {
  decode_place place;
  EXPECT_TRUE(EnterQueue(place));
  EXPECT_TRUE(IsQueued(place));
  EXPECT_FALSE(EnterQueue(place));
  EXPECT_TRUE(ReserveEngine(place, Engine("d1")));
  EXPECT_TRUE(EnterQueue(place));
  EXPECT_EQ(ReservedEngine(place), std::nullopt);
}

// Guards against a place in the queue, or a second engine, beside a decode.
TEST(decode_place, NothingBesideADecode) {
  decode_place place;
  ASSERT_TRUE(ReserveEngine(place, Engine("d1")));
  ASSERT_TRUE(BeginDecode(place).has_value());
  EXPECT_FALSE(EnterQueue(place));
  EXPECT_FALSE(ReserveEngine(place, Engine("d2")));
  EXPECT_FALSE(BeginDecode(place).has_value());
  EXPECT_FALSE(IsQueued(place));
}

// Guards against a send of a stream that has no engine.
TEST(decode_place, OnlyAReservedEngineIsSentTo) {
  decode_place place;
  EXPECT_FALSE(BeginDecode(place).has_value());
  ASSERT_TRUE(EnterQueue(place));
  EXPECT_FALSE(BeginDecode(place).has_value());
  ASSERT_TRUE(ReserveEngine(place, Engine("d1")));
  ASSERT_TRUE(ReserveEngine(place, Engine("d2")));
  EXPECT_EQ(ReservedEngine(place)->id, "d2");
  EXPECT_EQ(BeginDecode(place)->engine.id, "d2");
}

// The memory of a decode that failed is still reserved.
TEST(decode_place, AFailedDecodeLeavesItsEngineReserved) {
  decode_place place;
  ASSERT_TRUE(ReserveEngine(place, Engine("d1")));
  ASSERT_TRUE(BeginDecode(place).has_value());
  EndDecode(place, Engine("d2"));
  EXPECT_EQ(ReservedEngine(place)->id, "d2");
  ASSERT_TRUE(EnterQueue(place));
  EndDecode(place, Engine("d2"));
  EXPECT_TRUE(IsQueued(place));
}

}  // namespace
}  // namespace anvilridge
