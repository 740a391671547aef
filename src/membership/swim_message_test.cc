#include "membership/swim_message.h"

#include <QMessageAuthenticationCode>
#include <limits>
#include <string>

#include "base/error_kind.h"
#include "base/testing/damaged_value.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace anvilridge {
namespace {

constexpr char kKey[] = "deployment key";
constexpr int kMacBytes = 32;

std::string RandomText() {
  return *rc::gen::nonEmpty(
      rc::gen::resize(60, rc::gen::container<std::string>(
                              rc::gen::elementOf(std::string("abz-_.09")))));
}

int64_t RandomNumber() {
  return *rc::gen::inRange<int64_t>(0, std::numeric_limits<int64_t>::max());
}

member_update RandomUpdate() {
  member_update update;
  update.id = {RandomText(), static_cast<uint64_t>(RandomNumber())};
  update.refutation = *rc::gen::arbitrary<uint32_t>();
  update.state = static_cast<member_state>(
      *rc::gen::inRange(0, static_cast<int>(member_state::left) + 1));
  update.leaving = *rc::gen::arbitrary<bool>();
  update.peer_address = RandomText();
  update.failure_domain = RandomText();
  update.config_offset = RandomNumber();
  update.verdict_age = absl::Seconds(*rc::gen::arbitrary<uint32_t>());
  return update;
}

swim_message RandomMessage() {
  swim_message message;
  message.kind = static_cast<swim_message_kind>(*rc::gen::inRange(
      0, static_cast<int>(swim_message_kind::sync_reply) + 1));
  message.sequence = static_cast<uint64_t>(RandomNumber());
  message.sender = RandomUpdate();
  message.target_address = RandomText();
  message.cursor = RandomText();
  const int updates = *rc::gen::inRange(0, 4);
  for (int i = 0; i < updates; ++i) message.updates.push_back(RandomUpdate());
  return message;
}

// Returns the datagram of `body` with a valid MAC.
QByteArray WithMac(const QByteArray& body) {
  return QMessageAuthenticationCode::hash(body, kKey,
                                          QCryptographicHash::Sha256) +
         body;
}

// Compares encodings, as messages have no equality operator.
TEST(swim_message_test, RoundTrip) {
  EXPECT_TRUE(rc::check([] {
    const QByteArray sent = EncodeSwim(RandomMessage(), kKey);
    const auto decoded = DecodeSwim(sent, kKey);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(EncodeSwim(*decoded, kKey) == sent);
  }));
}

// Guards against decoding a damaged datagram to other values than it contains:
// it is rejected, or encodes to the same bytes again.
TEST(swim_message_test, DamagedFieldsAreRejected) {
  EXPECT_TRUE(rc::check([] {
    const QByteArray sent = EncodeSwim(RandomMessage(), kKey).mid(kMacBytes);
    const QCborValue damaged = *Damaged(QCborValue::fromCbor(sent));
    const QByteArray datagram = WithMac(damaged.toCbor());
    const auto decoded = DecodeSwim(datagram, kKey);
    RC_CLASSIFY(decoded.ok(), "still a message");
    if (decoded.ok()) {
      RC_ASSERT(EncodeSwim(*decoded, kKey) == datagram);
      return;
    }
    RC_ASSERT(KindOf(decoded.status()) == error_kind::malformed_request);
    RC_ASSERT(!decoded.status().message().empty());
  }));
}

TEST(swim_message_test, ArbitraryBytesAreRejected) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) {
    const QByteArray body = QByteArray::fromStdString(bytes);
    RC_ASSERT(!DecodeSwim(body, kKey).ok());
    RC_ASSERT(!DecodeSwim(WithMac(body), kKey).ok());
  }));
}

}  // namespace
}  // namespace anvilridge
