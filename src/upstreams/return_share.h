#ifndef ANVILRIDGE_UPSTREAMS_RETURN_SHARE_H_
#define ANVILRIDGE_UPSTREAMS_RETURN_SHARE_H_

#include <memory>
#include <random>
#include <vector>

#include "config/config_state.h"
#include "upstreams/outlier_ejection.h"

namespace anvilridge {

/// Leaves returning upstreams out of this pick of `candidates` as often as
/// their share says; one candidate always stays. `view` may be null.
std::vector<const upstream_config*> ThinReturning(
    std::vector<const upstream_config*> candidates,
    const std::shared_ptr<const health_view>& view, std::mt19937_64& random);

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_RETURN_SHARE_H_
