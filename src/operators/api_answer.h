#ifndef ANVILRIDGE_OPERATORS_API_ANSWER_H_
#define ANVILRIDGE_OPERATORS_API_ANSWER_H_

#include <QJsonObject>

#include "absl/status/status.h"
#include "caller/caller_port.h"
#include "config/config_service.h"
#include "operators/command_words.h"

namespace anvilridge {

/// Sends `json` as `application/json`.
void RespondJson(inbound_exchange& exchange, int http_status,
                 const QJsonObject& json);

/// Sends `error` as `application/problem+json` with `api` and the members of
/// `more`, and `Retry-After` where the error has one.
void RespondApiError(inbound_exchange& exchange, const absl::Status& error,
                     const QJsonObject& more = {});

/// Sends a `malformed_command` problem with `column`, `expected`, `found`.
void RespondParseError(inbound_exchange& exchange, const parse_error& error);

/// Sends how far a command has got: 200 accepted, 202 pending, 409 contested,
/// 422 rejected, or the status of the error that made it fail.
void RespondOutcome(inbound_exchange& exchange, const publish_result& result);

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_API_ANSWER_H_
