#ifndef ANVILRIDGE_DISPATCH_KV_LEASE_H_
#define ANVILRIDGE_DISPATCH_KV_LEASE_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/dispatch_state.h"

namespace anvilridge {

/// KV cache of a prefilled prompt that the prefill engine keeps until a decode
/// engine fetches it.
struct kv_lease {
  fleet_upstream engine;
  /// Identifies the cache at `engine`; empty if there is none.
  std::string handle;
  /// End of the time in which a decode engine can rely on fetching the cache.
  absl::Time usable_until = absl::InfinitePast();
};

/// Returns the lease of a cache that `engine` has just created and keeps for
/// `ttl`.
kv_lease MakeLease(const fleet_upstream& engine, std::string handle,
                   absl::Duration ttl);

/// Returns whether a decode engine can rely on fetching the cache at `now`.
bool IsUsable(const kv_lease& lease, absl::Time now);

/// Starts a call that makes the prefill engine free a cache which no decode
/// engine will fetch, and empties `lease`. Does nothing if `lease` is empty.
/// @param request_id request that the cache was made for, for the log.
void ReleaseLease(dispatch_state& state, absl::string_view request_id,
                  kv_lease& lease);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_KV_LEASE_H_
