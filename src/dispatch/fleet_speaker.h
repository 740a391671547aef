#ifndef ANVILRIDGE_DISPATCH_FLEET_SPEAKER_H_
#define ANVILRIDGE_DISPATCH_FLEET_SPEAKER_H_

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "caller/caller_port.h"
#include "dispatch/fleet_request.h"
#include "fleet/fleet_upstream.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// What an upstream is asked to do with a request.
enum class send_purpose {
  /// Answer it.
  call,
  /// Read its prompt and keep the KV cache.
  prefill,
  /// Generate its answer.
  decode,
};

/// One send of a request to one upstream.
struct send_order {
  fleet_upstream upstream;
  send_purpose purpose = send_purpose::call;
  /// How long the upstream may work on it.
  absl::Duration time_left;
  /// Prefill engine and handle whose KV cache is taken over; empty for none.
  std::string kv_address;
  std::string kv_handle;
  /// Id of the last event that the caller has; empty to begin.
  std::string resume_after;
};

/// What the head of an answer says of the request.
struct answer_facts {
  /// The answer is the upstream's own, not one of something on the way.
  bool genuine = false;
  /// The upstream says that it has not run the request and never will.
  bool not_run = false;
  /// The address belongs to another instance by now.
  bool other_instance = false;
};

/// A prompt that was read.
struct fleet_prefill {
  std::string handle;
  int64_t tokens = 0;
};

/// The state that an engine reports of itself, some hundred ms late.
struct engine_report {
  engine_stage stage = engine_stage::none;
  /// Whether an order is being carried out.
  bool busy = false;
  /// Orders accepted since its start.
  int64_t order_count = 0;
};

/// Who orders a change of stage, and which change.
struct stage_order {
  engine_stage stage = engine_stage::none;
  std::string holder;
  /// Engines refuse orders with a lower number than one already seen.
  int64_t fencing_token = 0;
  /// Orders that the engine must have accepted before for this one to hold.
  int64_t expected_order_count = 0;
};

/// How the requests, calls and answers of a deployment look on the wire. The
/// functions translate and decide nothing.
struct fleet_speaker {
  std::function<absl::StatusOr<fleet_request>(const inbound_request&)>
      read_request;
  std::function<http_call(const fleet_request&, const send_order&)> write_send;
  std::function<answer_facts(int http_status, const http_headers&)> read_answer;
  std::function<absl::StatusOr<fleet_prefill>(absl::string_view body)>
      read_prefill;
  /// Frees a KV cache that no decode engine will take.
  std::function<http_call(const fleet_upstream&, absl::string_view handle)>
      write_release;
  std::function<http_call(const fleet_upstream&)> write_report;
  std::function<absl::StatusOr<engine_report>(absl::string_view body)>
      read_report;
  std::function<http_call(const fleet_upstream&, const stage_order&)>
      write_stage_order;
  /// Answers a request that is refused or has failed.
  std::function<void(inbound_exchange&, const absl::Status&,
                     absl::string_view request_id)>
      refuse;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_FLEET_SPEAKER_H_
