#include "placement/home_messages.h"

#include <string>

#include "absl/strings/match.h"
#include "base/error_kind.h"
#include "base/testing/damaged_value.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace anvilridge {
namespace {

const std::string kId = "0123456789abcdef0123456789abcdef";
const release_message kRelease = {"engine-1", kId, 900, absl::Milliseconds(120),
                                  true};

std::string Word() {
  return *rc::gen::nonEmpty(rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("abz-_.:09"))));
}

int Count() { return *rc::gen::inRange(0, 10'000'001); }

absl::Duration Time() {
  return absl::Microseconds(*rc::gen::inRange<int64_t>(0, 3'600'000'001));
}

decode_ask_message DecodeAsk() {
  decode_ask_message message;
  message.engine = Word();
  message.ask = {Word(), Word(), Count(), Time(), Time(), Time(), Word()};
  return message;
}

prefill_ask_message PrefillAsk() {
  prefill_ask_message message = {Word(), {Word(), Word(), Count(), Time()}};
  if (!*rc::gen::arbitrary<bool>()) return message;
  message.ask.to_domain = Word();
  message.ask.pieces = Count();
  return message;
}

release_message Release() {
  return {Word(), Word(), Count(), Time(), *rc::gen::arbitrary<bool>()};
}

// Whether the id stands as the other form of keys writes it, bytes or the same
// in hexadecimal digits, which is no damage.
bool HasIdOfOtherForm(const QCborMap& message, key_form form) {
  if (form == key_form::names) {
    return message.value(QLatin1String("id")).isByteArray();
  }
  const QCborValue id = message.value(static_cast<qint64>(home_field::id));
  const QByteArray text = id.toString().toUtf8();
  return id.isString() && QByteArray::fromHex(text).toHex() == text;
}

// Messages have no equality of their own: their encodings are compared.
template <typename Make, typename Parse>
void CheckForm(Make make, Parse parse, key_form form) {
  EXPECT_TRUE(rc::check("round trip", [&] {
    const QCborMap sent = ToCbor(make(), form);
    const auto parsed = parse(sent);
    RC_ASSERT(parsed.ok());
    RC_ASSERT(ToCbor(*parsed, form) == sent);
  }));
  EXPECT_TRUE(rc::check("damage is refused by name", [&] {
    const QCborMap damaged = (*Damaged(ToCbor(make(), form))).toMap();
    const auto parsed = parse(damaged);
    RC_CLASSIFY(parsed.ok(), "still a message");
    if (parsed.ok()) {
      RC_ASSERT(ToCbor(*parsed, form) == damaged ||
                HasIdOfOtherForm(damaged, form));
      return;
    }
    RC_ASSERT(KindOf(parsed.status()) == error_kind::malformed_request);
    RC_ASSERT(absl::StrContains(parsed.status().message(), "field "));
  }));
}

template <typename Make, typename Parse>
void CheckMessage(Make make, Parse parse) {
  CheckForm(make, parse, key_form::numbers);
  CheckForm(make, parse, key_form::names);
}

TEST(home_messages_test, DecodeAsk) { CheckMessage(DecodeAsk, ParseDecodeAsk); }

TEST(home_messages_test, PrefillAsk) {
  CheckMessage(PrefillAsk, ParsePrefillAsk);
}

TEST(home_messages_test, Release) { CheckMessage(Release, ParseRelease); }

TEST(home_messages_test, DecodeAnswer) {
  const auto make = [] {
    return decode_answer{*rc::gen::arbitrary<bool>(), Count(), Count(), Time()};
  };
  CheckMessage(make, ParseDecodeAnswer);
}

TEST(home_messages_test, PrefillAnswer) {
  const auto make = [] {
    return prefill_answer{*rc::gen::arbitrary<bool>(), Time(), Time()};
  };
  CheckMessage(make, ParsePrefillAnswer);
}

TEST(home_messages_test, BothFormsOfKeysAreRead) {
  for (const key_form form : {key_form::numbers, key_form::names}) {
    for (const std::string& id :
         {kId, std::string("odd id"), std::string("F0")}) {
      const decode_ask_message ask = {
          "engine-1",
          {id, "a:1", 80, absl::Milliseconds(300), absl::Seconds(8),
           absl::Milliseconds(7), "choir"}};
      const QCborMap message = ToCbor(ask, form);
      EXPECT_EQ(FormOf(message), form);
      const auto read = ParseDecodeAsk(message);
      ASSERT_TRUE(read.ok()) << read.status();
      EXPECT_EQ(read->engine, "engine-1");
      EXPECT_EQ(read->ask.request_id, id);
      EXPECT_EQ(read->ask.owner, "a:1");
      EXPECT_EQ(read->ask.pieces, 80);
      EXPECT_EQ(read->ask.may_wait, absl::Milliseconds(7));
      EXPECT_EQ(read->ask.team, "choir");
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
