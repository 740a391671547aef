#include "sharing/store_readers.h"

#include <xxhash.h>

#include <utility>

#include "absl/algorithm/container.h"

namespace anvilridge {
namespace {

// Seed of the order of readers; differs from that of the cells, so that the
// daemons of a cell have any place in the order.
constexpr uint64_t kOrderSeed = 1;

std::pair<uint64_t, absl::string_view> PlaceOf(absl::string_view name) {
  return {XXH64(name.data(), name.size(), kOrderSeed), name};
}

}  // namespace

bool IsStoreReader(absl::string_view own_name,
                   absl::Span<const absl::string_view> peers) {
  const auto own_place = PlaceOf(own_name);
  return absl::c_count_if(peers, [&](absl::string_view peer) {
           return PlaceOf(peer) < own_place;
         }) < kStoreReaders;
}

}  // namespace anvilridge
