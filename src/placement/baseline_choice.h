#ifndef ANVILRIDGE_PLACEMENT_BASELINE_CHOICE_H_
#define ANVILRIDGE_PLACEMENT_BASELINE_CHOICE_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "config/config_state.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

/// Positions of the two rotations of `RoundRobinOrder`, each to be passed as
/// its `turn`.
struct baseline_state {
  uint64_t decode_turn = 0;
  uint64_t prefill_turn = 0;
};

/// The last load report of each engine, by engine name.
using engine_loads = std::map<std::string, engine_load, std::less<>>;

/// Sorts `candidates` by name and rotates them so that each call begins one
/// candidate further than the last. Increments `turn` unless `candidates` is
/// empty.
std::vector<const upstream_config*> RoundRobinOrder(
    std::vector<const upstream_config*> candidates, uint64_t& turn);

/// Sorts `candidates` by queued prompt tokens, then by used slots, as of their
/// last load reports. An engine without a report counts as idle. Ties are
/// broken at random.
std::vector<const upstream_config*> LeastLoadedOrder(
    std::vector<const upstream_config*> candidates, const engine_loads& loads,
    std::mt19937_64& random);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_BASELINE_CHOICE_H_
