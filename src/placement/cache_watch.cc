#include "placement/cache_watch.h"

#include <QTimer>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "base/event_loop.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kPollInterval = absl::Milliseconds(500);
// Most live daemons among which each follows all engines. One engine's events
// are some 20 KB/s, more than a daemon of a large deployment may spend on all
// of its control traffic.
constexpr int kSmallDeployment = 16;
// Asks for nothing but the number of the last event.
constexpr int64_t kBehindAll = std::numeric_limits<int64_t>::max();

bool IsPrefill(const config_state& config, const upstream_config& upstream) {
  const auto pool = config.pools.find(upstream.pool);
  return pool != config.pools.end() && pool->second.role == pool_role::prefill;
}

}  // namespace

struct cache_watch::impl {
  http_client& client;
  prefix_index& index;
  cache_watch_environment env;
  prefix_policy policy;
  std::unique_ptr<QTimer> timer;
  // Outlived by callbacks that check it.
  std::shared_ptr<char> alive = std::make_shared<char>();

  void Poll() {
    const std::shared_ptr<const config_state> config = env.config();
    if (!config) return;
    ForgetRemoved(*config);
    if (env.live_daemons() > kSmallDeployment) return;
    for (const auto& [name, upstream] : config->upstreams) {
      if (IsPrefill(*config, upstream)) PollEngine(upstream);
    }
  }

  void PollEngine(const upstream_config& upstream) {
    const auto feed = index.feeds.find(upstream.name);
    const bool known = feed != index.feeds.end() && feed->second.last_seq >= 0;
    const std::weak_ptr<char> guard = alive;
    GetCacheEvents(
        client, upstream.address, known ? feed->second.last_seq : kBehindAll,
        [this, guard,
         engine = upstream.name](absl::StatusOr<cache_events> answer) {
          if (guard.expired() || !answer.ok()) return;
          ApplyCacheEvents(index, engine, *answer, policy, env.now());
        });
  }

  void ForgetRemoved(const config_state& config) {
    std::vector<std::string> removed;
    for (const auto& [name, feed] : index.feeds) {
      if (!config.upstreams.contains(name)) removed.push_back(name);
    }
    for (const std::string& name : removed) ForgetEngine(index, name);
  }
};

cache_watch::cache_watch(http_client& client, prefix_index& index,
                         cache_watch_environment environment)
    : impl_(new impl{client, index, std::move(environment), {}, nullptr}) {
  impl_->timer =
      RunEvery(kPollInterval, [state = impl_.get()] { state->Poll(); });
}

cache_watch::~cache_watch() = default;

}  // namespace anvilridge
