#ifndef ANVILRIDGE_DISPATCH_STREAM_STATE_H_
#define ANVILRIDGE_DISPATCH_STREAM_STATE_H_

#include <memory>
#include <optional>

#include "absl/time/time.h"
#include "dispatch/decode_place.h"
#include "dispatch/decode_runs.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/kv_lease.h"
#include "dispatch/length_estimate.h"
#include "dispatch/open_request.h"
#include "dispatch/prompt_prefill.h"
#include "dispatch/request_sends.h"
#include "dispatch/routed_request.h"
#include "dispatch/stream_record.h"
#include "dispatch/stream_relay.h"

namespace anvilridge {

/// State of one streamed request. The callbacks that it waits for keep it
/// alive.
struct stream_state : std::enable_shared_from_this<stream_state> {
  /// @param shared outlives this object.
  stream_state(dispatch_state& shared, routed_request served);

  dispatch_state& state;
  routed_request routed;
  const fleet_request& request;
  const fleet_route& route;
  const fleet_service& service;
  stream_relay relay;
  /// Set once the stream has started.
  std::optional<open_request_entry> open;
  /// Estimated distribution of the output length.
  length_distribution length;
  /// Sends of the request to engines.
  request_sends sends;
  /// Prefills of the prompt at prefill engines; set once one was sent.
  std::optional<prompt_prefill> prefill;
  kv_lease lease;
  /// Changed only through the functions of `decode_place`.
  decode_place place;
  /// Set once the stream has started.
  std::optional<decode_runs> decodes;
  /// When engines were first reserved for the stream.
  absl::Time admission = absl::InfiniteFuture();
  /// Time of the last event that was passed on.
  absl::Time last_event;
  bool ended = false;
  /// Whether the whole stream was passed on.
  bool complete = false;
  /// Whether the request is sent although its prompt is quarantined.
  bool is_trial = false;
  /// Number of events that the caller had received before it sent this request.
  int events_before_resume = 0;
  stream_record record;
};

using stream_ptr = std::shared_ptr<stream_state>;

/// Returns what the rest of `stream` needs of a decode engine, without the
/// callback.
waiting_stream RestOf(const stream_state& stream);

/// Returns the number of tokens that the caller of `stream` has received.
double GeneratedTokens(const stream_state& stream);

/// Returns how many more tokens `stream` is expected to have.
double ExpectedRemaining(const stream_state& stream);

/// Returns whether a prefill of the prompt is in progress.
bool IsPrefillInProgress(const stream_state& stream);

/// Returns whether the prompt was sent to the decode engine `decode`.
bool IsTried(const stream_state& stream, const fleet_upstream& decode);

/// Calls `on_ledger_change`, if it is set.
void NotifyLoadChange(const dispatch_state& state);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_STATE_H_
