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

std::string Word() {
  return *rc::gen::nonEmpty(
      rc::gen::resize(60, rc::gen::container<std::string>(
                              rc::gen::elementOf(std::string("abz-_.09")))));
}

int64_t Number() {
  return *rc::gen::inRange<int64_t>(0, std::numeric_limits<int64_t>::max());
}

member_update Update() {
  member_update update;
  update.id = {Word(), static_cast<uint64_t>(Number())};
  update.refutation = *rc::gen::arbitrary<uint32_t>();
  update.state = static_cast<member_state>(
      *rc::gen::inRange(0, static_cast<int>(member_state::left) + 1));
  update.leaving = *rc::gen::arbitrary<bool>();
  update.peer_address = Word();
  update.failure_domain = Word();
  update.config_offset = Number();
  update.verdict_age = absl::Seconds(*rc::gen::arbitrary<uint32_t>());
  return update;
}

swim_message Message() {
  swim_message message;
  message.kind = static_cast<swim_kind>(
      *rc::gen::inRange(0, static_cast<int>(swim_kind::sync_reply) + 1));
  message.sequence = static_cast<uint64_t>(Number());
  message.sender = Update();
  message.target_address = Word();
  message.cursor = Word();
  const int updates = *rc::gen::inRange(0, 4);
  for (int i = 0; i < updates; ++i) message.updates.push_back(Update());
  return message;
}

// A datagram as a daemon that has the key would sign it.
QByteArray Signed(const QByteArray& body) {
  return QMessageAuthenticationCode::hash(body, kKey,
                                          QCryptographicHash::Sha256) +
         body;
}

// Messages have no equality of their own: their encodings are compared.
TEST(swim_message_test, RoundTrip) {
  EXPECT_TRUE(rc::check([] {
    const QByteArray sent = EncodeSwim(Message(), kKey);
    const auto decoded = DecodeSwim(sent, kKey);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(EncodeSwim(*decoded, kKey) == sent);
  }));
}

// What is taken must be what was sent, or else it is refused.
TEST(swim_message_test, DamagedFieldsAreRefused) {
  EXPECT_TRUE(rc::check([] {
    const QByteArray sent = EncodeSwim(Message(), kKey).mid(kMacBytes);
    const QCborValue damaged = *Damaged(QCborValue::fromCbor(sent));
    const QByteArray datagram = Signed(damaged.toCbor());
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

TEST(swim_message_test, AnyBytesAreRefused) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) {
    const QByteArray body = QByteArray::fromStdString(bytes);
    RC_ASSERT(!DecodeSwim(body, kKey).ok());
    RC_ASSERT(!DecodeSwim(Signed(body), kKey).ok());
  }));
}

}  // namespace
}  // namespace anvilridge
