#include "dispatch/stream_prefill.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/milliseconds.h"
#include "base/qt_text.h"
#include "dispatch/decode_admission.h"
#include "dispatch/quarantine_control.h"
#include "dispatch/send_claim.h"
#include "dispatch/stream_decode.h"
#include "dispatch/stream_end.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Number of attempts that must be left to replace a prefill that failed or got
// lost: its replacement is one, and so is the decode after it.
constexpr int kSendsForReplacementPrefill = 2;

// Returns a prefill engine that was not tried yet.
// @param decode engine that is reserved for the stream.
std::optional<fleet_upstream> ChooseOtherPrefill(stream_state& stream,
                                                 const fleet_upstream& decode) {
  if (IsQuarantined(stream.state, engine_stage::prefill, stream.request)) {
    return std::nullopt;
  }
  return ChoosePrefillEngine(stream.state, stream.service.name,
                             static_cast<double>(stream.request.prompt_tokens),
                             decode.failure_domain, stream.prefill->Tried(),
                             MonotonicNow());
}

// Returns an engine that may replace a prefill which its engine may have
// accepted, if the attempts allow another send.
std::optional<fleet_upstream> ChooseReplacementPrefill(
    stream_state& stream, const fleet_upstream& decode) {
  if (stream.sends.attempts + kSendsForReplacementPrefill >
      stream.route.attempts) {
    return std::nullopt;
  }
  return ChooseOtherPrefill(stream, decode);
}

// Returns the error for a stream that has no attempt left after its prefills.
absl::Status NoAttemptLeftError(const stream_state& stream) {
  return MakeError(error_kind::upstream_refused,
                   absl::StrCat("no engine prefilled the prompt within ",
                                stream.sends.attempts, " of ",
                                stream.route.attempts, " attempts"));
}

// Sends the request on after a prefill that ended with `outcome`: to another
// prefill engine, or else to a decode engine.
// @param decode engine that is reserved for the stream.
void ReplaceFailedPrefill(stream_state& stream, const fleet_upstream& decode,
                          send_outcome outcome) {
  std::optional<fleet_upstream> other;
  bool replaces_other = false;
  absl::string_view reason = "prefill_lost";
  switch (outcome) {
    case send_outcome::unsent:
      other = ChooseOtherPrefill(stream, decode);
      reason = "prefill_unsent";
      break;
    case send_outcome::refused:
      other = ChooseOtherPrefill(stream, decode);
      reason = "prefill_refused";
      break;
    case send_outcome::answered:
      reason = "prefill_failed";
      [[fallthrough]];
    case send_outcome::unknown:
      other = ChooseReplacementPrefill(stream, decode);
      replaces_other = other.has_value();
      break;
  }
  if (stream.sends.attempts >= stream.route.attempts ||
      (!other && IsTried(stream, decode))) {
    return RefuseStream(stream, NoAttemptLeftError(stream));
  }
  if (!ClaimSend(stream.state, stream.routed, stream.sends,
                 other ? send_purpose::prefill : send_purpose::decode,
                 reason)) {
    return RefuseStream(
        stream, MakeError(error_kind::upstream_refused,
                          "the prefill failed, and the send budget allows "
                          "no other send",
                          run_state::not_run, kLostPrefillRetryAfter));
  }
  if (!other) return PrefillAtDecode(stream);
  if (replaces_other) ++stream.sends.attempts;
  SendPrefill(stream, *other, replaces_other);
}

void OnPrefilled(stream_state& stream, const prefill_result& result) {
  stream.sends.prefill_accepted = true;
  stream.record.prefill = result.duration;
  stream.record.prefill_tokens = result.prefill.tokens;
  stream.lease = MakeLease(result.engine, result.prefill.handle,
                           stream.service.engine.handle_ttl);
  // A queued stream takes the cache along to the engine that it gets, and a
  // decode engine may be prefilling the prompt itself.
  if (ReservedEngine(stream.place)) SendDecodeAfterPrefill(stream);
}

void OnPrefillFailed(stream_state& stream, const prefill_failure& failure) {
  const send_outcome outcome = failure.outcome;
  if (outcome == send_outcome::unsent) {
    UncountSend(stream.sends, send_purpose::prefill);
    if (failure.replaces_other) --stream.sends.attempts;
  }
  // A refused prefill counts as an attempt. One that the engine may have
  // accepted counts as one when another is sent in its place.
  if (outcome == send_outcome::refused && !failure.replaces_other) {
    ++stream.sends.attempts;
  }
  if (IsPrefillInProgress(stream)) return;
  if (IsQueued(stream.place)) {
    // The engine that it waits for prefills the prompt itself, if the attempts
    // allow the send.
    if (stream.sends.attempts < stream.route.attempts) return;
    return RefuseStream(stream, NoAttemptLeftError(stream));
  }
  const auto decode = ReservedEngine(stream.place);
  if (decode) ReplaceFailedPrefill(stream, *decode, outcome);
}

// Sends a request with a reserved engine to another one beside a prefill whose
// engine is silent, if the budget allows it. The silent one may still answer
// first.
void OnSilentPrefill(stream_state& stream, const silent_prefill& silent) {
  const auto decode = ReservedEngine(stream.place);
  if (!decode || stream.prefill->InProgress() > 1) return;
  if (stream.sends.attempts >= stream.route.attempts) return;
  const auto other = ChooseReplacementPrefill(stream, *decode);
  if (!other && IsTried(stream, *decode)) return;
  if (!ClaimSend(stream.state, stream.routed, stream.sends,
                 other ? send_purpose::prefill : send_purpose::decode,
                 "prefill_slow",
                 silent.failed ? extra_send_need::replacement
                               : extra_send_need::alternative)) {
    return;
  }
  LogEvent(log_level::warn, "prefill_stalled",
           {{"request", QtText(stream.request.id)},
            {"upstream", QtText(silent.engine.id)},
            {"also_sent_to", QtText(other ? other->id : decode->id)},
            {"silent_ms", ToMilliseconds(silent.silence)}});
  ReportStall(stream.state, silent.engine);
  if (!other) return PrefillAtDecode(stream);
  ++stream.sends.attempts;
  SendPrefill(stream, *other, /*replaces_other=*/true);
}

// The listener is owned by the stream and called only while that is alive.
prefill_listener MakePrefillListener(stream_state& stream) {
  prefill_listener listener;
  listener.on_completed = [&stream](const prefill_result& result) {
    OnPrefilled(stream, result);
  };
  listener.on_failed = [&stream](const prefill_failure& failure) {
    OnPrefillFailed(stream, failure);
  };
  listener.on_silent = [&stream](const silent_prefill& silent) {
    OnSilentPrefill(stream, silent);
  };
  return listener;
}

}  // namespace

bool MayPrefill(stream_state& stream) {
  return !IsQuarantined(stream.state, engine_stage::prefill, stream.request) ||
         BeginTrial(stream.state, engine_stage::prefill, stream.request,
                    MonotonicNow());
}

void SendPrefill(stream_state& stream, const fleet_upstream& engine,
                 bool replaces_other) {
  if (EndIfQuarantined(stream)) return;
  if (!stream.prefill) {
    stream.prefill.emplace(stream.state, stream.request, stream.route,
                           stream.weak_from_this(),
                           MakePrefillListener(stream));
  }
  CountSend(stream.sends, send_purpose::prefill);
  stream.prefill->Send(engine, stream.relay.ResumeAfter(), replaces_other);
}

}  // namespace anvilridge
