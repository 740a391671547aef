#ifndef ANVILRIDGE_FLEET_FLEET_VIEW_H_
#define ANVILRIDGE_FLEET_FLEET_VIEW_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet_config.h"
#include "fleet/fleet_upstream.h"

namespace anvilridge {

/// Immutable snapshot of the fleet's configuration and upstreams for the
/// traffic threads. The control thread replaces it as a whole on each change.
struct fleet_view {
  /// Null until the first configuration has been received.
  std::shared_ptr<const fleet_config> config;
  /// Upstreams by service; those of a service are ordered by id.
  std::map<std::string, std::vector<fleet_upstream>, std::less<>> upstreams;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_FLEET_VIEW_H_
