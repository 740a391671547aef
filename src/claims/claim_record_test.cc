#include "claims/claim_record.h"

#include <string>

#include "absl/strings/match.h"
#include "base/error_kind.h"
#include "base/testing/damaged_value.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace anvilridge {
namespace {

std::string Word() {
  return *rc::gen::nonEmpty(
      rc::gen::resize(60, rc::gen::container<std::string>(
                              rc::gen::elementOf(std::string("abz-_.09")))));
}

absl::Duration Window() {
  return absl::Milliseconds(*rc::gen::inRange(0, 60'000));
}

claim_record Claim() {
  claim_record claim;
  claim.claim_id = Word();
  claim.team = Word();
  claim.key = Word();
  claim.route = Word();
  claim.body_hash = Word();
  claim.holder = {Word(), *rc::gen::arbitrary<uint64_t>()};
  claim.send_window = Window();
  claim.answer_window = Window();
  return claim;
}

outcome_record Outcome() {
  claim_outcome outcome;
  outcome.http_status = *rc::gen::inRange(100, 600);
  outcome.content_type = Word();
  outcome.body = *rc::gen::string<std::string>();
  return {Word(), BoundOutcome(std::move(outcome))};
}

claims_record Record() {
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      return Claim();
    case 1:
      return Outcome();
    default:
      return release_record{Word()};
  }
}

// Records have no equality of their own: their encodings are compared.
TEST(claim_record_test, RoundTrip) {
  EXPECT_TRUE(rc::check([] {
    const QJsonObject written = EncodeClaimsRecord(Record());
    const auto decoded = DecodeClaimsRecord(written);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(EncodeClaimsRecord(*decoded) == written);
  }));
}

// What is taken must be what was written, or else it is refused.
TEST(claim_record_test, DamagedRecordsAreRefused) {
  EXPECT_TRUE(rc::check([] {
    const QJsonObject damaged = *DamagedJson(EncodeClaimsRecord(Record()));
    const auto decoded = DecodeClaimsRecord(damaged);
    RC_CLASSIFY(decoded.ok(), "still a record");
    if (decoded.ok()) {
      RC_ASSERT(EncodeClaimsRecord(*decoded) == damaged);
      return;
    }
    RC_ASSERT(KindOf(decoded.status()) == error_kind::malformed_request);
    RC_ASSERT(absl::StartsWith(decoded.status().message(), "claims record: "));
  }));
}

}  // namespace
}  // namespace anvilridge
