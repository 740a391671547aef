#ifndef ANVILRIDGE_PLACEMENT_CACHE_WATCH_H_
#define ANVILRIDGE_PLACEMENT_CACHE_WATCH_H_

#include <functional>
#include <memory>

#include "config/config_state.h"
#include "placement/prefix_index.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// What the watch needs from the rest of the daemon.
struct cache_watch_environment {
  std::function<std::shared_ptr<const config_state>()> config;
  std::function<int()> live_daemons;
  std::function<absl::Time()> now;
};

/// Follows the cache events of the prefill engines into a prefix index. Lives
/// on the control thread.
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
