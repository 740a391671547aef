#include "dispatch/decode_admission.h"

#include <algorithm>
#include <utility>

#include "base/error_kind.h"
#include "dispatch/engine_candidates.h"
#include "dispatch/resumed_admission.h"

namespace anvilridge {
namespace {

// Soonest and latest return of callers who found no room. What they find then
// is late in any case, so that they come back when a burst has drained, spread
// so that they don't come together.
constexpr absl::Duration kSoonestReturn = absl::Milliseconds(1000);
constexpr absl::Duration kReturnSpread = absl::Milliseconds(2500);
// Callers keep to longer returns only up to a third of what is left to them.
constexpr absl::Duration kLatestReturn = absl::Milliseconds(4500);

// Weight of one outcome of a late stream, and the part that must begin in time
// for more to wait: more of them are helped than held up in vain.
constexpr double kLateOutcomeWeight = 0.1;
constexpr double kLeastLateSuccess = 0.5;
// Engines with room up to which two daemons are likely to choose the same one.
constexpr size_t kScarceEngines = 4;

absl::Status NoRoom(dispatch_state& state, absl::Duration wait) {
  const absl::Duration spread =
      kReturnSpread * absl::Uniform(state.random, 0.0, 1.0);
  return MakeError(
      error_kind::overloaded, "no decode memory in time", run_state::not_run,
      std::min(std::max(kSoonestReturn, wait) + spread, kLatestReturn));
}

// Takes out the engines with room that other daemons may take first: when few
// have room, all daemons see the same ones, and at the same moment.
void LeaveToOthers(dispatch_state& state, engine_candidates& engines,
                   const decode_run& run, const room_contender& own,
                   absl::Span<const room_contender> others, absl::Time now) {
  if (state.ledger.peers.empty()) return;
  std::erase_if(engines.decodes, [&](const decode_candidate& engine) {
    if (HasRoom(engine, run)) return false;
    state.sightings.erase(EngineKey(engine.upstream->id));
    return true;
  });
  if (others.empty() && engines.decodes.size() > kScarceEngines) return;
  std::erase_if(engines.decodes, [&](const decode_candidate& engine) {
    const uint32_t key = EngineKey(engine.upstream->id);
    const size_t runs = engine.runs.size();
    return !MayTakeRoom(state.sightings, key, runs,
                        TurnRank(key, runs, own, others), others.size() + 1,
                        now);
  });
}

// Picks engines among `engines` for `stream`; nothing when there is no room.
std::optional<engine_promise> PromiseAmong(const dispatch_state& state,
                                           const engine_candidates& engines,
                                           const waiting_stream& stream,
                                           absl::Time now) {
  const auto decode = ChooseDecode(engines.decodes, RunOf(stream, now));
  if (!decode) return std::nullopt;
  engine_promise promise;
  promise.decode = *engines.decodes[*decode].upstream;
  if (stream.generated > 0) {
    if (const auto quiet =
            QuietReader(state, engines, stream, stream.generated, now)) {
      promise.decode = *quiet;
    }
  }
  const auto prefill = ChoosePrefill(engines.prefills, stream.prompt,
                                     promise.decode.failure_domain);
  if (!prefill) return promise;
  // Too long a queue makes it late; then its decode engine reads, if it can.
  if (now <= stream.start_by &&
      now + PrefillTime(state, engines.prefills[*prefill].backlog) >
          stream.start_by) {
    if (const auto alone = QuietReader(state, engines, stream,
                                       stream.prompt + stream.generated, now)) {
      promise.decode = *alone;
      return promise;
    }
  }
  promise.prefill = *engines.prefills[*prefill].upstream;
  return promise;
}

// Picks engines for a stream that waits, with `waiting` of its kind here, in
// turn with the other daemons that have such.
std::optional<engine_promise> PromiseInTurn(dispatch_state& state,
                                            const waiting_stream& stream,
                                            size_t waiting, bool late,
                                            double memory, absl::Time now) {
  engine_candidates engines =
      Candidates(state, stream.service, {}, memory, now);
  LeaveToOthers(state, engines, RunOf(stream, now),
                {state.name, static_cast<int>(waiting)},
                Contenders(state.ledger, late, now), now);
  return PromiseAmong(state, engines, stream, now);
}

// Admits the first ones of `list` while there is room in `memory`.
void AdmitList(dispatch_state& state, std::list<waiting_stream>& list,
               bool late, double memory, absl::Time now) {
  while (!list.empty()) {
    const auto promise =
        PromiseInTurn(state, list.front(), list.size(), late, memory, now);
    // Who came first is served first: others may not fill the room that a
    // large request waits for.
    if (!promise) return;
    const waiting_stream stream = std::move(list.front());
    list.pop_front();
    AdmitStream(state, stream, *promise, now);
  }
}

void NoteLateOutcome(dispatch_state& state, bool began) {
  state.late_success +=
      kLateOutcomeWeight * ((began ? 1.0 : 0.0) - state.late_success);
}

// Whether waiting behind the others has been worth it lately. In a lasting
// overload they take all the room, whatever is forecast for one of them. One at
// a time may find out when it is over.
bool LateOnesBegin(const dispatch_state& state) {
  return state.late.empty() || state.late_success >= kLeastLateSuccess;
}

// Moves streams that can't be on time any more behind those that can, and
// refuses those that can't be served any more.
void Demote(dispatch_state& state, absl::Time now) {
  while (!state.waiting.empty() && state.waiting.front().start_by <= now) {
    state.late.splice(state.late.end(), state.waiting, state.waiting.begin());
  }
  while (!state.late.empty() && state.late.front().give_up <= now) {
    const auto done = std::move(state.late.front().done);
    state.late.pop_front();
    NoteLateOutcome(state, false);
    done(NoRoom(state, absl::ZeroDuration()));
  }
}

}  // namespace

void AdmitStream(dispatch_state& state, const waiting_stream& stream,
                 const engine_promise& promise, absl::Time now) {
  const absl::Duration prefill =
      promise.prefill
          ? PrefillTime(
                state, stream.prompt + PrefillBacklog(state.ledger,
                                                      promise.prefill->id, now))
          : absl::ZeroDuration();
  const decode_run run = RunOf(stream, now);
  PromiseRun(state.ledger, stream.request_id, promise.decode.id, run.context,
             run.remaining, now + prefill);
  ExpectReading(state.ledger, stream.request_id,
                kDecodePrefillCost *
                    (stream.generated + (promise.prefill ? 0 : stream.prompt)));
  if (state.on_ledger_change) state.on_ledger_change();
  stream.done(promise);
}

std::optional<fleet_upstream> PromiseReader(
    dispatch_state& state, const waiting_stream& stream,
    const std::vector<std::string>& tried, absl::Time now) {
  const engine_candidates engines =
      Candidates(state, stream.service, tried, kPromisedMemory, now);
  auto quiet = QuietReader(state, engines, stream,
                           stream.prompt + stream.generated, now);
  if (quiet) return quiet;
  const auto any = ChooseDecode(engines.decodes, RunOf(stream, now));
  if (!any) return std::nullopt;
  return *engines.decodes[*any].upstream;
}

std::optional<fleet_upstream> PromisePrefill(
    dispatch_state& state, absl::string_view service, double tokens,
    absl::string_view decode_domain, const std::vector<std::string>& tried,
    absl::Time now) {
  const engine_candidates engines =
      Candidates(state, service, tried, kPromisedMemory, now);
  const auto prefill = ChoosePrefill(engines.prefills, tokens, decode_domain);
  if (!prefill) return std::nullopt;
  return *engines.prefills[*prefill].upstream;
}

absl::Duration ForecastWait(dispatch_state& state, const waiting_stream& stream,
                            size_t ahead, absl::Time now) {
  std::vector<decode_candidate> engines =
      Candidates(state, stream.service, {}, kPromisedMemory, now).decodes;
  if (engines.empty()) return absl::InfiniteDuration();
  const double speed = state.ledger.tokens_per_ms;
  const decode_run run = RunOf(stream, now);
  std::vector<absl::Duration> waits;
  waits.reserve(engines.size());
  const auto forecast = [&](const decode_candidate& engine) {
    return ForecastRoom(engine.runs, run, engine.capacity, engine.slots, speed)
        .wait;
  };
  for (const decode_candidate& engine : engines) {
    waits.push_back(forecast(engine));
  }
  // Each one ahead takes the room that opens first; they are taken to be of
  // this one's size.
  for (size_t i = 0; i < ahead; ++i) {
    const size_t first = static_cast<size_t>(
        std::min_element(waits.begin(), waits.end()) - waits.begin());
    if (waits[first] == absl::InfiniteDuration()) return waits[first];
    // As if it had begun now, with what it will have generated taken off.
    const double begun = absl::ToDoubleMilliseconds(waits[first]) * speed;
    engines[first].runs.push_back(
        {run.context - begun, run.remaining + begun, now});
    waits[first] = forecast(engines[first]);
  }
  return *std::min_element(waits.begin(), waits.end());
}

void AwaitEngines(dispatch_state& state, waiting_stream stream,
                  absl::Time now) {
  if (stream.quiet_by == absl::InfinitePast() && state.waiting.empty() &&
      AwaitQuietEngine(state, stream, now)) {
    return;
  }
  if (state.waiting.empty()) {
    if (const auto promise =
            PromiseInTurn(state, stream, 1, false, kPromisedMemory, now)) {
      return AdmitStream(state, stream, *promise, now);
    }
  }
  const size_t ahead = state.waiting.size() +
                       static_cast<size_t>(PeersWaiting(state.ledger, now));
  if (now + ForecastWait(state, stream, ahead, now) <= stream.start_by) {
    state.waiting.push_back(std::move(stream));
    if (state.on_ledger_change) state.on_ledger_change();
    return;
  }
  const absl::Duration wait =
      ForecastWait(state, stream, ahead + state.late.size(), now);
  if (now + wait > stream.give_up || !LateOnesBegin(state)) {
    return stream.done(NoRoom(state, wait));
  }
  state.late.push_back(std::move(stream));
  if (state.on_ledger_change) state.on_ledger_change();
}

void LeaveQueue(dispatch_state& state, absl::string_view request_id) {
  const auto is_it = [request_id](const waiting_stream& stream) {
    return stream.request_id == request_id;
  };
  state.waiting.remove_if(is_it);
  state.late.remove_if(is_it);
  state.resuming.remove_if(is_it);
}

void AdmitWaiting(dispatch_state& state, absl::Time now) {
  Demote(state, now);
  AdmitResuming(state, now);
  AdmitList(state, state.waiting, false, kPromisedMemory, now);
  if (!state.waiting.empty()) return;
  if (PeersWaiting(state.ledger, now) > 0) return;
  const size_t waited = state.late.size();
  AdmitList(state, state.late, true, kLateMemory, now);
  for (size_t i = state.late.size(); i < waited; ++i) {
    NoteLateOutcome(state, true);
  }
}

}  // namespace anvilridge
