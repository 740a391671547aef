#include "base/error_kind.h"

#include <array>
#include <string>

#include "absl/strings/cord.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace anvilridge {
namespace {

constexpr absl::string_view kPayloadUrl = "anvilridge/error";

constexpr absl::Duration kNever = absl::ZeroDuration();

using enum error_kind;

const std::array kAnswers = {
    error_answer{malformed_request, "malformed_request", 400,
                 run_state::not_run, kNever, "The request is malformed"},
    error_answer{malformed_command, "malformed_command", 400,
                 run_state::not_run, kNever, "The command is malformed"},
    error_answer{body_too_large, "body_too_large", 413, run_state::not_run,
                 kNever, "The body is larger than this route allows"},
    error_answer{headers_too_large, "headers_too_large", 431,
                 run_state::unknown, kNever, "The header fields are too large"},
    error_answer{request_timeout, "request_timeout", 408, run_state::unknown,
                 kNever, "The request did not arrive in time"},
    error_answer{method_not_allowed, "method_not_allowed", 405,
                 run_state::not_run, kNever, "The method is not allowed here"},
    error_answer{unknown_route, "unknown_route", 404, run_state::not_run,
                 kNever, "There is no such route"},
    error_answer{missing_credential, "missing_credential", 401,
                 run_state::not_run, kNever, "A bearer key is required"},
    error_answer{unknown_credential, "unknown_credential", 401,
                 run_state::not_run, kNever, "The bearer key is not known"},
    error_answer{forbidden, "forbidden", 403, run_state::not_run, kNever,
                 "The key may not do this"},
    error_answer{not_found, "not_found", 404, run_state::not_run, kNever,
                 "There is no such object"},
    error_answer{too_many_connections, "too_many_connections", 503,
                 run_state::unknown, absl::Seconds(1),
                 "Too many connections are open"},
    error_answer{rate_limited, "rate_limited", 429, run_state::not_run,
                 absl::Seconds(1), "The team's request rate is used up"},
    error_answer{concurrency_limited, "concurrency_limited", 429,
                 run_state::not_run, absl::Seconds(1),
                 "The team's concurrent requests are used up"},
    error_answer{overloaded, "overloaded", 503, run_state::not_run,
                 absl::Seconds(1), "There is no capacity at present"},
    error_answer{latency_unattainable, "latency_unattainable", 503,
                 run_state::not_run, absl::Seconds(1),
                 "The first token can't be served within its target"},
    error_answer{deadline_exceeded, "deadline_exceeded", 504,
                 run_state::not_run, absl::Seconds(1),
                 "The deadline passed before the request was started"},
    error_answer{no_upstream, "no_upstream", 503, run_state::not_run,
                 absl::Seconds(2), "No upstream serves this route at present"},
    error_answer{upstream_refused, "upstream_refused", 503, run_state::not_run,
                 absl::Seconds(1), "The upstream refused the request"},
    error_answer{upstream_failed, "upstream_failed", 502, run_state::unknown,
                 absl::Seconds(1), "The upstream failed"},
    error_answer{upstream_stalled, "upstream_stalled", 504, run_state::unknown,
                 absl::Seconds(1), "The upstream made no progress"},
    error_answer{prompt_quarantined, "prompt_quarantined", 503,
                 run_state::not_run, absl::Seconds(60),
                 "Engines have crashed on a part of this prompt"},
    error_answer{slow_reader, "slow_reader", 499, run_state::ran, kNever,
                 "The caller read too slowly"},
    error_answer{shutting_down, "shutting_down", 503, run_state::not_run,
                 absl::Seconds(1), "This daemon is shutting down"},
    error_answer{not_ready, "not_ready", 503, run_state::not_run,
                 absl::Seconds(1), "This daemon has no configuration yet"},
    error_answer{log_unavailable, "log_unavailable", 503, run_state::not_run,
                 absl::Seconds(5), "The log service does not answer"},
    error_answer{key_required, "key_required", 400, run_state::not_run, kNever,
                 "This route requires an Idempotency-Key"},
    error_answer{key_malformed, "key_malformed", 400, run_state::not_run,
                 kNever, "The Idempotency-Key is malformed"},
    error_answer{key_expired, "key_expired", 409, run_state::unknown, kNever,
                 "The Idempotency-Key is older than the records kept"},
    error_answer{key_conflict, "key_conflict", 422, run_state::unknown, kNever,
                 "The Idempotency-Key was used with another request"},
    error_answer{key_in_progress, "key_in_progress", 409, run_state::unknown,
                 absl::Seconds(1), "A request with this key is in progress"},
    error_answer{outcome_unknown, "outcome_unknown", 502, run_state::unknown,
                 kNever, "It can't be known whether the request ran"},
    error_answer{cancelled, "cancelled", 409, run_state::unknown, kNever,
                 "An operator cancelled the request"},
    error_answer{lease_lost, "lease_lost", 503, run_state::not_run,
                 absl::Seconds(1), "This daemon was paused past its lease"},
    error_answer{resume_fenced, "resume_fenced", 409, run_state::ran, kNever,
                 "A later connection has taken over this stream"},
    error_answer{resume_gone, "resume_gone", 410, run_state::unknown, kNever,
                 "The stream to resume is no longer held"},
    error_answer{config_contested, "config_contested", 409, run_state::not_run,
                 kNever, "The object changed since the command was written"},
    error_answer{config_invalid, "config_invalid", 422, run_state::not_run,
                 kNever, "The change is not valid"},
    error_answer{internal, "internal", 500, run_state::unknown,
                 absl::Seconds(1), "Internal error"},
};

absl::StatusCode CodeFor(error_kind kind) {
  const int status = AnswerFor(kind).http_status;
  if (status == 401) return absl::StatusCode::kUnauthenticated;
  if (status == 403) return absl::StatusCode::kPermissionDenied;
  if (status == 404) return absl::StatusCode::kNotFound;
  if (status == 409) return absl::StatusCode::kAborted;
  if (status == 429) return absl::StatusCode::kResourceExhausted;
  if (status < 500) return absl::StatusCode::kInvalidArgument;
  if (status == 500) return absl::StatusCode::kInternal;
  if (status == 504) return absl::StatusCode::kDeadlineExceeded;
  return absl::StatusCode::kUnavailable;
}

struct error_payload {
  error_kind kind = internal;
  run_state ran = run_state::unknown;
  absl::Duration retry_after;
};

std::string EncodePayload(const error_payload& payload) {
  return absl::StrCat(static_cast<int>(payload.kind), " ",
                      static_cast<int>(payload.ran), " ",
                      absl::ToInt64Milliseconds(payload.retry_after));
}

error_payload PayloadOf(const absl::Status& status) {
  error_payload payload;
  const auto cord = status.GetPayload(kPayloadUrl);
  if (!cord) return payload;
  const std::string text(*cord);
  const std::vector<absl::string_view> fields = absl::StrSplit(text, ' ');
  int kind = 0;
  int ran = 0;
  int64_t retry_ms = 0;
  if (fields.size() != 3 || !absl::SimpleAtoi(fields[0], &kind) ||
      !absl::SimpleAtoi(fields[1], &ran) ||
      !absl::SimpleAtoi(fields[2], &retry_ms)) {
    return payload;
  }
  payload.kind = static_cast<error_kind>(kind);
  payload.ran = static_cast<run_state>(ran);
  payload.retry_after = absl::Milliseconds(retry_ms);
  return payload;
}

}  // namespace

const error_answer& AnswerFor(error_kind kind) {
  for (const error_answer& answer : kAnswers) {
    if (answer.kind == kind) return answer;
  }
  return kAnswers.back();
}

std::optional<error_kind> ErrorKindNamed(absl::string_view name) {
  for (const error_answer& answer : kAnswers) {
    if (answer.name == name) return answer.kind;
  }
  return std::nullopt;
}

absl::Status MakeError(error_kind kind, absl::string_view detail) {
  return MakeError(kind, detail, AnswerFor(kind).ran);
}

absl::Status MakeError(error_kind kind, absl::string_view detail, run_state ran,
                       absl::Duration retry_after) {
  error_payload payload{kind, ran, retry_after};
  if (retry_after <= absl::ZeroDuration()) {
    payload.retry_after = AnswerFor(kind).retry_after;
  }
  absl::Status status(CodeFor(kind), detail);
  status.SetPayload(kPayloadUrl, absl::Cord(EncodePayload(payload)));
  return status;
}

absl::Status WithRunState(const absl::Status& error, run_state ran) {
  return MakeError(KindOf(error), error.message(), ran, RetryAfterOf(error));
}

absl::Status WithoutNotRun(const absl::Status& error) {
  if (RunStateOf(error) != run_state::not_run) return error;
  return WithRunState(error, run_state::unknown);
}

error_kind KindOf(const absl::Status& status) { return PayloadOf(status).kind; }

run_state RunStateOf(const absl::Status& status) {
  return PayloadOf(status).ran;
}

absl::Duration RetryAfterOf(const absl::Status& status) {
  return PayloadOf(status).retry_after;
}

}  // namespace anvilridge
