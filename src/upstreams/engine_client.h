#ifndef ANVILRIDGE_UPSTREAMS_ENGINE_CLIENT_H_
#define ANVILRIDGE_UPSTREAMS_ENGINE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// The stages of a request inside an engine, as its list names them.
enum class engine_phase {
  queued,
  prefill,
  exportable,
  transfer,
  ready,
  decode
};

/// One row of an engine's own list of requests.
struct engine_request {
  std::string request_id;
  /// `daemon:incarnation`.
  std::string owner;
  engine_phase phase = engine_phase::queued;
  int pieces = 0;
  int prompt_tokens = 0;
  int generated = 0;
  int max_tokens = 0;
  absl::Duration age;
  bool attached = false;
};

/// An engine's lagged report of its load.
struct engine_load {
  int slots = 0;
  int slots_used = 0;
  int pieces = 0;
  int pieces_used = 0;
  int queued = 0;
  int queued_tokens = 0;
};

struct prefill_call {
  std::string request_id;
  std::string owner;
  std::string model;
  std::string prompt;
  int max_tokens = 0;
  int priority = 5;
  /// Output that another engine has made before, which this one continues.
  std::string generated;
  int generated_tokens = 0;
};

struct prefill_result {
  std::string kv_handle;
  int prompt_tokens = 0;
  int cached_tokens = 0;
  int pieces = 0;
  absl::Duration expires_in;
};

struct import_call {
  std::string request_id;
  std::string owner;
  /// `a.b.c.d:port` of the prefill engine.
  std::string source;
  std::string kv_handle;
  std::string prompt;
  int pieces = 0;
  int prompt_tokens = 0;
  int max_tokens = 0;
  int priority = 5;
  /// As for the prefill.
  std::string generated;
  int generated_tokens = 0;
};

struct engine_order {
  std::string order;
  std::string model;
  std::string version;
  std::string adapter;
  std::string role;
  int64_t fence = 0;
};

/// One entry of an engine's prefix cache events.
struct cache_event {
  int64_t seq = 0;
  bool stored = false;
  std::string prefix;
};

struct cache_events {
  std::vector<cache_event> events;
  int64_t last_seq = 0;
};

template <typename T>
using engine_callback = std::function<void(absl::StatusOr<T>)>;

// Each function starts one call on `client` and returns its id. Refusals of the
// engine come back as `upstream_refused` with the engine's `error` as message;
// broken or silent connections as `upstream_failed` or `upstream_stalled`.

/// Lists the requests that the engine holds memory for.
http_client::call_id ListEngineRequests(
    http_client& client, absl::string_view address,
    engine_callback<std::vector<engine_request>> done);
http_client::call_id GetEngineLoad(http_client& client,
                                   absl::string_view address,
                                   engine_callback<engine_load> done);
http_client::call_id GetCacheEvents(http_client& client,
                                    absl::string_view address, int64_t after,
                                    engine_callback<cache_events> done);
/// Runs a prefill; never sent twice.
http_client::call_id StartPrefill(http_client& client,
                                  absl::string_view address,
                                  const prefill_call& call,
                                  absl::Duration timeout,
                                  engine_callback<prefill_result> done);
/// Orders the decode engine to fetch a KV cache; never sent twice. The result
/// is the request id.
http_client::call_id StartImport(http_client& client, absl::string_view address,
                                 const import_call& call,
                                 absl::Duration timeout,
                                 engine_callback<std::string> done);
/// Attaches to a decode stream from token offset `from`; never sent twice.
/// Bytes of server-sent events go to `on_data` once the engine answered 200.
http_client::call_id StartDecode(http_client& client, absl::string_view address,
                                 absl::string_view request_id,
                                 absl::string_view owner, int from,
                                 absl::Duration stall_timeout,
                                 std::function<void(absl::string_view)> on_data,
                                 std::function<void(absl::Status)> done);
/// Cancels a request; may be repeated. The result is whether it was held.
http_client::call_id CancelEngineRequest(http_client& client,
                                         absl::string_view address,
                                         absl::string_view request_id,
                                         absl::string_view owner,
                                         engine_callback<bool> done);
/// Hands a request from `owner` to `new_owner`; may be repeated.
http_client::call_id AdoptEngineRequest(http_client& client,
                                        absl::string_view address,
                                        absl::string_view request_id,
                                        absl::string_view owner,
                                        absl::string_view new_owner,
                                        engine_callback<bool> done);
/// Sends a load, unload or role order with its fencing number.
http_client::call_id SendEngineOrder(http_client& client,
                                     absl::string_view address,
                                     const engine_order& order,
                                     engine_callback<bool> done);

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_ENGINE_CLIENT_H_
