#ifndef ANVILRIDGE_PLACEMENT_LOAD_REPORTS_H_
#define ANVILRIDGE_PLACEMENT_LOAD_REPORTS_H_

#include <functional>
#include <memory>

#include "placement/baseline_choice.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Keeps the last load report of every engine of the configuration. Lives on
/// the control thread.
class load_reports {
 public:
  /// `client` must outlive this object.
  load_reports(http_client& client,
               std::function<std::shared_ptr<const config_state>()> config);
  ~load_reports();

  const engine_loads& Loads() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_LOAD_REPORTS_H_
