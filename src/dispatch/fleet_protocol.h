#ifndef ANVILRIDGE_DISPATCH_FLEET_PROTOCOL_H_
#define ANVILRIDGE_DISPATCH_FLEET_PROTOCOL_H_

#include <functional>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "caller/caller_port.h"
#include "dispatch/fleet_request.h"
#include "dispatch/upstream_statement.h"
#include "fleet/fleet_team.h"
#include "fleet/fleet_upstream.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Task of an upstream that a request is sent to.
enum class send_purpose {
  /// Respond to the request as a whole.
  call,
  /// Prefill the prompt and keep its KV cache.
  prefill,
  /// Generate the output.
  decode,
};

/// One send of a request to one upstream.
struct send_parameters {
  fleet_upstream upstream;
  send_purpose purpose = send_purpose::call;
  /// Time within which the upstream must finish.
  absl::Duration time_left;
  /// Address of the prefill engine from which a decode engine fetches the KV
  /// cache, and the handle of that cache; empty if it is to fetch none.
  std::string kv_address;
  std::string kv_handle;
  /// Id of the last event that the caller has received; empty to start the
  /// stream from its beginning.
  std::string resume_after;
};

/// Information from the headers of an upstream's response.
struct response_info {
  /// Whether the response comes from the upstream itself and not from an
  /// intermediary.
  bool authentic = false;
  /// Whether the upstream states that it has not run the request and never
  /// will.
  bool not_run = false;
  /// Whether the address now belongs to another instance than the one that the
  /// request was meant for.
  bool other_instance = false;
  /// What the upstream states about itself.
  upstream_statement statement = {};
};

/// Result of a prefill.
struct completed_prefill {
  /// Identifies the KV cache at the prefill engine.
  std::string handle;
  /// Number of tokens that were prefilled.
  int64_t tokens = 0;
};

/// State of an engine as reported by the engine itself, with a delay of some
/// hundred milliseconds.
struct engine_report {
  engine_stage stage = engine_stage::none;
  /// Whether the engine is carrying out a stage order.
  bool busy = false;
  /// Number of stage orders that the engine has accepted since its start.
  int64_t order_count = 0;
};

/// Order to an engine to change its stage.
struct stage_order {
  /// Stage to change to.
  engine_stage stage = engine_stage::none;
  /// Daemon that holds the right to give orders.
  std::string holder;
  /// Engines refuse an order whose token is lower than one that they have seen.
  int64_t fencing_token = 0;
  /// Number of orders that the engine must have accepted before this one for it
  /// to take effect.
  int64_t expected_order_count = 0;
};

/// Functions that translate requests, calls and responses from and to the wire
/// format of a deployment. They make no routing decisions.
struct fleet_protocol {
  /// Parses a caller's request; returns an error for an invalid one.
  std::function<absl::StatusOr<fleet_request>(const inbound_request&)>
      parse_request;
  /// Removes from a request the fields that identify its caller, and returns
  /// what they say. Called only if the configuration has teams.
  std::function<caller_credential(fleet_request&)> take_credential;
  /// Builds the call that sends a request to an upstream.
  std::function<http_call(const fleet_request&, const send_parameters&)>
      build_send_call;
  /// Parses the status and headers of an upstream's response.
  std::function<response_info(int http_status, const http_headers&)>
      parse_response;
  /// Parses the body of a prefill engine's response.
  std::function<absl::StatusOr<completed_prefill>(absl::string_view body)>
      parse_prefill;
  /// Builds the call that frees a KV cache which no decode engine will fetch.
  std::function<http_call(const fleet_upstream&, absl::string_view handle)>
      build_release_call;
  /// Builds the call that queries the state of an engine.
  std::function<http_call(const fleet_upstream&)> build_report_call;
  /// Parses the body of an engine's response with its state.
  std::function<absl::StatusOr<engine_report>(absl::string_view body)>
      parse_report;
  /// Builds the call that orders an engine to change its stage.
  std::function<http_call(const fleet_upstream&, const stage_order&)>
      build_stage_order_call;
  /// Responds to a request that was refused or has failed.
  std::function<void(inbound_exchange&, const absl::Status&,
                     absl::string_view request_id)>
      refuse;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_FLEET_PROTOCOL_H_
