#include "common/fault_table.h"

#include <QJsonArray>
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

constexpr char kWildcard[] = "all";

bool ParameterApplies(const QString& key, const QJsonValue& wanted,
                      const QJsonValue& actual) {
  if (wanted == actual || wanted == QJsonValue(kWildcard)) return true;
  return key == "path" && actual.toString().startsWith(wanted.toString());
}

bool Applies(const fault& candidate, absl::string_view name,
             const QJsonObject& context) {
  if (candidate.name != name || candidate.remaining == 0) return false;
  for (auto it = context.begin(); it != context.end(); ++it) {
    const QJsonValue wanted = candidate.parameters.value(it.key());
    if (wanted.isUndefined()) continue;
    if (!ParameterApplies(it.key(), wanted, it.value())) return false;
  }
  return true;
}

}  // namespace

absl::Status AddFault(fault_table& table, const QJsonObject& description) {
  fault added;
  added.name = description.value("fault").toString().toStdString();
  if (std::find(table.known.begin(), table.known.end(), added.name) ==
      table.known.end()) {
    return MakeError(error_kind::malformed_request,
                     absl::StrCat("unknown fault: ", added.name));
  }
  added.remaining = description.value("count").toInteger(-1);
  added.probability = description.value("probability").toDouble(1);
  added.parameters = description;
  added.parameters.remove("fault");
  added.parameters.remove("count");
  added.parameters.remove("probability");
  table.faults.push_back(std::move(added));
  return absl::OkStatus();
}

std::optional<QJsonObject> TakeFault(fault_table& table, absl::string_view name,
                                     const QJsonObject& context) {
  for (fault& candidate : table.faults) {
    if (!Applies(candidate, name, context)) continue;
    std::uniform_real_distribution<double> chance(0, 1);
    if (chance(table.random) >= candidate.probability) continue;
    if (candidate.remaining > 0) --candidate.remaining;
    ++candidate.taken;
    return candidate.parameters;
  }
  return std::nullopt;
}

bool FaultIsOn(const fault_table& table, absl::string_view name,
               const QJsonObject& context) {
  return std::any_of(table.faults.begin(), table.faults.end(),
                     [&](const fault& candidate) {
                       return Applies(candidate, name, context);
                     });
}

absl::Duration FaultDelay(const QJsonObject& parameters,
                          absl::Duration fallback) {
  const QJsonValue ms = parameters.value("ms");
  return ms.isDouble() ? absl::Milliseconds(ms.toDouble()) : fallback;
}

QJsonObject FaultsJson(const fault_table& table) {
  QJsonArray list;
  for (const fault& entry : table.faults) {
    QJsonObject row = entry.parameters;
    row["fault"] = QString::fromStdString(entry.name);
    row["remaining"] = static_cast<qint64>(entry.remaining);
    row["probability"] = entry.probability;
    row["taken"] = static_cast<qint64>(entry.taken);
    list.append(row);
  }
  return {{"faults", list}};
}

}  // namespace anvilridge
