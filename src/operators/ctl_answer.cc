#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>
#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "base/error_kind.h"
#include "operators/command_parser.h"
#include "operators/ctl_client.h"
#include "operators/result_table.h"

namespace anvilridge {
namespace {

constexpr int kHttpErrors = 400;

std::string Text(const QJsonObject& json, const char* member) {
  return json.value(QLatin1String(member)).toString().toStdString();
}

QString ToQt(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

bool IsQuery(absl::string_view line) {
  const std::vector<absl::string_view> words =
      absl::StrSplit(line, ' ', absl::SkipEmpty());
  if (words.empty()) return false;
  const auto verbs = QueryVerbs();
  return std::find(verbs.begin(), verbs.end(), words[0]) != verbs.end();
}

ctl_exit ExitFor(const QJsonObject& problem) {
  const auto kind = ErrorKindNamed(Text(problem, "type"));
  switch (kind.value_or(error_kind::internal)) {
    case error_kind::malformed_command:
    case error_kind::malformed_request:
      return ctl_exit::usage;
    case error_kind::config_contested:
      return ctl_exit::contested;
    case error_kind::missing_credential:
    case error_kind::unknown_credential:
    case error_kind::forbidden:
      return ctl_exit::no_access;
    default:
      return ctl_exit::refused;
  }
}

// Points at the word of `line` that is at fault.
std::string PointedError(const QJsonObject& problem, absl::string_view line) {
  const std::string detail = Text(problem, "detail");
  const int column = problem["column"].toInt();
  if (column < 1) return absl::StrCat(Text(problem, "title"), ": ", detail);
  return absl::StrCat(line, "\n", std::string(column - 1, ' '), "^\n", detail);
}

std::string OutcomeLine(const QJsonObject& json) {
  const std::string detail = Text(json, "outcome_detail");
  const auto offset = json["offset"].toInteger();
  return absl::StrCat(
      Text(json, "outcome"), offset > 0 ? absl::StrCat(" at ", offset) : "",
      " as ", Text(json, "id"), detail.empty() ? "" : ": ", detail, "\n");
}

ctl_answer Unreachable(const http_result& result, absl::string_view line,
                       absl::string_view id) {
  const std::string reason(result.status.message());
  const bool sent = RunStateOf(result.status) != run_state::not_run;
  if (!sent || IsQuery(line)) {
    return {ctl_exit::no_access, "", absl::StrCat("no answer: ", reason)};
  }
  return {ctl_exit::pending, "",
          absl::StrCat("the answer was lost (", reason, "); ask: status ", id)};
}

}  // namespace

http_call CallFor(const ctl_settings& settings, absl::string_view line,
                  absl::string_view id) {
  constexpr absl::Duration kTimeout = absl::Seconds(20);
  http_call call;
  call.address = settings.server;
  call.timeout = kTimeout;
  call.headers = {{"authorization", absl::StrCat("Bearer ", settings.key)}};
  absl::string_view asked = line;
  if (absl::ConsumePrefix(&asked, "status ")) {
    call.target =
        absl::StrCat("/api/v1/commands/", absl::StripAsciiWhitespace(asked));
    call.repeatable = true;
    return call;
  }
  if (IsQuery(line)) {
    const QByteArray encoded = QUrl::toPercentEncoding(ToQt(line));
    call.target = absl::StrCat("/api/v1/query?q=", encoded.toStdString());
    call.repeatable = true;
    return call;
  }
  QJsonObject body{{"command", ToQt(line)}, {"id", ToQt(id)}};
  if (!settings.author.empty()) body.insert("author", ToQt(settings.author));
  call.method = "POST";
  call.target = "/api/v1/command";
  call.headers.emplace_back("content-type", "application/json");
  call.body = QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
  return call;
}

ctl_answer ReadAnswer(const http_result& result, absl::string_view line,
                      absl::string_view id, bool json) {
  if (!result.status.ok()) return Unreachable(result, line, id);
  const auto document =
      QJsonDocument::fromJson(QByteArray::fromStdString(result.body));
  const QJsonObject answer = document.object();
  ctl_answer shown;
  if (result.http_status >= kHttpErrors) {
    shown.exit = ExitFor(answer);
    if (answer.contains("outcome")) shown.output = OutcomeLine(answer);
    if (shown.output.empty()) shown.error = PointedError(answer, line);
  } else if (answer.contains("table")) {
    shown.output = TableText(TableFromJson(answer));
  } else {
    shown.output = OutcomeLine(answer);
    const bool pending = Text(answer, "outcome") == "pending";
    shown.exit = pending ? ctl_exit::pending : ctl_exit::ok;
  }
  if (json) {
    shown.output = result.body;
    shown.error.clear();
  }
  return shown;
}

}  // namespace anvilridge
