#ifndef ANVILRIDGE_UPSTREAMS_POOL_HEALTH_H_
#define ANVILRIDGE_UPSTREAMS_POOL_HEALTH_H_

#include <set>
#include <string>

#include "config/config_state.h"
#include "upstreams/outlier_ejection.h"

namespace anvilridge {

/// Decides who is ejected at `now` among the upstreams of `config`; those that
/// drain or are in `leaving` are not judged.
health_view JudgeHealth(const health_table& table, const config_state& config,
                        const std::set<std::string, std::less<>>& leaving,
                        const health_settings& settings, absl::Time now);

/// Forgets upstreams that `config` has no more.
void ForgetRemoved(health_table& table, const config_state& config);

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_POOL_HEALTH_H_
