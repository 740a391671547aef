#include "membership/home_map.h"

#include <xxhash.h>

#include <cstdint>

namespace anvilridge {
namespace {

uint64_t Weight(absl::string_view resource, absl::string_view daemon) {
  const uint64_t seed = XXH64(daemon.data(), daemon.size(), 0);
  return XXH64(resource.data(), resource.size(), seed);
}

}  // namespace

absl::string_view HomeOf(absl::string_view resource,
                         absl::Span<const std::string> daemons) {
  absl::string_view home;
  uint64_t best = 0;
  for (const std::string& daemon : daemons) {
    const uint64_t weight = Weight(resource, daemon);
    const bool tie = weight == best && daemon < home;
    if (home.empty() || weight > best || tie) {
      home = daemon;
      best = weight;
    }
  }
  return home;
}

}  // namespace anvilridge
