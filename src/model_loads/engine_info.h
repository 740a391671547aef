#ifndef ANVILRIDGE_MODEL_LOADS_ENGINE_INFO_H_
#define ANVILRIDGE_MODEL_LOADS_ENGINE_INFO_H_

#include "absl/strings/string_view.h"
#include "model_loads/engine_orders.h"
#include "upstreams/engine_client.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Requests model, version and role of the engine at `address` with
/// `GET /v1/info` and passes them to `done`. Errors are `upstream_failed` and
/// `upstream_stalled`.
http_client::call_id GetEngineInfo(http_client& client,
                                   absl::string_view address,
                                   engine_callback<engine_info> done);

}  // namespace anvilridge

#endif  // ANVILRIDGE_MODEL_LOADS_ENGINE_INFO_H_
