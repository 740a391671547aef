// Cost of claims at one home: claims_cost KEYS
#include <QJsonDocument>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench_meter.h"
#include "claims/claim_batcher.h"
#include "claims/claim_index.h"
#include "claims/claim_record.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

claim_record Claim(int number) {
  claim_record claim;
  claim.claim_id =
      absl::StrCat("0123456789abcdef01234567", 10'000'000 + number);
  claim.team = "team-with-a-name-17";
  claim.key = absl::StrCat("1800000000-posting-of-the-day-", number);
  claim.route = "ledger";
  claim.body_hash = std::string(64, 'a');
  claim.holder = {"entry-zagreb-a-1", 1'800'000'000'000'000};
  claim.send_window = absl::Seconds(3);
  claim.answer_window = absl::Seconds(10);
  return claim;
}

claims_record Outcome(const claim_record& claim) {
  claim_outcome outcome;
  outcome.http_status = 201;
  outcome.content_type = "application/json";
  outcome.body = R"({"posting": 123456789, "state": "booked"})";
  return outcome_record{claim.claim_id, LimitOutcomeBody(outcome)};
}

double Bytes(const claims_record& record) {
  return static_cast<double>(QJsonDocument(EncodeClaimsRecord(record))
                                 .toJson(QJsonDocument::Compact)
                                 .size());
}

int Run(int keys) {
  std::vector<log_record> records;
  records.reserve(2 * static_cast<size_t>(keys));
  for (int i = 0; i < keys; ++i) {
    const claim_record claim = Claim(i);
    for (const claims_record& record : {claims_record(claim), Outcome(claim)}) {
      records.push_back({static_cast<int64_t>(records.size() + 1), kStart,
                         RecordId(record), EncodeClaimsRecord(record)});
    }
  }
  claim_index index;
  const double heap = HeapBytes();
  const double cpu = CpuMicroseconds();
  for (const log_record& record : records) ApplyClaimsRecord(index, record);
  const double fold = CpuMicroseconds() - cpu;
  const double kept = HeapBytes() - heap;
  const double decide = CpuOf(1000, [&] {
    (void)DecideClaim(index, Claim(0), kStart + absl::Seconds(1));
  });
  const double encode = CpuOf(1000, [&] {
    const claims_record record = Claim(0);
    (void)DecodeClaimsRecord(EncodeClaimsRecord(record));
  });
  const double share = DaemonAppendRate({300, 370, 1});
  const double without = DaemonAppendRate({300, 370, 0});
  PrintLine({{"bench", "claims_cost"},
             {"keys", keys},
             {"heap_bytes_per_key", kept / keys},
             {"fold_us_per_key", fold / keys},
             {"decide_us", decide},
             {"encode_decode_us", encode},
             {"claim_record_bytes", Bytes(Claim(0))},
             {"outcome_record_bytes", Bytes(Outcome(Claim(0)))},
             {"append_share_home_of_one", share},
             {"append_share_home_of_none", without}});
  return static_cast<int>(index.claims.size()) == keys ? 0 : 1;
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  return anvilridge::Run(anvilridge::SizeArgument(argc, argv, 1, 10'000));
}
