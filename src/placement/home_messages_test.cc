#include "placement/home_messages.h"

#include <string>

#include "absl/strings/match.h"
#include "base/error_kind.h"
#include "base/testing/damaged_value.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace anvilridge {
namespace {

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
  message.ask = {Word(), Word(), Count(), Time(), Time(), Time()};
  return message;
}

prefill_ask_message PrefillAsk() {
  return {Word(), {Word(), Word(), Count(), Time()}};
}

release_message Release() {
  return {Word(), Word(), Count(), Time(), *rc::gen::arbitrary<bool>()};
}

// Messages have no equality of their own: their encodings are compared.
template <typename Make, typename Parse>
void CheckMessage(Make make, Parse parse) {
  EXPECT_TRUE(rc::check("round trip", [&] {
    const QCborMap sent = ToCbor(make());
    const auto parsed = parse(sent);
    RC_ASSERT(parsed.ok());
    RC_ASSERT(ToCbor(*parsed) == sent);
  }));
  EXPECT_TRUE(rc::check("damage is refused by name", [&] {
    const QCborMap damaged = (*Damaged(ToCbor(make()))).toMap();
    const auto parsed = parse(damaged);
    RC_CLASSIFY(parsed.ok(), "still a message");
    if (parsed.ok()) {
      RC_ASSERT(ToCbor(*parsed) == damaged);
      return;
    }
    RC_ASSERT(KindOf(parsed.status()) == error_kind::malformed_request);
    RC_ASSERT(absl::StrContains(parsed.status().message(), "field "));
  }));
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

}  // namespace
}  // namespace anvilridge
