#ifndef ANVILRIDGE_TESTS_HARNESS_LEDGER_H_
#define ANVILRIDGE_TESTS_HARNESS_LEDGER_H_

#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "harness/fleet.h"

namespace anvilridge {

/// Path of a posting on the fleet's service route.
inline constexpr char kPostingPath[] = "/ledger/postings";

/// Path of a balance lookup on it.
inline constexpr char kBalancePath[] = "/ledger/balance/7";

/// Returns a fresh idempotency key `<unix seconds>-<id>` made at `time`.
std::string SecondsKey(absl::Time time);

/// Returns a fresh idempotency key as a UUIDv7 made at `time`.
std::string UuidKey(absl::Time time);

/// Returns how often the call with `key` ran, over all services.
int RunsOf(const fleet& fleet, absl::string_view key);

/// Returns how many calls that may not be repeated ran on all services.
int RunsOfAll(const fleet& fleet);

/// Returns how many repeatable calls were executed on all services.
int ReadsOfAll(const fleet& fleet);

/// Returns how many claims-related appends the platform has read.
int ClaimAppends(const fleet& fleet);

/// Switches `fault` on at every service.
void SetServiceFault(const fleet& fleet, absl::string_view fault,
                     const QJsonObject& parameters = {});

/// Fills all streams of claims past `kept` records, the platform's
/// `--max-records`, so that the claims made so far expire.
void ExpireClaims(const fleet& fleet, int kept = 64);

/// Clears the faults of the platform and of every service.
void ClearLedgerFaults(const fleet& fleet);

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_LEDGER_H_
