#include <QJsonDocument>
#include <QJsonObject>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "caller/caller_port.h"

namespace anvilridge {
namespace {

QString Text(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

}  // namespace

void RespondProblem(inbound_exchange& exchange, const absl::Status& error,
                    absl::string_view request_id) {
  const error_answer& answer = AnswerFor(KindOf(error));
  QJsonObject problem;
  problem["type"] = Text(answer.name);
  problem["title"] = Text(answer.title);
  problem["status"] = answer.http_status;
  problem["detail"] = Text(error.message());
  problem["ran"] = Text(RunStateName(RunStateOf(error)));
  problem["request_id"] = Text(request_id);
  http_headers headers = {{"content-type", "application/problem+json"}};
  const absl::Duration retry_after = RetryAfterOf(error);
  if (retry_after > absl::ZeroDuration()) {
    const absl::Duration whole = absl::Ceil(retry_after, absl::Seconds(1));
    headers.emplace_back("retry-after",
                         absl::StrCat(absl::ToInt64Seconds(whole)));
  }
  const QByteArray body = QJsonDocument(problem).toJson(QJsonDocument::Compact);
  exchange.Respond(answer.http_status, headers,
                   absl::string_view(body.constData(), body.size()));
}

}  // namespace anvilridge
