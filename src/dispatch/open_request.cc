#include "dispatch/open_request.h"

#include <QJsonObject>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/milliseconds.h"
#include "base/qt_text.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Calls the function `end` of each request in `table` that has one.
void EndRequests(const open_request_table& table,
                 std::function<void()> open_request::*end) {
  // Requests leave the table when they end, also one because of another.
  std::vector<uint64_t> keys;
  keys.reserve(table.size());
  for (const auto& [key, request] : table) keys.push_back(key);
  for (const uint64_t key : keys) {
    const auto found = table.find(key);
    if (found == table.end()) continue;
    const std::function<void()> end_request = found->second.*end;
    if (end_request) end_request();
  }
}

}  // namespace

open_request_entry::open_request_entry(
    std::shared_ptr<open_request_table> table, open_request request)
    : table_(std::move(table)) {
  key_ = table_->empty() ? 0 : table_->rbegin()->first + 1;
  table_->emplace(key_, std::move(request));
}

open_request_entry::~open_request_entry() { Close(); }

void open_request_entry::Close() {
  if (const auto table = std::exchange(table_, nullptr)) table->erase(key_);
}

void EndRequestsForStop(const open_request_table& table) {
  EndRequests(table, &open_request::end_for_stop);
}

void EndQuarantinedRequests(const open_request_table& table) {
  EndRequests(table, &open_request::end_if_quarantined);
}

void LogRequestsCutByStop(const open_request_table& table,
                          absl::Time stop_began) {
  const absl::Time now = MonotonicNow();
  for (const auto& [key, request] : table) {
    LogEvent(log_level::error, "request_cut_by_stop",
             {{"request", QtText(request.id)},
              {"route", QtText(request.route)},
              {"streams", request.streams},
              {"received_after_stop_ms",
               ToMilliseconds(request.received - stop_began)},
              {"ms", ToMilliseconds(now - request.received)},
              {"time_left_ms", ToMilliseconds(request.deadline - now)}});
  }
}

}  // namespace anvilridge
