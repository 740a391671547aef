#include <QJsonDocument>
#include <QJsonObject>

#include "base/error_kind.h"
#include "base/qt_text.h"
#include "caller/caller_port.h"
#include "caller/problem_headers.h"

namespace anvilridge {

void RespondProblem(inbound_exchange& exchange, const absl::Status& error,
                    absl::string_view request_id, retry_after_form form) {
  const error_answer& answer = AnswerFor(KindOf(error));
  QJsonObject problem;
  problem["type"] = QtText(answer.name);
  problem["title"] = QtText(answer.title);
  problem["status"] = answer.http_status;
  problem["detail"] = QtText(error.message());
  problem["ran"] = QtText(RunStateName(RunStateOf(error)));
  problem["request_id"] = QtText(request_id);
  const QByteArray body = QJsonDocument(problem).toJson(QJsonDocument::Compact);
  exchange.Respond(answer.http_status, ProblemHeaders(error, form),
                   absl::string_view(body.constData(), body.size()));
}

}  // namespace anvilridge
