#include "requests/answer_writer.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "upstreams/sse_parser.h"

namespace anvilridge {
namespace {

std::string Compact(const QJsonObject& object) {
  return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject Chunk(const answer_writer& writer, absl::string_view text,
                  const QJsonValue& finish_reason) {
  const QJsonObject choice{
      {"text", QString::fromUtf8(text.data(), static_cast<int>(text.size()))},
      {"index", 0},
      {"finish_reason", finish_reason}};
  return {{"id", QString::fromStdString("cmpl-" + writer.request_id)},
          {"object", "text_completion"},
          {"model", QString::fromStdString(writer.model)},
          {"choices", QJsonArray{choice}}};
}

void BeginStream(answer_writer& writer) {
  if (writer.begun) return;
  writer.begun = true;
  writer.exchange->Begin(200, {{"content-type", "text/event-stream"},
                               {"cache-control", "no-store"},
                               {"x-request-id", writer.request_id}});
}

}  // namespace

absl::Status WriteToken(answer_writer& writer, int index,
                        absl::string_view token, absl::string_view event_id) {
  if (index < writer.next_index) return absl::OkStatus();
  if (index > writer.next_index) {
    return MakeError(error_kind::internal,
                     absl::StrCat("token ", index, " arrived where ",
                                  writer.next_index, " was due"));
  }
  ++writer.next_index;
  absl::StrAppend(&writer.text, token);
  if (!writer.stream) return absl::OkStatus();
  BeginStream(writer);
  sse_event event;
  event.id = std::string(event_id);
  event.data = Compact(Chunk(writer, token, QJsonValue::Null));
  writer.exchange->Write(FormatSse(event));
  return absl::OkStatus();
}

void FinishAnswer(answer_writer& writer) {
  if (writer.ended) return;
  writer.ended = true;
  if (!writer.stream) {
    const std::string body = Compact(Chunk(writer, writer.text, "stop"));
    writer.exchange->Respond(200,
                             {{"content-type", "application/json"},
                              {"x-request-id", writer.request_id}},
                             body);
    return;
  }
  BeginStream(writer);
  sse_event done;
  done.data = "[DONE]";
  writer.exchange->Write(FormatSse(done));
  writer.exchange->End();
}

void FailAnswer(answer_writer& writer, const absl::Status& error) {
  if (writer.ended) return;
  writer.ended = true;
  if (!writer.begun) {
    RespondProblem(*writer.exchange, error, writer.request_id);
    return;
  }
  const error_answer& answer = AnswerFor(KindOf(error));
  sse_event event;
  event.event = "error";
  event.data =
      Compact({{"type", QString::fromUtf8(answer.name.data())},
               {"detail", QString::fromStdString(std::string(error.message()))},
               {"request_id", QString::fromStdString(writer.request_id)}});
  writer.exchange->Write(FormatSse(event));
  writer.exchange->Abort();
}

}  // namespace anvilridge
