#include "dispatch/unfinished_request.h"

#include <QJsonObject>

#include "base/clock.h"
#include "base/qt_text.h"
#include "log/decision_log.h"

namespace anvilridge {

absl::string_view UnfinishedReasonName(unfinished_reason reason) {
  switch (reason) {
    case unfinished_reason::silence:
      return "silence";
    case unfinished_reason::upstream_failed:
      return "upstream_failed";
    case unfinished_reason::time_limit:
      return "time_limit";
    case unfinished_reason::caller_patience:
      return "caller_patience";
    case unfinished_reason::stop:
      return "stop";
    case unfinished_reason::quarantined:
      return "quarantined";
  }
  return "unknown";
}

void ReportUnfinished(dispatch_state& state, const fleet_request& request,
                      const fleet_route& route, const fleet_service& service,
                      const unfinished_request& unfinished) {
  const absl::string_view reason = UnfinishedReasonName(unfinished.reason);
  const send_credit& credit = SendCredit(state.budget, service.name,
                                         state.settings.budget, MonotonicNow());
  LogEvent(log_level::warn, "request_unfinished",
           {{"request", QtText(request.id)},
            {"route", QtText(route.name)},
            {"reason", QtText(reason)},
            {"upstream", QtText(unfinished.upstream)},
            {"call_in_progress", unfinished.call_in_progress},
            {"silent_ms", static_cast<double>(
                              absl::ToInt64Milliseconds(unfinished.silence))},
            {"sends", unfinished.sends},
            {"events", unfinished.events},
            {"budget_available", credit.available}});
  state.metrics->CountUnfinished(route.name, reason,
                                 unfinished.call_in_progress);
}

}  // namespace anvilridge
