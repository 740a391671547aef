#ifndef ANVILRIDGE_STANDINS_ENGINE_ENGINE_MODEL_H_
#define ANVILRIDGE_STANDINS_ENGINE_ENGINE_MODEL_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "engine/engine_state.h"

namespace anvilridge {

/// Why an engine refuses a call; `none` when it does not.
enum class engine_refusal {
  none,
  queue_full,
  no_slot,
  no_pieces,
  cancelled,
  duplicate,
  wrong_role,
  unknown_model,
  stale_fence,
  unknown_order,
};

/// Returns the name of `refusal` in answers.
absl::string_view RefusalName(engine_refusal refusal);

/// Returns the name of `phase` in the list of requests.
absl::string_view PhaseName(request_phase phase);

/// Something that happened by itself as time passed.
struct engine_event {
  enum class kind { prefilled, evicted, exported, token, finished };
  kind what;
  std::string request_id;
};

/// Returns an idle engine.
engine_state MakeEngine(const engine_settings& settings);

/// Brings `state` up to `now` and returns what happened on the way, in order.
/// Each other function expects a state that is up to its `now`.
std::vector<engine_event> Advance(engine_state& state, absl::Time now);

/// Returns when `Advance` has something to do next.
absl::Time NextWake(const engine_state& state);

/// Queues a prefill; an event `prefilled` follows.
engine_refusal StartPrefill(engine_state& state, const request_terms& terms,
                            absl::Time now);

/// Takes a slot and pieces for a request whose KV cache is to be fetched.
engine_refusal BeginImport(engine_state& state, const request_terms& terms,
                           absl::Time now);

/// The KV cache of `request_id` has arrived.
void FinishImport(engine_state& state, absl::string_view request_id,
                  absl::Time now);

/// Frees whatever `request_id` holds, without a memory of it.
void DropRequest(engine_state& state, absl::string_view request_id,
                 absl::Time now);

/// Begins to send a result to `domain`; an event `exported` follows, unless a
/// stalled transfer is abandoned. Returns the request, or null when the result
/// was evicted, would be before its turn on the link, is unknown or is being
/// sent already.
const held_request* BeginExport(engine_state& state, absl::string_view handle,
                                const std::string& domain, absl::Time now);

/// The receiver of `handle` went away before the end.
void AbandonExport(engine_state& state, absl::string_view handle,
                   absl::Time now);

/// What a decode stream needs to produce its events.
struct stream_source {
  uint64_t text_seed = 0;
  int generated = 0;
  bool finished = false;
};

/// Whether `owner` may read the output: a request that is held is read by its
/// owner alone, finished output by anyone.
bool MayDecode(const engine_state& state, absl::string_view request_id,
               absl::string_view owner);

/// Starts decoding, or returns where a started or finished one is; nothing for
/// a request that is unknown or has no KV cache yet.
std::optional<stream_source> StartDecode(engine_state& state,
                                         absl::string_view request_id,
                                         absl::Time now);

/// As `StartDecode` without starting anything.
std::optional<stream_source> FindStream(const engine_state& state,
                                        absl::string_view request_id);

/// Notes whether a decode stream is connected.
void SetAttached(engine_state& state, absl::string_view request_id,
                 bool attached);

/// Frees a request of `owner`; returns whether there was one. Remembers a
/// cancel of an unknown request for a while.
bool CancelRequest(engine_state& state, absl::string_view request_id,
                   absl::string_view owner, absl::Time now);

enum class adopt_result { adopted, not_owner, unknown };

/// Hands a request from `owner` to `new_owner`; may be repeated.
adopt_result AdoptRequest(engine_state& state, absl::string_view request_id,
                          absl::string_view owner, absl::string_view new_owner);

/// Returns the load as it was when the report lag began.
load_sample LaggedLoad(engine_state& state, absl::Time now);

/// Takes an order; a load comes into effect later.
engine_refusal TakeOrder(engine_state& state, const engine_order& order,
                         absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_ENGINE_ENGINE_MODEL_H_
