#ifndef ANVILRIDGE_FLEET_FLEET_VIEW_H_
#define ANVILRIDGE_FLEET_FLEET_VIEW_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet_config.h"
#include "fleet/fleet_upstream.h"

namespace anvilridge {

/// What the traffic threads know of the fleet: a value that the control thread
/// replaces.
struct fleet_view {
  /// Null until the first configuration is known.
  std::shared_ptr<const fleet_config> config;
  /// By service, ordered by id.
  std::map<std::string, std::vector<fleet_upstream>, std::less<>> upstreams;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_FLEET_VIEW_H_
