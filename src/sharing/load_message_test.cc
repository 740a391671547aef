#include "sharing/load_message.h"

#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

absl::string_view View(const QByteArray& bytes) {
  return {bytes.constData(), static_cast<size_t>(bytes.size())};
}

load_message ExampleMessage() {
  load_message message;
  message.incarnation = 77;
  message.sequence = 5;
  message.live_peers = {{0x0A000001, 7660}};
  message.load.waiting = 4;
  message.load.late = 2;
  message.load.unreachable = {11, 12};
  message.load.leaving = {13};
  message.load.stage_departures[9] = {engine_stage::prefill,
                                      absl::Milliseconds(800)};
  message.load.engines[3].prefill_tokens = 5200;
  message.load.engines[3].runs = {{8000, 160, kNow}, {16, 0, kNow}};
  message.load.engines[4] = {};
  AddCrashReport(message.evidence.decode, {3, kNow, {5, 6}});
  RecordTrial(message.evidence.decode, 5, kNow);
  return message;
}

TEST(load_message_test, DecodesWhatWasEncoded) {
  const auto decoded =
      DecodeLoadMessage(View(EncodeLoadMessage(ExampleMessage(), kNow)), kNow);
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(decoded->incarnation, 77u);
  EXPECT_EQ(decoded->sequence, 5u);
  EXPECT_FALSE(decoded->leaving);
  EXPECT_EQ(decoded->live_peers, ExampleMessage().live_peers);
  EXPECT_EQ(decoded->load.waiting, 4);
  EXPECT_EQ(decoded->load.late, 2);
  EXPECT_EQ(decoded->load.unreachable, (std::vector<uint32_t>{11, 12}));
  EXPECT_EQ(decoded->load.leaving, std::vector<uint32_t>{13});
  EXPECT_EQ(decoded->load.stage_departures.at(9).stage, engine_stage::prefill);
  EXPECT_EQ(decoded->load.stage_departures.at(9).left, absl::Milliseconds(800));
  const engine_usage& engine = decoded->load.engines.at(3);
  EXPECT_DOUBLE_EQ(engine.prefill_tokens, 5200);
  ASSERT_EQ(engine.runs.size(), 2u);
  EXPECT_DOUBLE_EQ(engine.runs[0].context, 8000);
  EXPECT_DOUBLE_EQ(engine.runs[0].remaining, 160);
  EXPECT_TRUE(decoded->load.engines.contains(4));
}

TEST(load_message_test, TheRestOfAStopSurvives) {
  load_message message = ExampleMessage();
  for (const auto& [left, decoded_left] :
       {std::pair<std::optional<absl::Duration>, std::optional<absl::Duration>>(
            std::nullopt, std::nullopt),
        {absl::ZeroDuration(), absl::ZeroDuration()},
        {absl::Milliseconds(7450), absl::Milliseconds(7450)},
        {-absl::Seconds(1), absl::ZeroDuration()},
        {absl::Minutes(10), absl::Milliseconds(65534)}}) {
    message.load.stop_left = left;
    const auto decoded =
        DecodeLoadMessage(View(EncodeLoadMessage(message, kNow)), kNow);
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(decoded->load.stop_left, decoded_left);
  }
}

TEST(load_message_test, DecodesEvidenceOfCrashes) {
  load_message message;
  AddCrashReport(message.evidence.decode,
                 {77, kNow - absl::Seconds(9), {5, 6}});
  AddCrashReport(message.evidence.decode, {78, kNow - absl::Seconds(4), {5}});
  RecordPartSuccess(message.evidence.decode, 6, kNow - absl::Seconds(2));
  RecordTrial(message.evidence.decode, 5, kNow - absl::Seconds(1));
  AddCrashReport(message.evidence.prefill, {79, kNow, {8}});
  message.evidence.decode.last_success = kNow - absl::Seconds(3);
  const absl::Time later = kNow + absl::Hours(3);
  const auto decoded =
      DecodeLoadMessage(View(EncodeLoadMessage(message, kNow)), later);
  ASSERT_TRUE(decoded.ok());
  const crash_evidence& evidence = decoded->evidence.decode;
  ASSERT_EQ(evidence.reports.size(), 2u);
  EXPECT_EQ(evidence.last_success, later - absl::Seconds(3));
  EXPECT_EQ(evidence.reports[0].engine, 77u);
  EXPECT_EQ(evidence.reports[0].time, later - absl::Seconds(9));
  EXPECT_EQ(evidence.reports[0].parts, (prompt_parts{5, 6}));
  EXPECT_EQ(evidence.parts.at(6).last_success, later - absl::Seconds(2));
  EXPECT_EQ(evidence.parts.at(6).last_trial, absl::InfinitePast());
  EXPECT_EQ(evidence.parts.at(5).last_trial, later - absl::Seconds(1));
  ASSERT_EQ(decoded->evidence.prefill.reports.size(), 1u);
  EXPECT_EQ(decoded->evidence.prefill.reports[0].engine, 79u);
}

// Guards against evidence that doesn't fit into a datagram.
TEST(load_message_test, EvidenceIsBounded) {
  load_message message;
  const auto empty = EncodeLoadMessage(message, kNow).size();
  for (uint32_t engine = 0; engine < 1000; ++engine) {
    prompt_parts parts;
    for (prompt_part part = 0; part < 30; ++part) {
      parts.push_back(prompt_part{100} * engine + part);
    }
    AddCrashReport(message.evidence.decode, {engine, kNow, parts});
    for (const prompt_part part : parts) {
      RecordTrial(message.evidence.decode, part, kNow);
    }
  }
  EXPECT_LT(EncodeLoadMessage(message, kNow).size() - empty, 9000);
}

// During an update, daemons of two versions run side by side.
TEST(load_message_test, MessagesOfAnotherVersionAreRejected) {
  QByteArray encoded = EncodeLoadMessage(ExampleMessage(), kNow);
  encoded[0] = static_cast<char>(encoded[0] - 1);
  EXPECT_FALSE(DecodeLoadMessage(View(encoded), kNow).ok());
}

// The two-year capacity targets need 13 engines and 20 streams per daemon; this
// message exceeds both.
TEST(load_message_test, FitsIntoADatagram) {
  load_message message;
  for (uint32_t engine = 0; engine < 40; ++engine) {
    message.load.engines[engine].runs.assign(4, {5000, 5000, kNow});
  }
  EXPECT_LT(EncodeLoadMessage(message, kNow).size(), 1400);
}

// A leaving upstream must cost next to nothing, since every message repeats it.
TEST(load_message_test, ALeavingUpstreamTakesFourBytes) {
  load_message message;
  const auto empty = EncodeLoadMessage(message, kNow).size();
  message.load.leaving = {13};
  EXPECT_EQ(EncodeLoadMessage(message, kNow).size(), empty + 4);
}

// Guards against daemons that lose track of each other's use of the caps.
TEST(load_message_test, CarriesTheUseOfTheCaps) {
  load_message message;
  message.incarnation = 77;
  message.load.teams = {{3, {4'000'000'000, 20'500, 900}}, {9, {0, 1, 0}}};
  const auto decoded =
      DecodeLoadMessage(View(EncodeLoadMessage(message, kNow)), kNow);
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->load.teams, message.load.teams);
  EXPECT_EQ(decoded->load.incarnation, 77u);
}

TEST(load_message_test, TruncatedMessagesAreRejected) {
  const QByteArray encoded = EncodeLoadMessage(ExampleMessage(), kNow);
  for (qsizetype size = 0; size < encoded.size(); ++size) {
    EXPECT_FALSE(DecodeLoadMessage(View(encoded.left(size)), kNow).ok())
        << size;
  }
}

RC_GTEST_PROP(load_message_test, ArbitraryBytesAreDecodedOrRejected,
              (const std::string& bytes)) {
  DecodeLoadMessage(bytes, kNow).IgnoreError();
  DecodeLoadMessage("\xA3" + bytes, kNow).IgnoreError();
  DecodeLoadMessage("\xAB" + bytes, kNow).IgnoreError();
}

}  // namespace
}  // namespace anvilridge
