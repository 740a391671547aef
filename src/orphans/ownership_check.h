#ifndef ANVILRIDGE_ORPHANS_OWNERSHIP_CHECK_H_
#define ANVILRIDGE_ORPHANS_OWNERSHIP_CHECK_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "base/ids.h"
#include "orphans/orphan_sweep.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

/// Peer method by which the home of an engine queries the owner of requests
/// that the engine lists. The reply contains the ids of those that are still in
/// progress at the owner.
inline constexpr char kOwnershipMethod[] = "orphans/held";

/// Largest number of request ids in one query.
inline constexpr size_t kMaxIdsPerOwnershipQuery = 64;

/// When to query the owner of a request, and when to cancel the request.
struct ownership_check_policy {
  /// Minimum age of a request for querying its owner.
  absl::Duration min_age = absl::Seconds(3);
  /// Consecutive denials by the owner after which a request is cancelled.
  int denials = 2;
};

/// Query to a live owner, which replies with those of `request_ids`, all at one
/// engine, that are still in progress at the owner.
struct ownership_query {
  owner_id owner;
  std::vector<std::string> request_ids;
};

/// Number of consecutive replies in which the owner of a request denied that
/// the request is in progress.
struct owner_denials {
  owner_id owner;
  int count = 0;
};

/// Denials of the requests at one engine, by request id.
struct denial_watch {
  std::map<std::string, owner_denials, std::less<>> denials;
};

/// Returns the queries to send: one to each live owner, with up to
/// `kMaxIdsPerOwnershipQuery` of its requests in `listed` that are at least
/// `policy.min_age` old and have no reader attached. An attached reader shows
/// that the owner still has the request, so an engine with only such requests
/// causes no queries. Removes from `watch` the denials of requests that are no
/// longer listed.
std::vector<ownership_query> CollectOwnershipQueries(
    denial_watch& watch, absl::Span<const engine_request> listed,
    const owner_liveness_check& is_live, const ownership_check_policy& policy);

/// Records in `watch` the reply to `query`, which contains the ids of the
/// requests that are still `held` by the owner. Returns the ids of the requests
/// to cancel: those denied `policy.denials` times in a row by the same owner.
std::vector<std::string> ApplyOwnershipReply(
    denial_watch& watch, const ownership_query& query,
    const std::set<std::string>& held, const ownership_check_policy& policy);

}  // namespace anvilridge

#endif  // ANVILRIDGE_ORPHANS_OWNERSHIP_CHECK_H_
