#ifndef ANVILRIDGE_DISPATCH_OPEN_REQUEST_H_
#define ANVILRIDGE_DISPATCH_OPEN_REQUEST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/time/time.h"

namespace anvilridge {

/// A caller's request without a final response yet.
struct open_request {
  std::string id;
  std::string route;
  /// Whether the response is a stream of events.
  bool streams = false;
  absl::Time received;
  /// Time by which the final response must be sent.
  absl::Time deadline;
  /// Sends the final response of a request that has none to pass on yet,
  /// because the daemon stops.
  std::function<void()> end_for_stop;
  /// Sends the final response of a request that has none to pass on yet, if a
  /// part of its prompt is quarantined; empty for requests without a prompt.
  std::function<void()> end_if_quarantined = {};
};

/// Open requests, in order of arrival.
using open_request_table = std::map<uint64_t, open_request>;

/// Keeps a request in a table until it is closed.
class open_request_entry {
 public:
  open_request_entry(std::shared_ptr<open_request_table> table,
                     open_request request);
  ~open_request_entry();
  open_request_entry(const open_request_entry&) = delete;
  open_request_entry& operator=(const open_request_entry&) = delete;

  /// Removes the request from the table. Further calls have no effect.
  void Close();

 private:
  std::shared_ptr<open_request_table> table_;
  uint64_t key_ = 0;
};

/// Calls `end_for_stop` of all requests in `table`.
void EndRequestsForStop(const open_request_table& table);

/// Calls `end_if_quarantined` of all requests in `table` that have it.
void EndQuarantinedRequests(const open_request_table& table);

/// Logs each request of `table` that ends without a final response because the
/// daemon stops.
/// @param stop_began time at which the stop began.
void LogRequestsCutByStop(const open_request_table& table,
                          absl::Time stop_began);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_OPEN_REQUEST_H_
