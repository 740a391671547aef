#include "harness/ledger.h"

#include <QJsonArray>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/ids.h"
#include "claims/claim_record.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"

namespace anvilridge {
namespace {

QJsonObject Counts(const standin& service) {
  const test_answer answer = Get(service.port, "/standin/counts");
  EXPECT_EQ(answer.status, 200) << answer.error;
  return answer.Json();
}

int SumOf(const fleet& fleet, const char* member) {
  int sum = 0;
  for (const standin& service : fleet.services) {
    sum += Counts(service)[member].toInt();
  }
  return sum;
}

}  // namespace

std::string SecondsKey(absl::Time time) {
  return absl::StrCat(absl::ToUnixSeconds(time), "-", NewId());
}

std::string UuidKey(absl::Time time) {
  const std::string ms = absl::StrFormat("%012x", absl::ToUnixMillis(time));
  std::string random = NewId();
  std::erase(random, '-');
  return absl::StrCat(ms.substr(0, 8), "-", ms.substr(8, 4), "-7",
                      random.substr(0, 3), "-a", random.substr(3, 3), "-",
                      random.substr(6, 12));
}

int RunsOf(const fleet& fleet, absl::string_view key) {
  const QString name =
      QString::fromUtf8(key.data(), static_cast<qsizetype>(key.size()));
  int runs = 0;
  for (const standin& service : fleet.services) {
    runs += Counts(service)["keys"].toObject()[name].toInt();
  }
  return runs;
}

int RunsOfAll(const fleet& fleet) { return SumOf(fleet, "total"); }

int ReadsOfAll(const fleet& fleet) { return SumOf(fleet, "reads"); }

int ClaimAppends(const fleet& fleet) {
  const QJsonObject calls = Get(fleet.platform.port, "/standin/calls").Json();
  int appends = 0;
  for (auto it = calls.begin(); it != calls.end(); ++it) {
    if (it.key().startsWith("POST /log/claims")) appends += it.value().toInt();
  }
  return appends;
}

void SetServiceFault(const fleet& fleet, absl::string_view fault,
                     const QJsonObject& parameters) {
  for (const standin& service : fleet.services) {
    SetFault(service.port, fault, parameters);
  }
}

void ExpireClaims(const fleet& fleet, int kept) {
  constexpr absl::Duration kFillBound = absl::Seconds(5);
  QJsonArray filling;
  for (int i = 0; i <= kept; ++i) {
    filling.append(QJsonObject{{"id", "filling"}, {"data", QJsonObject()}});
  }
  for (int i = 0; i < kClaimPartitions; ++i) {
    const std::string path = "/log/" + ClaimsStreamName(i);
    EXPECT_TRUE(Eventually(kFillBound, [&] {
      return Post(fleet.platform.port, path, {{"records", filling}}).status ==
             200;
    }));
  }
}

void ClearLedgerFaults(const fleet& fleet) {
  ClearFaults(fleet.platform.port);
  for (const standin& service : fleet.services) ClearFaults(service.port);
}

}  // namespace anvilridge
