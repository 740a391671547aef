#include "operators/api_answer.h"

#include <QJsonDocument>
#include <QString>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "caller/problem_headers.h"
#include "operators/result_table.h"

namespace anvilridge {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;

QString ToQt(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

void Respond(inbound_exchange& exchange, int http_status, http_headers headers,
             const QJsonObject& json) {
  const QByteArray body =
      QJsonDocument(json).toJson(QJsonDocument::Compact) + '\n';
  headers.emplace_back("cache-control", "no-store");
  exchange.Respond(
      http_status, headers,
      absl::string_view(body.data(), static_cast<size_t>(body.size())));
}

}  // namespace

void RespondJson(inbound_exchange& exchange, int http_status,
                 const QJsonObject& json) {
  Respond(exchange, http_status, {{"content-type", "application/json"}}, json);
}

void RespondApiError(inbound_exchange& exchange, const absl::Status& error,
                     const QJsonObject& more) {
  const error_answer& answer = AnswerFor(KindOf(error));
  QJsonObject json = more;
  json.insert("api", ToQt(kApiVersion));
  json.insert("type", ToQt(answer.name));
  json.insert("title", ToQt(answer.title));
  json.insert("status", answer.http_status);
  json.insert("detail", ToQt(error.message()));
  json.insert("ran", ToQt(RunStateName(RunStateOf(error))));
  Respond(exchange, answer.http_status, ProblemHeaders(error), json);
}

void RespondParseError(inbound_exchange& exchange, const parse_error& error) {
  RespondApiError(
      exchange, MakeError(error_kind::malformed_command, ParseErrorText(error)),
      {{"column", static_cast<double>(error.column)},
       {"expected", ToQt(error.expected)},
       {"found", ToQt(error.found)}});
}

void RespondOutcome(inbound_exchange& exchange, const publish_result& result) {
  const QJsonObject outcome{{"api", ToQt(kApiVersion)},
                            {"id", ToQt(result.id)},
                            {"outcome", ToQt(result.status)},
                            {"outcome_detail", ToQt(result.detail)},
                            {"offset", static_cast<double>(result.offset)}};
  if (!result.error.ok()) {
    return RespondApiError(exchange, result.error, outcome);
  }
  const bool pending = result.status == "pending";
  RespondJson(exchange, pending ? kHttpAccepted : kHttpOk, outcome);
}

}  // namespace anvilridge
