#ifndef ANVILRIDGE_ORPHANS_CANCELLER_H_
#define ANVILRIDGE_ORPHANS_CANCELLER_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "requests/request_services.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Cancels requests at engines. Repeats each cancel until the engine no longer
/// lists the request, or for two minutes, after which the engine counts as
/// gone. Must be used on one thread.
class canceller {
 public:
  /// `client` must outlive this object.
  explicit canceller(http_client& client);
  ~canceller();

  /// Begins to cancel a request. Does nothing if the same cancel is pending.
  void Cancel(const engine_cancel& cancel);

  /// Returns the number of cancels that their engine has not confirmed yet.
  size_t Pending() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_ORPHANS_CANCELLER_H_
