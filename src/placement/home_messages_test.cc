#include "placement/home_messages.h"

#include <gtest/gtest.h>

namespace anvilridge {
namespace {

const std::string kId = "0123456789abcdef0123456789abcdef";
const release_message kRelease = {"engine-1", kId, 900, absl::Milliseconds(120),
                                  true};

TEST(home_messages_test, BothFormsOfKeysAreRead) {
  for (const key_form form : {key_form::numbers, key_form::names}) {
    for (const std::string& id :
         {kId, std::string("odd id"), std::string("F0")}) {
      const decode_ask_message ask = {
          "engine-1",
          {id, "a:1", 80, absl::Milliseconds(300), absl::Seconds(8),
           absl::Milliseconds(7)}};
      const QCborMap message = ToCbor(ask, form);
      EXPECT_EQ(FormOf(message), form);
      const auto read = ParseDecodeAsk(message);
      ASSERT_TRUE(read.ok()) << read.status();
      EXPECT_EQ(read->engine, "engine-1");
      EXPECT_EQ(read->ask.request_id, id);
      EXPECT_EQ(read->ask.owner, "a:1");
      EXPECT_EQ(read->ask.pieces, 80);
      EXPECT_EQ(read->ask.may_wait, absl::Milliseconds(7));
    }
    const auto answer = ParsePrefillAnswer(
        ToCbor(prefill_answer{true, {}, absl::Seconds(2)}, form));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_TRUE(answer->granted);
    EXPECT_EQ(answer->work, absl::Seconds(2));
  }
}

TEST(home_messages_test, EachMissingFieldIsRefused) {
  const QCborMap whole = ToCbor(kRelease, key_form::numbers);
  for (const QCborValue& key : whole.keys()) {
    QCborMap message = whole;
    message.remove(key);
    EXPECT_FALSE(ParseRelease(message).ok()) << key.toInteger();
  }
}

TEST(home_messages_test, CarriedReleasesComeBackOrAreRefusedWhole) {
  QCborMap message = ToCbor(kRelease, key_form::numbers);
  EXPECT_TRUE(ParseCarried(message)->empty());
  Carry({kRelease, kRelease}, message);
  const auto carried = ParseCarried(message);
  ASSERT_TRUE(carried.ok());
  ASSERT_EQ(carried->size(), 2U);
  EXPECT_EQ(carried->at(1).request_id, kId);
  EXPECT_EQ(carried->at(1).prefill_tokens, 900);
  Carry({kRelease, release_message()}, message);
  EXPECT_FALSE(ParseCarried(message).ok());
}

}  // namespace
}  // namespace anvilridge
