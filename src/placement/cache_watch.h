#ifndef ANVILRIDGE_PLACEMENT_CACHE_WATCH_H_
#define ANVILRIDGE_PLACEMENT_CACHE_WATCH_H_

#include <functional>
#include <memory>

#include "config/config_state.h"
#include "placement/prefix_index.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Functions that `cache_watch` calls in the rest of the daemon.
struct cache_watch_environment {
  /// Returns the configuration in force; null while there is none.
  std::function<std::shared_ptr<const config_state>()> config;
  /// Returns the number of live daemons of the deployment.
  std::function<int()> live_daemons;
  std::function<absl::Time()> now;
};

/// Polls the prefill engines for their cache events and applies them to a
/// prefix index. In a large deployment it polls no engines and only removes
/// engines that have left the configuration. Used on the control thread only.
class cache_watch {
 public:
  /// `client` and `index` must outlive this object.
  cache_watch(http_client& client, prefix_index& index,
              cache_watch_environment environment);
  ~cache_watch();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_CACHE_WATCH_H_
