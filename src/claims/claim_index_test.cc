#include "claims/claim_index.h"

#include <gtest/gtest.h>

#include <vector>

#include "base/error_kind.h"
#include "claims/claim_batcher.h"
#include "claims/claim_holder.h"
#include "claims/claim_reply.h"
#include "claims/key_age.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);
constexpr absl::Duration kWindow = absl::Seconds(3);

claim_record Claim(absl::string_view id, absl::string_view key = "k",
                   absl::string_view body = "b", absl::string_view team = "t") {
  claim_record claim;
  claim.claim_id = std::string(id);
  claim.key = std::string(key);
  claim.team = std::string(team);
  claim.body_hash = std::string(body);
  claim.holder = {"d1", 1};
  claim.send_window = kWindow;
  claim.answer_window = kWindow;
  return claim;
}

claims_record Outcome(absl::string_view id) {
  claim_outcome outcome;
  outcome.http_status = 201;
  return outcome_record{std::string(id), outcome};
}

claims_record Release(absl::string_view id) {
  return release_record{std::string(id)};
}

claim_index BuildIndex(const std::vector<claims_record>& records) {
  claim_index index;
  int64_t offset = 0;
  for (const claims_record& record : records) {
    ApplyClaimsRecord(index, {++offset, kStart, RecordId(record),
                              EncodeClaimsRecord(record)});
  }
  return index;
}

/// Records of a partition and the expected decision on a claim.
struct decision_case {
  const char* name;
  std::vector<claims_record> records;
  claim_record request;
  claim_verdict verdict;
  int64_t offset = 0;
  /// Time between the records and the decision.
  absl::Duration age = absl::Seconds(1);
};

TEST(claim_index, DecidesByLogOrder) {
  using enum claim_verdict;
  const decision_case cases[] = {
      {"empty log", {}, Claim("a"), free},
      {"own claim", {Claim("a")}, Claim("a"), granted, 1},
      {"own claim twice", {Claim("a"), Claim("a")}, Claim("a"), granted, 1},
      {"another claim first",
       {Claim("a"), Claim("b")},
       Claim("b"),
       in_progress,
       1},
      {"settled", {Claim("a"), Outcome("a")}, Claim("b"), settled, 2},
      {"second outcome ignored",
       {Claim("a"), Outcome("a"), Outcome("a")},
       Claim("b"),
       settled,
       2},
      {"released", {Claim("a"), Release("a")}, Claim("b"), free},
      {"claimed again after release",
       {Claim("a"), Release("a"), Claim("b")},
       Claim("b"),
       granted,
       3},
      {"released before it was appended",
       {Release("a"), Claim("a")},
       Claim("b"),
       free},
      {"own claim after its release",
       {Release("a"), Claim("a")},
       Claim("a"),
       lost,
       1},
      {"second copy after release",
       {Claim("a"), Release("a"), Claim("a")},
       Claim("b"),
       free},
      {"denied claim stays denied after release",
       {Claim("a"), Claim("b"), Release("a"), Claim("b")},
       Claim("b"),
       lost,
       2},
      {"release of a denied claim frees nothing",
       {Claim("a"), Claim("b"), Release("b")},
       Claim("c"),
       in_progress,
       1},
      {"release after the outcome",
       {Claim("a"), Outcome("a"), Release("a")},
       Claim("b"),
       settled,
       2},
      {"outcome of a denied claim is ignored",
       {Claim("a"), Claim("b"), Outcome("b")},
       Claim("c"),
       in_progress,
       1},
      {"end of the window",
       {Claim("a")},
       Claim("b"),
       outcome_unknown,
       1,
       2 * kWindow},
      {"last moment of the window",
       {Claim("a")},
       Claim("b"),
       in_progress,
       1,
       2 * kWindow - absl::Nanoseconds(1)},
      {"another body", {Claim("a")}, Claim("b", "k", "x"), conflict},
      {"another body after the outcome",
       {Claim("a"), Outcome("a")},
       Claim("b", "k", "x"),
       conflict},
      {"same key of another team",
       {Claim("a")},
       Claim("b", "k", "b", "u"),
       free},
  };
  for (const decision_case& c : cases) {
    const claim_decision decision =
        DecideClaim(BuildIndex(c.records), c.request, kStart + c.age);
    EXPECT_EQ(static_cast<int>(decision.verdict), static_cast<int>(c.verdict))
        << c.name;
    EXPECT_EQ(decision.offset, c.offset) << c.name;
  }
}

TEST(claim_index, MalformedRecordsAreCountedAndSkipped) {
  claim_index index;
  ApplyClaimsRecord(index, {1, kStart, "x", QJsonValue("text")});
  ApplyClaimsRecord(index, {2, kStart, "x", QJsonObject{{"type", "claim"}}});
  ApplyClaimsRecord(index, {3, kStart, "x",
                            QJsonObject{{"type", "other"}, {"claim_id", "a"}}});
  EXPECT_EQ(index.malformed_records, 3);
  EXPECT_EQ(index.next_offset, 4);
  EXPECT_EQ(DecideClaim(index, Claim("a"), kStart).verdict,
            claim_verdict::free);
}

TEST(claim_index, RemovesClaimsThatTheLogNoLongerKeeps) {
  claim_index index = BuildIndex({Claim("a"), Claim("b"), Release("c")});
  AdvanceCompleteSince(index, kStart);
  EXPECT_EQ(index.claims.size(), 3u);
  AdvanceCompleteSince(index, kStart + absl::Minutes(1));
  EXPECT_TRUE(index.claims.empty());
  EXPECT_TRUE(index.holding_claims.empty());
}

TEST(claim_record, RoundTripsThroughLogAndPeerProtocol) {
  claim_outcome outcome;
  outcome.http_status = 200;
  outcome.content_type = "application/json";
  outcome.body = std::string("\0\xff{}", 4);
  const claims_record records[] = {
      Claim("a"), outcome_record{"a", LimitOutcomeBody(outcome)}, Release("a")};
  for (const claims_record& record : records) {
    const auto peer = DecodePeerRecord(EncodePeerRecord(record, 63));
    ASSERT_TRUE(peer);
    EXPECT_EQ(peer->partition, 63);
    EXPECT_EQ(EncodeClaimsRecord(peer->record), EncodeClaimsRecord(record));
  }
  EXPECT_FALSE(DecodePeerRecord(EncodePeerRecord(records[0], 64)));
  claim_reply reply;
  reply.outcome = LimitOutcomeBody(outcome);
  EXPECT_EQ(DecodeReply(EncodeReply(reply)).outcome->body, outcome.body);
  EXPECT_FALSE(DecodeReply(QCborMap()).status.ok());
  outcome.body.assign(kMaxOutcomeBodyBytes + 1, 'x');
  const claim_outcome bounded = LimitOutcomeBody(outcome);
  EXPECT_FALSE(bounded.body_kept);
  EXPECT_TRUE(bounded.body.empty());
  EXPECT_EQ(bounded.body_hash.size(), 64u);
}

TEST(key_age, AcceptsOnlyKeysThatContainATime) {
  const auto rfc = ParseKeyTime("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
  ASSERT_TRUE(rfc.ok());
  EXPECT_EQ(*rfc, absl::FromUnixMillis(1645557742000));
  EXPECT_EQ(*ParseKeyTime("1800000000-dues.42"), kStart);
  for (const char* bad : {"", "dues-42", "1800000000", "1800000000-",
                          "180000000-x", "1800000000-a b", "+800000000-x",
                          "017F22E2-79B0-4CC3-98C4-DC0C0C07398F",
                          "017F22E2-79B0-7CC3-18C4-DC0C0C07398F",
                          "017F22E279B07CC398C4DC0C0C07398F"}) {
    EXPECT_EQ(KindOf(ParseKeyTime(bad).status()), error_kind::key_malformed)
        << bad;
  }
}

TEST(key_age, RefusesFutureKeysAndKeysOlderThanTheLog) {
  constexpr absl::Duration kSmallestStep = absl::Nanoseconds(1);
  EXPECT_TRUE(CheckKeyNotInFuture(kStart + kMaxKeyClockLead, kStart).ok());
  EXPECT_EQ(KindOf(CheckKeyNotInFuture(
                kStart + kMaxKeyClockLead + kSmallestStep, kStart)),
            error_kind::key_malformed);
  const absl::Time oldest = kStart + kMaxKeyClockLead + kMaxLogClockSkew;
  EXPECT_TRUE(CheckKeyNotExpired(oldest, kStart).ok());
  const absl::Status expired =
      CheckKeyNotExpired(oldest - kSmallestStep, kStart);
  EXPECT_EQ(KindOf(expired), error_kind::key_expired);
  EXPECT_EQ(RunStateOf(expired), run_state::unknown);
}

TEST(claim_batcher, DaemonRatesAddUpToTheClaimsFraction) {
  constexpr double kRate = 400;
  for (int daemons : {1, 4, 37, 370}) {
    double total = 0;
    for (int i = 0; i < daemons; ++i) {
      const int home_partitions =
          kClaimPartitions / daemons + (i < kClaimPartitions % daemons ? 1 : 0);
      total += DaemonAppendRate({kRate, daemons, home_partitions});
    }
    EXPECT_NEAR(total, kRate / 2, 1e-6) << daemons;
  }
  EXPECT_GT(DaemonAppendRate({kRate, 370, 1}), 1)
      << "a home must get more than one append/s";
}

TEST(claim_batcher, AppendRateAndBatchesAreBounded) {
  append_rate_limiter limiter;
  limiter.per_second = 2;
  int acquired = 0;
  absl::Time now = kStart;
  for (; now < kStart + absl::Seconds(10); now += absl::Milliseconds(10)) {
    acquired += AcquireAppend(limiter, now) == absl::ZeroDuration();
  }
  EXPECT_GE(acquired, 20);
  EXPECT_LE(acquired, 24);
  while (AcquireAppend(limiter, now) == absl::ZeroDuration()) continue;
  const absl::Duration wait = AcquireAppend(limiter, now);
  EXPECT_EQ(AcquireAppend(limiter, now + wait + absl::Milliseconds(1)),
            absl::ZeroDuration());
  EXPECT_EQ(BatchSize({}), 0u);
  EXPECT_EQ(BatchSize({2 * kMaxBatchBytes, 1}), 1u);
  EXPECT_EQ(BatchSize(std::vector<size_t>(1000, 10)), kMaxBatchRecords);
}

TEST(claim_holder, SendsOnlyInTimeWithALeaseAndAPresentCaller) {
  const claim_grant grant{"a", 7, 1, kStart};
  const absl::Time before = kStart - absl::Nanoseconds(1);
  EXPECT_TRUE(CheckBeforeSend(grant, {before, true, true}).ok());
  for (const send_conditions& conditions :
       {send_conditions{before, false, true},
        send_conditions{kStart, true, true},
        send_conditions{before, true, false}}) {
    const absl::Status refused = CheckBeforeSend(grant, conditions);
    EXPECT_FALSE(refused.ok());
    EXPECT_EQ(RunStateOf(refused), run_state::not_run);
  }
  using enum claim_follow_up;
  EXPECT_EQ(DecideFollowUp({0, run_state::not_run, false}), release);
  EXPECT_EQ(DecideFollowUp({0, run_state::unknown, false}), leave_unknown);
  EXPECT_EQ(DecideFollowUp({201, run_state::ran, false}), settle);
  EXPECT_EQ(DecideFollowUp({412, run_state::ran, false}), settle);
  EXPECT_EQ(DecideFollowUp({412, run_state::ran, true}), leave_unknown);
}

}  // namespace
}  // namespace anvilridge
