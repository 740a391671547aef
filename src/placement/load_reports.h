#ifndef ANVILRIDGE_PLACEMENT_LOAD_REPORTS_H_
#define ANVILRIDGE_PLACEMENT_LOAD_REPORTS_H_

#include <functional>
#include <memory>

#include "placement/baseline_choice.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Polls every prefill and decode engine of the configuration for its load and
/// keeps the last report of each. Used on the control thread only.
class load_reports {
 public:
  /// `client` must outlive this object. `config` returns the configuration in
  /// force; null while there is none.
  load_reports(http_client& client,
               std::function<std::shared_ptr<const config_state>()> config);
  ~load_reports();

  /// Returns the last report of each engine that has sent one. The reports of
  /// engines that leave the configuration are kept.
  const engine_loads& Loads() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_LOAD_REPORTS_H_
