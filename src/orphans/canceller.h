#ifndef ANVILRIDGE_ORPHANS_CANCELLER_H_
#define ANVILRIDGE_ORPHANS_CANCELLER_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "requests/request_services.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Cancels requests at engines, again and again until the engine's own list no
/// longer shows them or the engine is given up as gone. Lives on one thread.
class canceller {
 public:
  /// `client` must outlive this object.
  explicit canceller(http_client& client);
  ~canceller();

  /// Begins to cancel; one that is already being cancelled is left alone.
  void Cancel(const engine_cancel& cancel);

  /// Number of cancels that no engine has confirmed yet.
  size_t Pending() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_ORPHANS_CANCELLER_H_
