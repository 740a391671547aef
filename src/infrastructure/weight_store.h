#ifndef ANVILRIDGE_INFRASTRUCTURE_WEIGHT_STORE_H_
#define ANVILRIDGE_INFRASTRUCTURE_WEIGHT_STORE_H_

#include <functional>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Has the platform's weight store at `address` deliver the weights of
/// `model`, `version` and `adapter` (empty for none) to `engine`. The store is
/// rate-limited and queues, so this may take minutes. `done` gets ok once they
/// are delivered; `upstream_refused` when the store refused;
/// `upstream_failed` or `upstream_stalled` when it failed. Never sent
/// twice, since each delivery uses up the store's rate. Returns the id of the
/// call.
http_client::call_id FetchWeights(
    http_client& client, absl::string_view address, absl::string_view model,
    absl::string_view version, absl::string_view adapter,
    absl::string_view engine, std::function<void(absl::Status)> done);

}  // namespace anvilridge

#endif  // ANVILRIDGE_INFRASTRUCTURE_WEIGHT_STORE_H_
