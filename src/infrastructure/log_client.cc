#include "infrastructure/log_client.h"

#include <QJsonArray>
#include <QUrl>
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "upstreams/json_reader.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kAppendTimeout = absl::Seconds(5);
/// Added to the wait that a read asks for.
constexpr absl::Duration kReadMargin = absl::Seconds(5);

constexpr int kHttpOk = 200;
constexpr int kHttpRequestTimeout = 408;
constexpr int kHttpUnavailable = 503;

std::string StreamTarget(absl::string_view stream) {
  return absl::StrCat("/log/",
                      QUrl::toPercentEncoding(ToQString(stream)).toStdString());
}

absl::Status Unavailable(absl::string_view detail, run_state ran) {
  return MakeError(error_kind::log_unavailable, detail, ran);
}

/// Whether an answer with `http_status` means that nothing was appended.
bool IsRefusal(int http_status) {
  if (http_status == kHttpRequestTimeout) return false;
  return (http_status >= 400 && http_status < 500) ||
         http_status == kHttpUnavailable;
}

/// Returns the error of a call that got no usable answer, if there is one.
absl::Status CheckAnswer(const http_result& result) {
  if (!result.status.ok()) {
    return Unavailable(result.status.message(), RunStateOf(result.status));
  }
  if (result.http_status == kHttpOk) return absl::OkStatus();
  return Unavailable(
      absl::StrCat("the log answered http ", result.http_status),
      IsRefusal(result.http_status) ? run_state::not_run : run_state::unknown);
}

void NoteMalformed(json_reader& reader, absl::string_view problem) {
  if (!reader.status.ok()) return;
  reader.status = Unavailable(problem, run_state::unknown);
}

/// Checks that the offsets of an append are whole, one a record, in order.
int64_t ParseFirstOffset(json_reader& reader, size_t appended) {
  const QJsonArray offsets = ReadArray(reader, "offsets");
  if (!reader.status.ok()) return 0;
  const int64_t first = offsets.first().toInteger(0);
  bool valid = first > 0 && static_cast<size_t>(offsets.size()) == appended;
  int64_t expected = first;
  for (const auto& offset : offsets) {
    valid = valid && offset.toInteger(0) == expected;
    ++expected;
  }
  if (!valid) NoteMalformed(reader, "malformed offsets");
  return first;
}

absl::StatusOr<int64_t> ParseAppendAnswer(const http_result& result,
                                          size_t appended) {
  const absl::Status usable = CheckAnswer(result);
  if (!usable.ok()) return usable;
  absl::StatusOr<json_reader> reader = ParseJson(result.body);
  if (!reader.ok()) {
    return Unavailable(reader.status().message(), run_state::unknown);
  }
  const int64_t first = ParseFirstOffset(*reader, appended);
  if (!reader->status.ok()) {
    return Unavailable(reader->status.message(), run_state::unknown);
  }
  return first;
}

log_record ParseRecord(json_reader& reader) {
  log_record record;
  record.offset = ReadInteger(reader, "offset");
  record.time = absl::FromUnixMillis(ReadInteger(reader, "time_ms"));
  record.id = ReadText(reader, "id");
  record.data = reader.object.value(QLatin1String("data"));
  if (record.data.isUndefined()) NoteMalformed(reader, "a record has no data");
  return record;
}

/// Checks that the page holds what was asked for and nothing is missing in it:
/// offsets have no gaps, so the records run from the first one kept to `next`.
void CheckPage(json_reader& reader, const log_page& page, int64_t from,
               size_t limit) {
  if (page.next < 1 || page.oldest < 1 || page.records.size() > limit) {
    return NoteMalformed(reader, "malformed page");
  }
  int64_t expected = std::max(from, page.oldest);
  for (const log_record& record : page.records) {
    if (record.offset != expected) {
      return NoteMalformed(reader, "the page has a gap");
    }
    ++expected;
  }
  const bool ends_early =
      page.records.empty() ? page.next > expected : page.next != expected;
  if (ends_early) NoteMalformed(reader, "the page ends too early");
}

log_page ParsePage(json_reader& reader, int64_t from, size_t limit) {
  log_page page;
  const QJsonArray rows = ReadArray(reader, "records");
  for (const auto& row : rows) {
    json_reader part = ReaderOf(row);
    page.records.push_back(ParseRecord(part));
    if (reader.status.ok()) reader.status = part.status;
  }
  page.next = ReadInteger(reader, "next");
  page.oldest = ReadInteger(reader, "oldest");
  page.complete_since =
      absl::FromUnixMillis(ReadInteger(reader, "complete_since_ms"));
  CheckPage(reader, page, from, limit);
  return page;
}

absl::StatusOr<log_page> ParseReadAnswer(const http_result& result,
                                         int64_t from, size_t limit) {
  const absl::Status usable = CheckAnswer(result);
  if (!usable.ok()) return usable;
  absl::StatusOr<json_reader> reader = ParseJson(result.body);
  if (!reader.ok()) {
    return Unavailable(reader.status().message(), run_state::not_run);
  }
  log_page page = ParsePage(*reader, from, limit);
  if (!reader->status.ok()) {
    return Unavailable(reader->status.message(), run_state::not_run);
  }
  return page;
}

QJsonObject AppendBody(const std::vector<log_append>& records) {
  QJsonArray rows;
  for (const log_append& record : records) {
    rows.append(
        QJsonObject{{"id", ToQString(record.id)}, {"data", record.data}});
  }
  return {{"records", rows}};
}

}  // namespace

log_client::log_client(http_client& client, std::string address)
    : client_(client), address_(std::move(address)) {}

void log_client::Append(absl::string_view stream,
                        const std::vector<log_append>& records,
                        std::function<void(absl::StatusOr<int64_t>)> done) {
  http_call call;
  call.method = "POST";
  call.address = address_;
  call.target = StreamTarget(stream);
  call.headers = {{"content-type", "application/json"}};
  call.body = JsonText(AppendBody(records));
  call.timeout = kAppendTimeout;
  http_handler handler;
  handler.on_done = [count = records.size(),
                     done = std::move(done)](const http_result& result) {
    done(ParseAppendAnswer(result, count));
  };
  client_.Start(std::move(call), std::move(handler));
}

void log_client::Read(absl::string_view stream, int64_t from, int limit,
                      absl::Duration wait,
                      std::function<void(absl::StatusOr<log_page>)> done) {
  http_call call;
  call.address = address_;
  call.target =
      absl::StrCat(StreamTarget(stream), "?from=", from, "&limit=", limit,
                   "&wait_ms=", absl::ToInt64Milliseconds(wait));
  call.repeatable = true;
  call.timeout = wait + kReadMargin;
  http_handler handler;
  handler.on_done = [from, limit,
                     done = std::move(done)](const http_result& result) {
    done(ParseReadAnswer(result, from, static_cast<size_t>(limit)));
  };
  client_.Start(std::move(call), std::move(handler));
}

}  // namespace anvilridge
