#include "claims/claim_record.h"

#include <string>

#include "absl/strings/match.h"
#include "base/error_kind.h"
#include "base/testing/damaged_value.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace anvilridge {
namespace {

std::string RandomWord() {
  return *rc::gen::nonEmpty(
      rc::gen::resize(60, rc::gen::container<std::string>(
                              rc::gen::elementOf(std::string("abz-_.09")))));
}

absl::Duration RandomWindow() {
  return absl::Milliseconds(*rc::gen::inRange(0, 60'000));
}

claim_record RandomClaim() {
  claim_record claim;
  claim.claim_id = RandomWord();
  claim.team = RandomWord();
  claim.key = RandomWord();
  claim.route = RandomWord();
  claim.body_hash = RandomWord();
  claim.holder = {RandomWord(), *rc::gen::arbitrary<uint64_t>()};
  claim.send_window = RandomWindow();
  claim.answer_window = RandomWindow();
  return claim;
}

outcome_record RandomOutcome() {
  claim_outcome outcome;
  outcome.http_status = *rc::gen::inRange(100, 600);
  outcome.content_type = RandomWord();
  outcome.body = *rc::gen::string<std::string>();
  return {RandomWord(), LimitOutcomeBody(std::move(outcome))};
}

claims_record RandomRecord() {
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      return RandomClaim();
    case 1:
      return RandomOutcome();
    default:
      return release_record{RandomWord()};
  }
}

// Compares encodings, since the record types have no operator==.
TEST(claim_record_test, RoundTrip) {
  EXPECT_TRUE(rc::check([] {
    const QJsonObject encoded = EncodeClaimsRecord(RandomRecord());
    const auto decoded = DecodeClaimsRecord(encoded);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(EncodeClaimsRecord(*decoded) == encoded);
  }));
}

// Guards against a damaged record that is decoded with other values than it
// contains: decoding must either fail or give exactly the damaged record.
TEST(claim_record_test, DamagedRecordsAreRefused) {
  EXPECT_TRUE(rc::check([] {
    const QJsonObject damaged =
        *DamagedJson(EncodeClaimsRecord(RandomRecord()));
    const auto decoded = DecodeClaimsRecord(damaged);
    RC_CLASSIFY(decoded.ok(), "still valid");
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
