#include "sharing/group_listing.h"

#include <algorithm>
#include <limits>

namespace anvilridge {

double GroupListingRate(const group_knowledge& knowledge) {
  if (knowledge.silent > 0) return std::numeric_limits<double>::infinity();
  return kGroupListingsPerSecond / std::max(1, knowledge.daemons);
}

}  // namespace anvilridge
