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
// Largest number of live daemons at which every daemon polls all prefill
// engines. The events of one engine take some 20 KB/s, more than a daemon of a
// larger deployment may spend on all of its control traffic.
constexpr int kMaxDaemonsForPolling = 16;
// Sequence number after every event: a poll from here returns no events, only
// the number of the last one.
constexpr int64_t kAfterAllEvents = std::numeric_limits<int64_t>::max();

bool IsPrefillEngine(const config_state& config,
                     const upstream_config& upstream) {
  const auto pool = config.pools.find(upstream.pool);
  return pool != config.pools.end() && pool->second.role == pool_role::prefill;
}

}  // namespace

struct cache_watch::impl {
  http_client& client;
  prefix_index& index;
  cache_watch_environment env;
  prefix_index_policy policy;
  std::unique_ptr<QTimer> timer;
  // Callbacks hold a weak pointer to this and do nothing once it has expired.
  std::shared_ptr<char> alive = std::make_shared<char>();

  void Poll() {
    const std::shared_ptr<const config_state> config = env.config();
    if (!config) return;
    RemoveUnconfiguredEngines(*config);
    if (env.live_daemons() > kMaxDaemonsForPolling) return;
    for (const auto& [name, upstream] : config->upstreams) {
      if (IsPrefillEngine(*config, upstream)) PollEngine(upstream);
    }
  }

  void PollEngine(const upstream_config& upstream) {
    const auto feed = index.feeds.find(upstream.name);
    const bool followed =
        feed != index.feeds.end() && feed->second.last_seq >= 0;
    const std::weak_ptr<char> guard = alive;
    GetCacheEvents(client, upstream.address,
                   followed ? feed->second.last_seq : kAfterAllEvents,
                   [this, guard, engine = upstream.name](
                       absl::StatusOr<cache_events> reply) {
                     if (guard.expired() || !reply.ok()) return;
                     ApplyCacheEvents(index, engine, *reply, policy, env.now());
                   });
  }

  void RemoveUnconfiguredEngines(const config_state& config) {
    std::vector<std::string> removed;
    for (const auto& [name, feed] : index.feeds) {
      if (!config.upstreams.contains(name)) removed.push_back(name);
    }
    for (const std::string& name : removed) RemoveEngine(index, name);
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
