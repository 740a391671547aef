#include "sharing/share_message.h"

#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

absl::string_view View(const QByteArray& bytes) {
  return {bytes.constData(), static_cast<size_t>(bytes.size())};
}

share_message Message() {
  share_message message;
  message.incarnation = 77;
  message.sequence = 5;
  message.introduced = {{0x0A000001, 7660}};
  message.share.waiting = 4;
  message.share.late = 2;
  message.share.unreachable = {11, 12};
  message.share.leavers[9] = {engine_stage::prefill, absl::Milliseconds(800)};
  message.share.engines[3].prefill_tokens = 5200;
  message.share.engines[3].runs = {{8000, 160, kNow}, {16, 0, kNow}};
  message.share.engines[4] = {};
  return message;
}

TEST(share_message_test, ArrivesAsItWasSent) {
  const auto read = DecodeShare(View(EncodeShare(Message())), kNow);
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(read->incarnation, 77u);
  EXPECT_EQ(read->sequence, 5u);
  EXPECT_FALSE(read->leaving);
  EXPECT_EQ(read->introduced, Message().introduced);
  EXPECT_EQ(read->share.waiting, 4);
  EXPECT_EQ(read->share.late, 2);
  EXPECT_EQ(read->share.unreachable, (std::vector<uint32_t>{11, 12}));
  EXPECT_EQ(read->share.leavers.at(9).stage, engine_stage::prefill);
  EXPECT_EQ(read->share.leavers.at(9).left, absl::Milliseconds(800));
  const engine_share& engine = read->share.engines.at(3);
  EXPECT_DOUBLE_EQ(engine.prefill_tokens, 5200);
  ASSERT_EQ(engine.runs.size(), 2u);
  EXPECT_DOUBLE_EQ(engine.runs[0].context, 8000);
  EXPECT_DOUBLE_EQ(engine.runs[0].remaining, 160);
  EXPECT_TRUE(read->share.engines.contains(4));
}

// What two-year targets give one daemon: 13 engines and 20 streams.
TEST(share_message_test, FitsIntoADatagram) {
  share_message message;
  for (uint32_t engine = 0; engine < 40; ++engine) {
    message.share.engines[engine].runs.assign(4, {5000, 5000, kNow});
  }
  EXPECT_LT(EncodeShare(message).size(), 1400);
}

TEST(share_message_test, EveryCutIsRefused) {
  const QByteArray whole = EncodeShare(Message());
  for (qsizetype size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(DecodeShare(View(whole.left(size)), kNow).ok()) << size;
  }
}

RC_GTEST_PROP(share_message_test, AnyBytesAreReadOrRefused,
              (const std::string& bytes)) {
  DecodeShare(bytes, kNow).IgnoreError();
  DecodeShare("\xA3" + bytes, kNow).IgnoreError();
}

}  // namespace
}  // namespace anvilridge
