#ifndef ANVILRIDGE_DISPATCH_DECODE_ADMISSION_H_
#define ANVILRIDGE_DISPATCH_DECODE_ADMISSION_H_

#include "absl/strings/string_view.h"
#include "dispatch/dispatch_state.h"

namespace anvilridge {

/// Share of an engine's KV memory that may be reserved. The rest absorbs
/// lengths that were underestimated and reservations that two daemons make at
/// the same moment.
inline constexpr double kReservableMemoryShare = 0.95;

/// Share of an engine's KV memory that may be reserved once a late stream is
/// admitted. The rest is for new streams that can still be on time.
inline constexpr double kLateReservableMemoryShare = 0.85;

/// Returns an error if no engine can ever serve `request` as things stand: none
/// is registered, or its prompt fits into none.
absl::Status CheckServable(dispatch_state& state, const fleet_request& request,
                           const fleet_service& service, absl::Time now);

/// Admits, queues or refuses a stream that needs decode memory. Admits it at
/// once if there is capacity and no stream is queued. Queues it behind the
/// streams that can be on time if it can't be on time itself. Refuses it at
/// once if it is not expected to begin by its latest start. May call
/// `stream.done` before it returns.
void AdmitOrQueueStream(dispatch_state& state, waiting_stream stream,
                        absl::Time now);

/// Admits a stream whose reserved decode engine has become absent, before all
/// queued streams: at once if there is capacity, otherwise as the first of the
/// queue. Refuses it at once if it is not expected to begin by its latest
/// start. May call `stream.done` before it returns.
void AdmitOrQueueFirst(dispatch_state& state, waiting_stream stream,
                       absl::Time now);

/// Records `reservation` for a stream that is not queued, and calls
/// `stream.done` with it.
void AdmitStream(dispatch_state& state, const waiting_stream& stream,
                 const engine_reservation& reservation, absl::Time now);

/// Reserves memory for `stream` at a decode engine, from `now` on.
/// @param ledger_id identifies the reservation, and replaces an earlier one.
void ReserveDecode(dispatch_state& state, absl::string_view ledger_id,
                   const fleet_upstream& engine, const waiting_stream& stream,
                   absl::Time now);

/// Removes a stream from all queues without calling its `done`. Does nothing if
/// the stream is not queued.
void RemoveFromQueues(dispatch_state& state, absl::string_view request_id);

/// Admits the queued streams for which there is capacity at `now`, and refuses
/// those whose latest start has passed.
void AdmitWaiting(dispatch_state& state, absl::Time now);

/// Chooses a decode engine that prefills `stream` itself, if possible one whose
/// other streams stay on time. Returns nothing when no engine has capacity.
/// @param tried ids of decode engines that must not be chosen.
std::optional<fleet_upstream> ChooseLocalPrefillEngine(
    dispatch_state& state, const waiting_stream& stream,
    const std::vector<std::string>& tried, absl::Time now);

/// Chooses a decode engine for a stream that another one did not take.
/// @param tried ids of decode engines that must not be chosen.
/// @param has_cache whether the engine can fetch the cache of the prompt;
///     otherwise it is chosen as by `ChooseLocalPrefillEngine`.
/// @return nothing when no engine has capacity.
std::optional<fleet_upstream> ChooseOtherDecodeEngine(
    dispatch_state& state, const waiting_stream& stream,
    const std::vector<std::string>& tried, bool has_cache, absl::Time now);

/// Chooses the prefill engine that is expected to finish a prompt of `tokens`
/// first. Returns nothing when there is no such engine.
/// @param decode_domain failure domain of the stream's decode engine.
/// @param tried ids of prefill engines that must not be chosen.
std::optional<fleet_upstream> ChoosePrefillEngine(
    dispatch_state& state, absl::string_view service, double tokens,
    absl::string_view decode_domain, const std::vector<std::string>& tried,
    absl::Time now);

/// Returns the error for a stream that no decode engine of `service` accepted,
/// with the time of the first one's return if all have asked for a pause.
absl::Status DecodesRefusedError(dispatch_state& state,
                                 absl::string_view service, absl::Time now);

/// Returns how long `stream` is expected to wait when `ahead` other streams are
/// queued before it; infinite when no engine can ever hold it. When all decode
/// engines are absent by their own statement, this is the time until the first
/// of them returns.
absl::Duration ForecastWait(dispatch_state& state, const waiting_stream& stream,
                            size_t ahead, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DECODE_ADMISSION_H_
