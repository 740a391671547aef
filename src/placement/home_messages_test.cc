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

std::string AnyText() {
  return *rc::gen::nonEmpty(rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("abz-_.:09"))));
}

int AnyCount() { return *rc::gen::inRange(0, 10'000'001); }

absl::Duration AnyTime() {
  return absl::Microseconds(*rc::gen::inRange<int64_t>(0, 3'600'000'001));
}

reserve_decode_message AnyReserveDecode() {
  reserve_decode_message message;
  message.engine = AnyText();
  message.request = {AnyText(), AnyText(), AnyCount(), AnyTime(),
                     AnyTime(), AnyTime(), AnyText()};
  return message;
}

reserve_prefill_message AnyReservePrefill() {
  reserve_prefill_message message = {
      AnyText(), {AnyText(), AnyText(), AnyCount(), AnyTime()}};
  if (!*rc::gen::arbitrary<bool>()) return message;
  message.request.to_domain = AnyText();
  message.request.pieces = AnyCount();
  return message;
}

release_message AnyRelease() {
  return {AnyText(), AnyText(), AnyCount(), AnyTime(),
          *rc::gen::arbitrary<bool>()};
}

// Returns whether the request id is encoded as under the other form of keys: as
// bytes instead of hexadecimal digits, or the reverse. Both are valid in any
// message.
bool HasIdOfOtherForm(const QCborMap& message, key_form form) {
  if (form == key_form::names) {
    return message.value(QLatin1String("id")).isByteArray();
  }
  const QCborValue id = message.value(static_cast<qint64>(home_field::id));
  const QByteArray text = id.toString().toUtf8();
  return id.isString() && QByteArray::fromHex(text).toHex() == text;
}

// Checks that generated messages survive encoding and parsing, and that a
// damaged message is rejected with the name of the bad field. Compares
// encodings because the messages have no operator==.
template <typename Make, typename Parse>
void CheckMessageInForm(Make make, Parse parse, key_form form) {
  EXPECT_TRUE(rc::check("round trip", [&] {
    const QCborMap sent = ToCbor(make(), form);
    const auto parsed = parse(sent);
    RC_ASSERT(parsed.ok());
    RC_ASSERT(ToCbor(*parsed, form) == sent);
  }));
  EXPECT_TRUE(rc::check("damaged field is rejected by name", [&] {
    const QCborMap damaged = (*Damaged(ToCbor(make(), form))).toMap();
    const auto parsed = parse(damaged);
    RC_CLASSIFY(parsed.ok(), "still valid");
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
  CheckMessageInForm(make, parse, key_form::numbers);
  CheckMessageInForm(make, parse, key_form::names);
}

TEST(home_messages_test, ReserveDecodeRequest) {
  CheckMessage(AnyReserveDecode, ParseReserveDecode);
}

TEST(home_messages_test, ReservePrefillRequest) {
  CheckMessage(AnyReservePrefill, ParseReservePrefill);
}

TEST(home_messages_test, Release) { CheckMessage(AnyRelease, ParseRelease); }

TEST(home_messages_test, ReserveDecodeReply) {
  const auto make = [] {
    return reserve_decode_reply{*rc::gen::arbitrary<bool>(), AnyCount(),
                                AnyCount(), AnyTime()};
  };
  CheckMessage(make, ParseReserveDecodeReply);
}

TEST(home_messages_test, ReservePrefillReply) {
  const auto make = [] {
    return reserve_prefill_reply{*rc::gen::arbitrary<bool>(), AnyTime(),
                                 AnyTime()};
  };
  CheckMessage(make, ParseReservePrefillReply);
}

TEST(home_messages_test, ParsesBothFormsOfKeys) {
  for (const key_form form : {key_form::numbers, key_form::names}) {
    for (const std::string& id :
         {kId, std::string("odd id"), std::string("F0")}) {
      const reserve_decode_message request = {
          "engine-1",
          {id, "a:1", 80, absl::Milliseconds(300), absl::Seconds(8),
           absl::Milliseconds(7), "choir"}};
      const QCborMap message = ToCbor(request, form);
      EXPECT_EQ(KeyFormOf(message), form);
      const auto parsed = ParseReserveDecode(message);
      ASSERT_TRUE(parsed.ok()) << parsed.status();
      EXPECT_EQ(parsed->engine, "engine-1");
      EXPECT_EQ(parsed->request.request_id, id);
      EXPECT_EQ(parsed->request.owner, "a:1");
      EXPECT_EQ(parsed->request.pieces, 80);
      EXPECT_EQ(parsed->request.max_queue_wait, absl::Milliseconds(7));
      EXPECT_EQ(parsed->request.team, "choir");
    }
    const auto reply = ParseReservePrefillReply(
        ToCbor(reserve_prefill_reply{true, {}, absl::Seconds(2)}, form));
    ASSERT_TRUE(reply.ok()) << reply.status();
    EXPECT_TRUE(reply->granted);
    EXPECT_EQ(reply->work, absl::Seconds(2));
  }
}

TEST(home_messages_test, RejectsEachMissingField) {
  const QCborMap complete = ToCbor(kRelease, key_form::numbers);
  for (const QCborValue& key : complete.keys()) {
    QCborMap message = complete;
    message.remove(key);
    EXPECT_FALSE(ParseRelease(message).ok()) << key.toInteger();
  }
}

TEST(home_messages_test, ParsesAttachedReleasesOrRejectsAll) {
  QCborMap message = ToCbor(kRelease, key_form::numbers);
  EXPECT_TRUE(ParseAttachedReleases(message)->empty());
  AttachReleases({kRelease, kRelease}, message);
  const auto attached = ParseAttachedReleases(message);
  ASSERT_TRUE(attached.ok());
  ASSERT_EQ(attached->size(), 2U);
  EXPECT_EQ(attached->at(1).request_id, kId);
  EXPECT_EQ(attached->at(1).prefill_tokens, 900);
  AttachReleases({kRelease, release_message()}, message);
  EXPECT_FALSE(ParseAttachedReleases(message).ok());
}

}  // namespace
}  // namespace anvilridge
