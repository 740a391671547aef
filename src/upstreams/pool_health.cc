#include "upstreams/pool_health.h"

namespace anvilridge {

health_view JudgeHealth(const health_table& table, const config_state& config,
                        const std::set<std::string, std::less<>>& leaving,
                        const health_settings& settings, absl::Time now) {
  health_pools pools;
  for (const auto& [name, upstream] : config.upstreams) {
    if (upstream.draining || leaving.contains(upstream.name)) continue;
    pools[upstream.pool].push_back(name);
  }
  health_view view = JudgeHealth(table, pools, settings, now);
  std::erase_if(view, [&config](const auto& entry) {
    return !config.upstreams.contains(entry.first);
  });
  return view;
}

void ForgetRemoved(health_table& table, const config_state& config) {
  std::erase_if(table.upstreams, [&](const auto& entry) {
    return !config.upstreams.contains(entry.first);
  });
}

}  // namespace anvilridge
