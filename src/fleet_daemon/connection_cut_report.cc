#include "fleet_daemon/connection_cut_report.h"

#include <QJsonObject>
#include <string>

#include "base/qt_text.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

constexpr metric_name kCuts{
    "anvil_fleet_caller_connections_cut_total",
    "Connections of callers that were ended while a request on them had no "
    "whole answer"};

}  // namespace

void ReportConnectionCut(const connection_cut& cut, metrics_registry& metrics) {
  const absl::string_view phase = CutPhaseName(cut.phase);
  const absl::string_view reason = CutReasonName(cut.reason);
  LogEvent(log_level::warn, "caller_connection_cut",
           {{"phase", QtText(phase)},
            {"reason", QtText(reason)},
            {"bytes", static_cast<double>(cut.bytes)},
            {"ms", static_cast<double>(absl::ToInt64Milliseconds(cut.age))},
            {"caller", QtText(cut.caller)},
            {"request", QtText(cut.request_id)}});
  metrics
      .Counter(kCuts,
               {{"phase", std::string(phase)}, {"reason", std::string(reason)}})
      .Increment();
}

}  // namespace anvilridge
