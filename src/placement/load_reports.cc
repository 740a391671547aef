#include "placement/load_reports.h"

#include <QTimer>
#include <string>
#include <utility>

#include "base/event_loop.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kPollInterval = absl::Milliseconds(500);

}  // namespace

struct load_reports::impl {
  http_client& client;
  std::function<std::shared_ptr<const config_state>()> config;
  engine_loads loads;
  std::unique_ptr<QTimer> timer;
  // Callbacks hold a weak pointer to this and do nothing once it has expired.
  std::shared_ptr<char> alive = std::make_shared<char>();

  void Poll() {
    const std::shared_ptr<const config_state> current = config();
    if (!current) return;
    const std::weak_ptr<char> guard = alive;
    for (const auto& [name, upstream] : current->upstreams) {
      const auto pool = current->pools.find(upstream.pool);
      if (pool == current->pools.end() ||
          pool->second.role == pool_role::service) {
        continue;
      }
      GetEngineLoad(client, upstream.address,
                    [this, guard, engine = std::string(name)](
                        absl::StatusOr<engine_load> load) {
                      if (guard.expired() || !load.ok()) return;
                      loads[engine] = *load;
                    });
    }
  }
};

load_reports::load_reports(
    http_client& client,
    std::function<std::shared_ptr<const config_state>()> config)
    : impl_(new impl{client, std::move(config), {}, nullptr}) {
  impl_->timer =
      RunEvery(kPollInterval, [state = impl_.get()] { state->Poll(); });
}

load_reports::~load_reports() = default;

const engine_loads& load_reports::Loads() const { return impl_->loads; }

}  // namespace anvilridge
