#ifndef ANVILRIDGE_REQUESTS_COMPLETION_STATE_H_
#define ANVILRIDGE_REQUESTS_COMPLETION_STATE_H_

#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "placement/placement_request.h"
#include "requests/answer_writer.h"
#include "requests/completion_flow.h"
#include "requests/decode_stream.h"
#include "requests/flow_context.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

/// Pause before it is asked again whether this daemon has a valid lease.
constexpr absl::Duration kLeasePause = absl::Milliseconds(50);

/// What is known of one completion on its traffic thread. The callbacks that it
/// waits for keep it alive.
struct completion_state {
  completion_state(flow_context& on, completion_request asked,
                   std::shared_ptr<inbound_exchange> exchange);

  flow_context& context;
  completion_request request;
  answer_writer writer;
  absl::Time started;
  std::string stage;
  /// The request's id at the engines of the current attempt.
  std::string engine_request_id;
  placement_grant grant;
  placement_outcome outcome;
  prefill_result prefill;
  /// When the current attempt asked for its place.
  absl::Time place_asked;
  absl::Time prefill_started;
  absl::Time prefill_expires;
  absl::Time import_started;
  std::shared_ptr<decode_stream> stream;
  /// When the first token came, by this connection.
  absl::Time first_token;
  /// When the latest token came; in the past for ever before the first.
  absl::Time last_token = absl::InfinitePast();
  /// Tokens that the current attempt has brought.
  int attempt_tokens = 0;
  duration_observer first_tokens;
  duration_observer token_intervals;
  /// Parts of the prompt by which crashes of engines are compared.
  prompt_parts parts;
  /// Whether the attempt is made although the prompt is quarantined.
  bool is_trial = false;
  /// Engines that failed this request.
  std::vector<std::string> avoid;
  /// The engine call in progress; 0 for none.
  http_client::call_id call = 0;
  int attempts = 0;
  bool admitted = false;
  bool placed = false;
  bool resumed = false;
  /// Whether a later reader owns the stream.
  bool fenced = false;
  /// Whether an engine may have worked for this request.
  bool may_have_run = false;
  /// Whether the current attempt may hold memory at its engines.
  bool prefill_sent = false;
  bool import_sent = false;
  /// Whether the attempt's transfer stalled before and was ordered again.
  bool import_repeated = false;
  bool over = false;
};

using completion_ptr = std::shared_ptr<completion_state>;

const request_services& ServicesOf(const completion_state& flow);

/// The request as operators and the clean-up of orphans see it at `stage`.
active_request ActiveRequest(const completion_state& flow,
                             absl::string_view stage);

void SetStage(completion_state& flow, absl::string_view stage);

/// Whether the completion goes on: it has not ended, and its caller is there.
bool IsServed(const completion_state& flow);

/// Whether the incarnation that the attempt belongs to may no longer act.
bool LeaseLost(const completion_state& flow);

/// Whether an engine made no progress; one that gives up a transfer by itself
/// says so in its refusal.
bool IsStall(const absl::Status& result);

/// The request at the decode engine that it was placed on.
decode_source SourceOf(const completion_state& flow);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_COMPLETION_STATE_H_
