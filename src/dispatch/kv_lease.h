#ifndef ANVILRIDGE_DISPATCH_KV_LEASE_H_
#define ANVILRIDGE_DISPATCH_KV_LEASE_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/dispatch_state.h"

namespace anvilridge {

/// KV cache of a prompt that waits at a prefill engine to be taken over.
struct kv_lease {
  fleet_upstream engine;
  /// Empty for none.
  std::string handle;
  /// Until when a decode engine can surely take it.
  absl::Time until = absl::InfinitePast();
};

/// Returns the lease of a cache that `engine` has just made and keeps for
/// `life`.
kv_lease MakeLease(const fleet_upstream& engine, std::string handle,
                   absl::Duration life);

/// Tells the engine that nobody will take the cache, and empties the lease;
/// does nothing with an empty one.
void ReleaseLease(dispatch_state& state, absl::string_view request_id,
                  kv_lease& lease);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_KV_LEASE_H_
