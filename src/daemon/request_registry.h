#ifndef ANVILRIDGE_DAEMON_REQUEST_REGISTRY_H_
#define ANVILRIDGE_DAEMON_REQUEST_REGISTRY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "requests/request_services.h"

namespace anvilridge {

/// The requests in progress on this daemon, by id. Control thread only.
struct request_registry {
  std::map<std::string, active_request, std::less<>> active;
  /// What ends each request when an operator cancels it.
  std::map<std::string, std::function<void()>, std::less<>> cancels;
};

/// Adds a request; `cancel` ends it for an operator.
void Note(request_registry& registry, const active_request& request,
          std::function<void()> cancel);

/// Ends the request for an operator, once; does nothing if it is not there.
void CancelHere(request_registry& registry, absl::string_view request_id);

/// Changes the stage of a request; one that has ended is left alone.
void Change(request_registry& registry, const active_request& request);

/// Returns how many requests in progress are served by `engine_request_id`:
/// two while a caller has come back to this daemon and the earlier one still
/// waits for it.
int CountServedBy(const request_registry& registry,
                  absl::string_view engine_request_id);

/// Removes a request; returns its team, or "" if it was not there.
std::string Remove(request_registry& registry, absl::string_view request_id);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_REQUEST_REGISTRY_H_
