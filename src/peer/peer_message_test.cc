#include "peer/peer_message.h"

#include <random>

#include "base/error_kind.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(peer_message_test, RandomBodiesAreRefusedNotTrusted) {
  std::mt19937 random(11);  // NOLINT(bugprone-random-generator-seed)
  const QByteArray whole =
      QCborMap{{QStringLiteral("n"), 5}}.toCborValue().toCbor();
  ASSERT_TRUE(DecodePeerBody(whole).ok());
  EXPECT_FALSE(DecodePeerBody(whole + '\0').ok());
  EXPECT_FALSE(DecodePeerBody(whole.chopped(1)).ok());
  EXPECT_FALSE(DecodePeerBody({}).ok());
  EXPECT_FALSE(DecodePeerBody(QByteArray(100000, '\x81')).ok()) << "nesting";
  for (int i = 0; i < 5000; ++i) {
    QByteArray bytes;
    const size_t length = random() % 40;
    while (bytes.size() < static_cast<qsizetype>(length)) {
      bytes += static_cast<char>(random());
    }
    (void)DecodePeerBody(bytes);
    const absl::StatusOr<QCborMap> got = DecodePeerAnswer({503, bytes});
    EXPECT_EQ(KindOf(got.status()), error_kind::upstream_failed);
  }
}

}  // namespace
}  // namespace anvilridge
