#include "dispatch/decode_admission.h"

#include <algorithm>
#include <utility>

#include "absl/algorithm/container.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "dispatch/engine_candidates.h"
#include "dispatch/resumed_admission.h"
#include "dispatch/stop_admission.h"
#include "dispatch/stream_order.h"

namespace anvilridge {
namespace {

// Bounds and spread of the retry time of refused callers. A retried stream is
// late in any case, so that callers retry once a burst has drained. The spread
// keeps them from retrying all at the same moment.
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(1000);
constexpr absl::Duration kRetryAfterSpread = absl::Milliseconds(2500);
// Callers follow a retry time only if it is at most a third of the time that
// they have left.
constexpr absl::Duration kMaxRetryAfter = absl::Milliseconds(4500);

// Weight of one outcome in the moving average of late streams' outcomes.
constexpr double kLateOutcomeWeight = 0.1;
// Least share of late streams that must have begun by their latest start for
// more to be queued: queueing then helps more callers than it delays in vain.
constexpr double kMinLateSuccessRate = 0.5;
// Number of engines with capacity up to which two daemons are likely to choose
// the same one.
constexpr size_t kMaxContendedEngines = 4;

absl::Status NoCapacityError(dispatch_state& state, absl::Duration wait) {
  const absl::Duration spread =
      kRetryAfterSpread * absl::Uniform(state.random, 0.0, 1.0);
  return MakeError(
      error_kind::overloaded, "no decode memory in time", run_state::not_run,
      std::min(std::max(kMinRetryAfter, wait) + spread, kMaxRetryAfter));
}

// Spread of the retry time behind the return of an absent engine.
constexpr absl::Duration kReturnSpread = absl::Milliseconds(150);

// Returns the error for a stream whose decode engines are all absent for
// `wait`.
absl::Status EnginesAbsentError(dispatch_state& state, absl::Duration wait) {
  return MakeError(
      error_kind::overloaded,
      absl::StrCat("all engines have asked for a pause, the first for ",
                   absl::FormatDuration(wait), " more"),
      run_state::not_run,
      wait + kReturnSpread * absl::Uniform(state.random, 0.0, 1.0));
}

// Returns the error for a stream that can't begin in time.
// @param wait expected time until it could begin.
absl::Status CannotBeginError(dispatch_state& state,
                              const waiting_stream& stream, absl::Duration wait,
                              absl::Time now) {
  const auto back =
      EarliestReturn(state, stream.service, engine_stage::decode, now);
  return back && *back < absl::InfiniteFuture()
             ? EnginesAbsentError(state, *back - now)
             : NoCapacityError(state, wait);
}

// Returns whether the decode engines of `stream` are all absent until after its
// latest start.
bool EnginesReturnTooLate(dispatch_state& state, const waiting_stream& stream,
                          absl::Time now) {
  const auto back =
      EarliestReturn(state, stream.service, engine_stage::decode, now);
  return back && *back < absl::InfiniteFuture() && *back > stream.latest_start;
}

// Refuses the streams of `list` whose decode engines return too late.
void RefuseStreamsOfAbsentEngines(dispatch_state& state,
                                  std::list<waiting_stream>& list,
                                  absl::Time now) {
  std::list<waiting_stream> refused;
  for (auto it = list.begin(); it != list.end();) {
    const auto stream = it++;
    if (!EnginesReturnTooLate(state, *stream, now)) continue;
    refused.splice(refused.end(), list, stream);
  }
  for (const waiting_stream& stream : refused) {
    stream.done(CannotBeginError(state, stream, absl::ZeroDuration(), now));
  }
}

// Removes from `engines` the decode engines without capacity for `run`, and
// those whose capacity other daemons may use first: when few engines have
// capacity, all daemons observe the same ones at the same moment.
void RemoveEnginesOutOfTurn(dispatch_state& state, engine_candidates& engines,
                            const decode_run& run, const waiting_daemon& own,
                            absl::Span<const waiting_daemon> others,
                            absl::Time now) {
  if (state.ledger.peers.empty()) return;
  std::erase_if(engines.decodes, [&](const decode_candidate& engine) {
    if (HasCapacity(engine, run)) return false;
    state.observed_capacity.erase(EngineKey(engine.upstream->id));
    return true;
  });
  if (others.empty() && engines.decodes.size() > kMaxContendedEngines) return;
  std::erase_if(engines.decodes, [&](const decode_candidate& engine) {
    const uint32_t key = EngineKey(engine.upstream->id);
    const size_t runs = engine.runs.size();
    return !MayUseCapacity(state.observed_capacity, key, runs,
                           TurnRank(key, runs, own, others), others.size() + 1,
                           now);
  });
}

// Counts the choice of the prefill engine at `chosen` for `service`.
void CountPrefillChoice(const dispatch_state& state, absl::string_view service,
                        absl::Span<const prefill_candidate> engines,
                        size_t chosen) {
  if (state.metrics == nullptr) return;
  const bool queued = engines[chosen].backlog > 0;
  const bool beside_idle = absl::c_any_of(
      engines,
      [](const prefill_candidate& engine) { return engine.backlog <= 0; });
  state.metrics->CountPrefillChoice(service, queued && beside_idle);
}

// Chooses among `engines` for `stream`. Returns nothing when no decode engine
// has capacity.
std::optional<engine_reservation> ChooseEngines(
    const dispatch_state& state, const engine_candidates& engines,
    const waiting_stream& stream, absl::Time now) {
  const auto decode = ChooseDecode(engines.decodes, ExpectedRun(stream, now));
  if (!decode) return std::nullopt;
  engine_reservation reservation;
  reservation.decode = *engines.decodes[*decode].upstream;
  if (stream.generated > 0) {
    if (const auto on_time = ChooseOnTimeLocalPrefillEngine(
            state, engines, stream, stream.generated, now)) {
      reservation.decode = *on_time;
    }
  }
  const auto prefill =
      ChoosePrefill(engines.prefills, stream.prompt,
                    reservation.decode.failure_domain, engines.prefill_spread);
  if (!prefill) return reservation;
  // When the prefill queue would make the stream late, a decode engine prefills
  // the prompt, if there is one that can do so with its other streams on time.
  if (now <= stream.latest_on_time_start &&
      now + PrefillTime(state, engines.prefills[*prefill].backlog) >
          stream.latest_on_time_start) {
    if (const auto local = ChooseOnTimeLocalPrefillEngine(
            state, engines, stream, stream.prompt + stream.generated, now)) {
      reservation.decode = *local;
      return reservation;
    }
  }
  CountPrefillChoice(state, stream.service, engines.prefills, *prefill);
  reservation.prefill = *engines.prefills[*prefill].upstream;
  return reservation;
}

// Chooses engines for `stream`, in turn with the other daemons that have
// waiting streams of the same kind, late or not late. `waiting` is the number
// of such streams at this daemon.
std::optional<engine_reservation> ChooseEnginesInTurn(
    dispatch_state& state, const waiting_stream& stream, size_t waiting,
    bool late, double memory_share, absl::Time now) {
  engine_candidates engines =
      FindEngineCandidates(state, stream.service, {}, memory_share, now);
  RemoveEnginesOutOfTurn(state, engines, ExpectedRun(stream, now),
                         {state.name, static_cast<int>(waiting)},
                         WaitingDaemons(state.ledger, late, now), now);
  return ChooseEngines(state, engines, stream, now);
}

// Admits streams from the front of `list` while there is capacity within
// `memory_share` of the engines' memory.
void AdmitList(dispatch_state& state, std::list<waiting_stream>& list,
               bool late, double memory_share, absl::Time now) {
  while (!list.empty()) {
    const auto reservation = ChooseEnginesInTurn(
        state, list.front(), list.size(), late, memory_share, now);
    // Streams are served in the order of the queue, so that smaller streams
    // don't use up the capacity that a large one waits for.
    if (!reservation) return;
    const waiting_stream stream = std::move(list.front());
    list.pop_front();
    AdmitStream(state, stream, *reservation, now);
  }
}

void RecordLateOutcome(dispatch_state& state, bool began) {
  state.late_success_rate +=
      kLateOutcomeWeight * ((began ? 1.0 : 0.0) - state.late_success_rate);
}

// Whether to queue one more late stream: enough late streams have recently
// begun by their latest start. In a lasting overload, streams that can be on
// time use all the capacity, whatever the forecast for a late stream is. One
// late stream is queued in any case, so that the end of an overload is
// detected.
bool ShouldQueueLate(const dispatch_state& state) {
  return state.late.empty() || state.late_success_rate >= kMinLateSuccessRate;
}

// Moves streams that can no longer be on time to the queue of late streams, and
// refuses late streams whose latest start has passed.
void DemoteLateStreams(dispatch_state& state, absl::Time now) {
  MoveLateStreams(state.waiting, state.late, now);
  while (!state.late.empty() && state.late.front().latest_start <= now) {
    const auto done = std::move(state.late.front().done);
    state.late.pop_front();
    RecordLateOutcome(state, false);
    done(NoCapacityError(state, absl::ZeroDuration()));
  }
}

}  // namespace

absl::Status CheckServable(dispatch_state& state, const fleet_request& request,
                           const fleet_service& service, absl::Time now) {
  if (UsableUpstreams(state, service.name, {}, now).empty() &&
      !EarliestReturn(state, service.name, engine_stage::decode, now)) {
    return MakeError(error_kind::no_upstream,
                     "no engine of the service is registered");
  }
  const double reservable =
      kReservableMemoryShare * static_cast<double>(service.engine.kv_tokens);
  if (static_cast<double>(request.prompt_tokens) > reservable) {
    return MakeError(error_kind::overloaded,
                     "the prompt does not fit into an engine's KV memory");
  }
  return absl::OkStatus();
}

void AdmitStream(dispatch_state& state, const waiting_stream& stream,
                 const engine_reservation& reservation, absl::Time now) {
  const absl::Duration prefill =
      reservation.prefill
          ? PrefillTime(state, stream.prompt +
                                   PrefillBacklog(state.ledger,
                                                  reservation.prefill->id, now))
          : absl::ZeroDuration();
  if (reservation.prefill) {
    RecordWork(state.sent_tokens[stream.service], stream.prompt, now);
  }
  ReserveDecode(state, stream.request_id, reservation.decode, stream,
                now + prefill);
  SetTokensToPrefill(
      state.ledger, stream.request_id,
      kDecodePrefillCost *
          (stream.generated + (reservation.prefill ? 0 : stream.prompt)));
  if (state.on_ledger_change) state.on_ledger_change();
  stream.done(reservation);
}

std::optional<fleet_upstream> ChooseLocalPrefillEngine(
    dispatch_state& state, const waiting_stream& stream,
    const std::vector<std::string>& tried, absl::Time now) {
  const engine_candidates engines = FindEngineCandidates(
      state, stream.service, tried, kReservableMemoryShare, now);
  auto on_time = ChooseOnTimeLocalPrefillEngine(
      state, engines, stream, stream.prompt + stream.generated, now);
  if (on_time) return on_time;
  const auto chosen = ChooseDecode(engines.decodes, ExpectedRun(stream, now));
  if (!chosen) return std::nullopt;
  return *engines.decodes[*chosen].upstream;
}

std::optional<fleet_upstream> ChooseOtherDecodeEngine(
    dispatch_state& state, const waiting_stream& stream,
    const std::vector<std::string>& tried, bool has_cache, absl::Time now) {
  if (!has_cache) return ChooseLocalPrefillEngine(state, stream, tried, now);
  const engine_candidates engines = FindEngineCandidates(
      state, stream.service, tried, kReservableMemoryShare, now);
  const auto chosen = ChooseDecode(engines.decodes, ExpectedRun(stream, now));
  if (!chosen) return std::nullopt;
  return *engines.decodes[*chosen].upstream;
}

std::optional<fleet_upstream> ChoosePrefillEngine(
    dispatch_state& state, absl::string_view service, double tokens,
    absl::string_view decode_domain, const std::vector<std::string>& tried,
    absl::Time now) {
  const engine_candidates engines =
      FindEngineCandidates(state, service, tried, kReservableMemoryShare, now);
  const auto prefill = ChoosePrefill(engines.prefills, tokens, decode_domain,
                                     engines.prefill_spread);
  if (!prefill) return std::nullopt;
  return *engines.prefills[*prefill].upstream;
}

absl::Status DecodesRefusedError(dispatch_state& state,
                                 absl::string_view service, absl::Time now) {
  const auto back = EarliestReturn(state, service, engine_stage::decode, now);
  if (back && *back < absl::InfiniteFuture()) {
    return EnginesAbsentError(state, *back - now);
  }
  return MakeError(error_kind::upstream_refused,
                   "no decode engine accepted the request");
}

absl::Duration ForecastWait(dispatch_state& state, const waiting_stream& stream,
                            size_t ahead, absl::Time now) {
  std::vector<decode_candidate> engines =
      FindEngineCandidates(state, stream.service, {}, kReservableMemoryShare,
                           now)
          .decodes;
  if (engines.empty()) {
    const auto back =
        EarliestReturn(state, stream.service, engine_stage::decode, now);
    return back ? *back - now : absl::InfiniteDuration();
  }
  const double speed = state.ledger.tokens_per_ms;
  const decode_run run = ExpectedRun(stream, now);
  std::vector<absl::Duration> waits;
  waits.reserve(engines.size());
  const auto forecast = [&](const decode_candidate& engine) {
    return ForecastCapacity(engine.runs, run, engine.capacity, engine.slots,
                            speed)
        .wait;
  };
  for (const decode_candidate& engine : engines) {
    waits.push_back(forecast(engine));
  }
  // Each stream ahead uses the capacity that becomes free first. Its size is
  // not looked up but assumed to be that of `stream`.
  for (size_t i = 0; i < ahead; ++i) {
    const size_t first = static_cast<size_t>(
        std::min_element(waits.begin(), waits.end()) - waits.begin());
    if (waits[first] == absl::InfiniteDuration()) return waits[first];
    // The stream ahead begins after `waits[first]`. It is added as a run from
    // now on that will hold `run.context` tokens at that time.
    const double generated = absl::ToDoubleMilliseconds(waits[first]) * speed;
    engines[first].runs.push_back(
        {run.context - generated, run.remaining + generated, now});
    waits[first] = forecast(engines[first]);
  }
  return *std::min_element(waits.begin(), waits.end());
}

void AdmitOrQueueStream(dispatch_state& state, waiting_stream stream,
                        absl::Time now) {
  if (now + stream.shortest_run > stream.deadline) {
    return stream.done(
        CannotBeginError(state, stream, absl::ZeroDuration(), now));
  }
  if (EnginesReturnTooLate(state, stream, now)) {
    return stream.done(
        CannotBeginError(state, stream, absl::ZeroDuration(), now));
  }
  if (stream.resumed_wait_until == absl::InfinitePast() &&
      state.waiting.empty() && AdmitOrQueueResumed(state, stream, now)) {
    return;
  }
  const size_t ahead_here = StreamsAhead(state.waiting, stream);
  if (ahead_here == 0) {
    if (const auto reservation = ChooseEnginesInTurn(
            state, stream, 1, false, kReservableMemoryShare, now)) {
      return AdmitStream(state, stream, *reservation, now);
    }
  }
  const size_t ahead = ahead_here + static_cast<size_t>(StreamsWaitingAtPeers(
                                        state.ledger, now));
  if (now + ForecastWait(state, stream, ahead, now) <=
      stream.latest_on_time_start) {
    QueueInOrder(state.waiting, std::move(stream));
    if (state.on_ledger_change) state.on_ledger_change();
    return;
  }
  const absl::Duration wait =
      ForecastWait(state, stream, ahead + state.late.size(), now);
  if (now + wait > stream.latest_start || !ShouldQueueLate(state)) {
    return stream.done(CannotBeginError(state, stream, wait, now));
  }
  state.late.push_back(std::move(stream));
  if (state.on_ledger_change) state.on_ledger_change();
}

void AdmitOrQueueFirst(dispatch_state& state, waiting_stream stream,
                       absl::Time now) {
  // A stream that has been admitted before stays ahead even once it is late.
  stream.latest_on_time_start = stream.latest_start;
  stream.goes_first = true;
  if (const auto reservation = ChooseEnginesInTurn(
          state, stream, 1, false, kReservableMemoryShare, now)) {
    return AdmitStream(state, stream, *reservation, now);
  }
  const absl::Duration wait = ForecastWait(state, stream, 0, now);
  if (now + wait > stream.latest_start) {
    return stream.done(CannotBeginError(state, stream, wait, now));
  }
  state.waiting.push_front(std::move(stream));
  if (state.on_ledger_change) state.on_ledger_change();
}

void ReserveDecode(dispatch_state& state, absl::string_view ledger_id,
                   const fleet_upstream& engine, const waiting_stream& stream,
                   absl::Time now) {
  const decode_run run = ExpectedRun(stream, now);
  ReserveRun(state.ledger, ledger_id, engine.id, run.context, run.remaining,
             now);
}

void RemoveFromQueues(dispatch_state& state, absl::string_view request_id) {
  const auto has_id = [request_id](const waiting_stream& stream) {
    return stream.request_id == request_id;
  };
  state.waiting.remove_if(has_id);
  state.late.remove_if(has_id);
  state.resuming.remove_if(has_id);
}

void AdmitWaiting(dispatch_state& state, absl::Time now) {
  RefuseStreamsThatOutlastStop(state, now);
  RefuseStreamsOfAbsentEngines(state, state.waiting, now);
  RefuseStreamsOfAbsentEngines(state, state.late, now);
  RefuseStreamsOfAbsentEngines(state, state.resuming, now);
  DemoteLateStreams(state, now);
  AdmitResuming(state, now);
  AdmitList(state, state.waiting, false, kReservableMemoryShare, now);
  if (!state.waiting.empty()) return;
  if (StreamsWaitingAtPeers(state.ledger, now) > 0) return;
  const size_t queued = state.late.size();
  AdmitList(state, state.late, true, kLateReservableMemoryShare, now);
  for (size_t i = state.late.size(); i < queued; ++i) {
    RecordLateOutcome(state, true);
  }
}

}  // namespace anvilridge
