#include "membership/home_map.h"

#include <xxhash.h>

#include <cstdint>

namespace anvilridge {
namespace {

/// Returns the rendezvous weight; the daemon with the highest weight is the
/// home of the resource.
uint64_t RendezvousWeight(absl::string_view resource,
                          absl::string_view daemon) {
  const uint64_t seed = XXH64(daemon.data(), daemon.size(), 0);
  return XXH64(resource.data(), resource.size(), seed);
}

}  // namespace

absl::string_view HomeOf(absl::string_view resource,
                         absl::Span<const std::string> daemons) {
  absl::string_view home;
  uint64_t highest_weight = 0;
  for (const std::string& daemon : daemons) {
    const uint64_t weight = RendezvousWeight(resource, daemon);
    // Equal weights go to the smaller name, whatever the order of the list.
    const bool wins_tie = weight == highest_weight && daemon < home;
    if (home.empty() || weight > highest_weight || wins_tie) {
      home = daemon;
      highest_weight = weight;
    }
  }
  return home;
}

}  // namespace anvilridge
