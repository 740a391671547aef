#ifndef ANVILRIDGE_STANDINS_COMMON_FAULT_TABLE_H_
#define ANVILRIDGE_STANDINS_COMMON_FAULT_TABLE_H_

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// One fault that was switched on.
struct fault {
  std::string name;
  /// What the fault applies to and how; the keys depend on the fault.
  QJsonObject parameters;
  /// Occasions left; negative for no bound.
  int64_t remaining = -1;
  /// Chance that an occasion is affected.
  double probability = 1;
  int64_t taken = 0;
};

/// The faults of one stand-in.
struct fault_table {
  /// Names that may be switched on.
  std::vector<std::string> known;
  std::vector<fault> faults;
  std::mt19937_64 random;
};

/// Switches on the fault described by `{fault, count, probability, ...}`.
absl::Status AddFault(fault_table& table, const QJsonObject& description);

/// Returns the parameters of the first fault `name` that applies to `context`,
/// and counts the occasion. A parameter that is also a key of `context` must
/// be equal to it or "all"; `path` need only be a prefix.
std::optional<QJsonObject> TakeFault(fault_table& table, absl::string_view name,
                                     const QJsonObject& context = {});

/// Whether fault `name` is on for `context`; counts nothing.
bool FaultIsOn(const fault_table& table, absl::string_view name,
               const QJsonObject& context = {});

/// Returns the `ms` parameter, or `fallback` without one.
absl::Duration FaultDelay(const QJsonObject& parameters,
                          absl::Duration fallback);

/// Lists the faults that are on, with what is left of their counts.
QJsonObject FaultsJson(const fault_table& table);

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_COMMON_FAULT_TABLE_H_
