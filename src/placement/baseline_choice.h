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

/// Where the rotations of `RoundRobinOrder` are.
struct baseline_state {
  uint64_t decode_turn = 0;
  uint64_t prefill_turn = 0;
};

/// The last load report of each engine.
using engine_loads = std::map<std::string, engine_load, std::less<>>;

/// Orders `candidates` by name, beginning one further at each `turn`.
std::vector<const upstream_config*> RoundRobinOrder(
    std::vector<const upstream_config*> candidates, uint64_t& turn);

/// Orders `candidates` by the queued prompt tokens and then the used slots of
/// their last reports; ties at random.
std::vector<const upstream_config*> LeastLoadedOrder(
    std::vector<const upstream_config*> candidates, const engine_loads& loads,
    std::mt19937_64& random);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_BASELINE_CHOICE_H_
