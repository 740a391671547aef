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

claim_index Fold(const std::vector<claims_record>& records) {
  claim_index index;
  int64_t offset = 0;
  for (const claims_record& record : records) {
    FoldRecord(index, {++offset, kStart, RecordId(record),
                       EncodeClaimsRecord(record)});
  }
  return index;
}

struct decision_case {
  const char* name;
  std::vector<claims_record> records;
  claim_record request;
  claim_verdict verdict;
  int64_t offset = 0;
  absl::Duration age = absl::Seconds(1);
};

TEST(claim_index, DecidesByTheOrderOfTheLog) {
  using enum claim_verdict;
  const decision_case cases[] = {
      {"empty", {}, Claim("a"), free},
      {"own claim", {Claim("a")}, Claim("a"), granted, 1},
      {"own claim twice", {Claim("a"), Claim("a")}, Claim("a"), granted, 1},
      {"another's first", {Claim("a"), Claim("b")}, Claim("b"), in_progress, 1},
      {"settled", {Claim("a"), Outcome("a")}, Claim("b"), settled, 2},
      {"second outcome ignored",
       {Claim("a"), Outcome("a"), Outcome("a")},
       Claim("b"),
       settled,
       2},
      {"released", {Claim("a"), Release("a")}, Claim("b"), free},
      {"claimed again",
       {Claim("a"), Release("a"), Claim("b")},
       Claim("b"),
       granted,
       3},
      {"given up before it landed",
       {Release("a"), Claim("a")},
       Claim("b"),
       free},
      {"void own claim", {Release("a"), Claim("a")}, Claim("a"), lost, 1},
      {"copy after release",
       {Claim("a"), Release("a"), Claim("a")},
       Claim("b"),
       free},
      {"denied stays denied after release",
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
      {"outcome of a denied claim",
       {Claim("a"), Claim("b"), Outcome("b")},
       Claim("c"),
       in_progress,
       1},
      {"past its window",
       {Claim("a")},
       Claim("b"),
       outcome_unknown,
       1,
       2 * kWindow},
      {"last moment of its window",
       {Claim("a")},
       Claim("b"),
       in_progress,
       1,
       2 * kWindow - absl::Nanoseconds(1)},
      {"other body", {Claim("a")}, Claim("b", "k", "x"), conflict},
      {"other body after the outcome",
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
        Decide(Fold(c.records), c.request, kStart + c.age);
    EXPECT_EQ(static_cast<int>(decision.verdict), static_cast<int>(c.verdict))
        << c.name;
    EXPECT_EQ(decision.offset, c.offset) << c.name;
  }
}

TEST(claim_index, MalformedRecordsAreCountedAndPassedOver) {
  claim_index index;
  FoldRecord(index, {1, kStart, "x", QJsonValue("text")});
  FoldRecord(index, {2, kStart, "x", QJsonObject{{"type", "claim"}}});
  FoldRecord(index, {3, kStart, "x",
                     QJsonObject{{"type", "other"}, {"claim_id", "a"}}});
  EXPECT_EQ(index.malformed_records, 3);
  EXPECT_EQ(index.next, 4);
  EXPECT_EQ(Decide(index, Claim("a"), kStart).verdict, claim_verdict::free);
}

TEST(claim_index, ForgetsWhatTheLogForgets) {
  claim_index index = Fold({Claim("a"), Claim("b"), Release("c")});
  NoteCompleteSince(index, kStart);
  EXPECT_EQ(index.claims.size(), 3u);
  NoteCompleteSince(index, kStart + absl::Minutes(1));
  EXPECT_TRUE(index.claims.empty());
  EXPECT_TRUE(index.holders.empty());
}

TEST(claim_record, SurvivesTheLogAndThePeerProtocol) {
  claim_outcome outcome;
  outcome.http_status = 200;
  outcome.content_type = "application/json";
  outcome.body = std::string("\0\xff{}", 4);
  const claims_record records[] = {
      Claim("a"), outcome_record{"a", BoundOutcome(outcome)}, Release("a")};
  for (const claims_record& record : records) {
    const auto peer = DecodePeerRecord(EncodePeerRecord(record, 63));
    ASSERT_TRUE(peer);
    EXPECT_EQ(peer->partition, 63);
    EXPECT_EQ(EncodeClaimsRecord(peer->record), EncodeClaimsRecord(record));
  }
  EXPECT_FALSE(DecodePeerRecord(EncodePeerRecord(records[0], 64)));
  claim_reply reply;
  reply.outcome = BoundOutcome(outcome);
  EXPECT_EQ(DecodeReply(EncodeReply(reply)).outcome->body, outcome.body);
  EXPECT_FALSE(DecodeReply(QCborMap()).status.ok());
  outcome.body.assign(kMaxOutcomeBodyBytes + 1, 'x');
  const claim_outcome bounded = BoundOutcome(outcome);
  EXPECT_FALSE(bounded.body_kept);
  EXPECT_TRUE(bounded.body.empty());
  EXPECT_EQ(bounded.body_hash.size(), 64u);
}

TEST(key_age, AcceptsOnlyKeysWithATime) {
  const auto rfc = KeyTime("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
  ASSERT_TRUE(rfc.ok());
  EXPECT_EQ(*rfc, absl::FromUnixMillis(1645557742000));
  EXPECT_EQ(*KeyTime("1800000000-dues.42"), kStart);
  for (const char* bad : {"", "dues-42", "1800000000", "1800000000-",
                          "180000000-x", "1800000000-a b", "+800000000-x",
                          "017F22E2-79B0-4CC3-98C4-DC0C0C07398F",
                          "017F22E2-79B0-7CC3-18C4-DC0C0C07398F",
                          "017F22E279B07CC398C4DC0C0C07398F"}) {
    EXPECT_EQ(KindOf(KeyTime(bad).status()), error_kind::key_malformed) << bad;
  }
}

TEST(key_age, RefusesKeysOutsideWhatTheLogKeeps) {
  constexpr absl::Duration kStep = absl::Nanoseconds(1);
  EXPECT_TRUE(CheckKeyNotEarly(kStart + kMaxKeyLead, kStart).ok());
  EXPECT_EQ(KindOf(CheckKeyNotEarly(kStart + kMaxKeyLead + kStep, kStart)),
            error_kind::key_malformed);
  const absl::Time oldest = kStart + kMaxKeyLead + kMaxLogSkew;
  EXPECT_TRUE(CheckKeyNotExpired(oldest, kStart).ok());
  const absl::Status expired = CheckKeyNotExpired(oldest - kStep, kStart);
  EXPECT_EQ(KindOf(expired), error_kind::key_expired);
  EXPECT_EQ(RunStateOf(expired), run_state::unknown);
}

TEST(claim_batcher, SharesAddUpToTheClaimsPartOfTheRate) {
  constexpr double kRate = 400;
  for (int daemons : {1, 4, 37, 370}) {
    double total = 0;
    for (int i = 0; i < daemons; ++i) {
      const int homes =
          kClaimPartitions / daemons + (i < kClaimPartitions % daemons ? 1 : 0);
      total += AppendShare({kRate, daemons, homes});
    }
    EXPECT_NEAR(total, kRate / 2, 1e-6) << daemons;
  }
  EXPECT_GT(AppendShare({kRate, 370, 1}), 1) << "one append/s for a home";
}

TEST(claim_batcher, AllowanceAndBatchesAreBounded) {
  append_allowance allowance;
  allowance.per_second = 2;
  int taken = 0;
  absl::Time now = kStart;
  for (; now < kStart + absl::Seconds(10); now += absl::Milliseconds(10)) {
    taken += TakeAppend(allowance, now) == absl::ZeroDuration();
  }
  EXPECT_GE(taken, 20);
  EXPECT_LE(taken, 24);
  while (TakeAppend(allowance, now) == absl::ZeroDuration()) continue;
  const absl::Duration wait = TakeAppend(allowance, now);
  EXPECT_EQ(TakeAppend(allowance, now + wait + absl::Milliseconds(1)),
            absl::ZeroDuration());
  EXPECT_EQ(BatchSize({}), 0u);
  EXPECT_EQ(BatchSize({2 * kMaxBatchBytes, 1}), 1u);
  EXPECT_EQ(BatchSize(std::vector<size_t>(1000, 10)), kMaxBatchRecords);
}

TEST(claim_holder, SendsOnlyWithLeaseInTimeAndForACaller) {
  const claim_grant grant{"a", 7, 1, kStart};
  const absl::Time before = kStart - absl::Nanoseconds(1);
  EXPECT_TRUE(CheckBeforeSend(grant, {before, true, true}).ok());
  for (const send_check& check :
       {send_check{before, false, true}, send_check{kStart, true, true},
        send_check{before, true, false}}) {
    const absl::Status refused = CheckBeforeSend(grant, check);
    EXPECT_FALSE(refused.ok());
    EXPECT_EQ(RunStateOf(refused), run_state::not_run);
  }
  using enum claim_follow_up;
  EXPECT_EQ(FollowUp({0, run_state::not_run, false}), release);
  EXPECT_EQ(FollowUp({0, run_state::unknown, false}), leave_unknown);
  EXPECT_EQ(FollowUp({201, run_state::ran, false}), settle);
  EXPECT_EQ(FollowUp({412, run_state::ran, false}), settle);
  EXPECT_EQ(FollowUp({412, run_state::ran, true}), leave_unknown);
}

}  // namespace
}  // namespace anvilridge
