#include "sharing/store_report_codec.h"

#include <QDataStream>
#include <QIODevice>
#include <random>
#include <string>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

absl::string_view View(const QByteArray& bytes) {
  return {bytes.constData(), static_cast<size_t>(bytes.size())};
}

store_report ExampleReport() {
  store_report report;
  report.config.next = 4;
  report.config.from = 4;
  report.config.reply_age = absl::Milliseconds(1200);
  report.config.store_lost = true;
  report.upstreams.era = store_era{3};
  report.upstreams.next = 9;
  report.upstreams.from = 7;
  report.upstreams.reply_age = absl::ZeroDuration();
  report.upstreams.outage_age = absl::Milliseconds(300);
  report.upstreams.records = {{"engine-1", R"({"Stage":"decode"})", 7},
                              {"engine-2", std::nullopt, 8}};
  return report;
}

TEST(store_report_codec_test, DecodesWhatWasEncoded) {
  const QByteArray bytes = EncodeStoreReport(ExampleReport());
  EXPECT_TRUE(IsStoreReport(View(bytes)));
  const auto decoded = DecodeStoreReport(View(bytes));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(decoded->config.next, 4);
  EXPECT_EQ(decoded->config.reply_age, absl::Milliseconds(1200));
  EXPECT_EQ(decoded->config.outage_age, absl::InfiniteDuration());
  EXPECT_TRUE(decoded->config.store_lost);
  EXPECT_TRUE(decoded->config.records.empty());
  EXPECT_EQ(decoded->config.era, store_era::none);
  EXPECT_EQ(decoded->upstreams.era, store_era{3});
  EXPECT_EQ(decoded->upstreams.from, 7);
  EXPECT_EQ(decoded->upstreams.outage_age, absl::Milliseconds(300));
  EXPECT_EQ(decoded->upstreams.records, ExampleReport().upstreams.records);
}

// A datagram of several packets is lost if one of them is.
TEST(store_report_codec_test, RecordsThatNeedSeveralPacketsAreLeftOut) {
  std::string noise;
  std::minstd_rand random;
  for (int i = 0; i < 4000; ++i) noise += static_cast<char>(random() >> 8);
  store_report report = ExampleReport();
  report.upstreams.records.front().value = noise;
  const QByteArray bytes = EncodeStoreReport(report);
  EXPECT_LT(bytes.size(), 200);
  const auto decoded = DecodeStoreReport(View(bytes));
  ASSERT_TRUE(decoded.ok());
  EXPECT_TRUE(decoded->upstreams.records.empty());
  EXPECT_EQ(decoded->upstreams.next, 9);
}

TEST(store_report_codec_test, CutAndChangedReportsAreRejectedOrHarmless) {
  const QByteArray whole = EncodeStoreReport(ExampleReport());
  for (qsizetype length = 0; length < whole.size(); ++length) {
    EXPECT_FALSE(DecodeStoreReport(View(whole.first(length))).ok()) << length;
  }
  for (qsizetype i = 1; i < whole.size(); ++i) {
    for (const int bit : {1, 16, 128}) {
      QByteArray changed = whole;
      changed[i] = static_cast<char>(changed[i] ^ bit);
      (void)DecodeStoreReport(View(changed));
    }
  }
}

// A forged report must not make the receiver allocate what it claims to hold.
TEST(store_report_codec_test, AClaimOfHugeRecordsIsRejected) {
  QByteArray zeros(1 << 20, '\0');
  const QByteArray bomb = qCompress(zeros);
  QByteArray whole = EncodeStoreReport(ExampleReport());
  QByteArray bytes;
  QDataStream stream(&bytes, QIODevice::WriteOnly);
  stream << static_cast<quint8>(whole[0]);
  for (int topic = 0; topic < 2; ++topic) {
    stream << qint64{1} << qint64{0} << qint64{0} << quint32{0} << false
           << quint32{0} << bomb;
  }
  EXPECT_FALSE(DecodeStoreReport(View(bytes)).ok());
}

}  // namespace
}  // namespace anvilridge
