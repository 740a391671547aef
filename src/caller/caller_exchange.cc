#include "caller/caller_exchange.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/ids.h"
#include "caller/caller_connection.h"

namespace anvilridge {
namespace {

/// Returns the reason phrase of the statuses that this product sends.
absl::string_view ReasonPhrase(int http_status) {
  struct reason {
    int http_status;
    absl::string_view phrase;
  };
  constexpr std::array kReasons = {
      reason{200, "OK"},
      reason{201, "Created"},
      reason{202, "Accepted"},
      reason{204, "No Content"},
      reason{400, "Bad Request"},
      reason{401, "Unauthorized"},
      reason{403, "Forbidden"},
      reason{404, "Not Found"},
      reason{405, "Method Not Allowed"},
      reason{408, "Request Timeout"},
      reason{409, "Conflict"},
      reason{410, "Gone"},
      reason{413, "Content Too Large"},
      reason{422, "Unprocessable Content"},
      reason{429, "Too Many Requests"},
      reason{431, "Request Header Fields Too Large"},
      reason{500, "Internal Server Error"},
      reason{502, "Bad Gateway"},
      reason{503, "Service Unavailable"},
      reason{504, "Gateway Timeout"},
  };
  for (const reason& row : kReasons) {
    if (row.http_status == http_status) return row.phrase;
  }
  return "Status";
}

/// Drops what could end a header line or begin another.
std::string WithoutControls(absl::string_view text) {
  std::string clean(text);
  std::erase_if(clean,
                [](char c) { return c != '\t' && absl::ascii_iscntrl(c); });
  return clean;
}

std::string FieldName(absl::string_view text) {
  std::string name = WithoutControls(text);
  std::erase_if(name,
                [](char c) { return c == ':' || absl::ascii_isspace(c); });
  return absl::AsciiStrToLower(name);
}

/// Fields that only the connection may set.
bool IsFramingField(absl::string_view name) {
  return name == "content-length" || name == "transfer-encoding" ||
         name == "connection" || name == "keep-alive" || name == "upgrade";
}

bool HasNoBody(int http_status) {
  return http_status == 204 || http_status == 304;
}

}  // namespace

caller_exchange::caller_exchange(caller_connection* connection, QObject* thread,
                                 form answer)
    : connection_(connection), thread_(thread), form_(answer) {}

caller_exchange::~caller_exchange() {
  if (connection_ == nullptr) return;
  // The holder dropped the request: its caller must not wait for ever.
  listener_ = nullptr;
  if (stage_ == stage::streaming) {
    caller_exchange::Abort();
    return;
  }
  RespondProblem(*this,
                 MakeError(error_kind::internal, "the request was dropped"),
                 NewId());
}

std::string caller_exchange::Head(int http_status,
                                  const http_headers& headers) const {
  std::string head = absl::StrCat("HTTP/1.1 ", http_status, " ",
                                  ReasonPhrase(http_status), "\r\n");
  for (const auto& [field, value] : headers) {
    const std::string name = FieldName(field);
    if (name.empty() || IsFramingField(name)) continue;
    absl::StrAppend(&head, name, ": ", WithoutControls(value), "\r\n");
  }
  if (connection_->ClosesAfterAnswer()) {
    absl::StrAppend(&head, "connection: close\r\n");
  }
  return head;
}

void caller_exchange::Respond(int http_status, const http_headers& headers,
                              absl::string_view body) {
  if (connection_ == nullptr || stage_ != stage::waiting) return;
  std::string answer = Head(http_status, headers);
  if (!HasNoBody(http_status)) {
    absl::StrAppend(&answer, "content-length: ", body.size(), "\r\n");
  }
  absl::StrAppend(&answer, "\r\n");
  if (!form_.head_only && !HasNoBody(http_status)) {
    absl::StrAppend(&answer, body);
  }
  connection_->Send(answer);
  connection_->CutWithoutMemory();
  if (connection_ != nullptr) Finish();
}

void caller_exchange::Begin(int http_status, const http_headers& headers) {
  if (connection_ == nullptr || stage_ != stage::waiting) return;
  stage_ = stage::streaming;
  if (HasNoBody(http_status)) form_.head_only = true;
  if (!form_.chunked) connection_->close_after_answer_ = true;
  std::string head = Head(http_status, headers);
  if (form_.chunked && !HasNoBody(http_status)) {
    absl::StrAppend(&head, "transfer-encoding: chunked\r\n");
  }
  absl::StrAppend(&head, "\r\n");
  connection_->Send(head);
}

void caller_exchange::Write(absl::string_view bytes) {
  if (connection_ == nullptr || stage_ != stage::streaming) return;
  if (form_.head_only || bytes.empty()) return;
  if (form_.chunked) {
    connection_->Send(
        absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n"));
  } else {
    connection_->Send(bytes);
  }
  CutSlowReader();
}

void caller_exchange::CutSlowReader() {
  connection_->CutWithoutMemory();
  if (connection_ == nullptr) return;
  const int64_t bound = connection_->context_.limits.max_unsent_bytes;
  if (UnsentBytes() <= bound) return;
  connection_->socket_->flush();
  if (connection_ == nullptr || UnsentBytes() <= bound) return;
  connection_->ReportCutOfRequest(cut_reason::slow_reader);
  connection_->Break(/*reset=*/true);
}

void caller_exchange::End() {
  if (connection_ == nullptr || stage_ != stage::streaming) return;
  if (form_.chunked && !form_.head_only) connection_->Send("0\r\n\r\n");
  Finish();
}

void caller_exchange::Finish() {
  stage_ = stage::ended;
  listener_ = nullptr;
  std::exchange(connection_, nullptr)->EndAnswer();
}

void caller_exchange::Abort() {
  if (connection_ == nullptr) return;
  listener_ = nullptr;
  // What was written says why the answer is not whole.
  connection_->socket_->flush();
  if (connection_ == nullptr) return;
  connection_->ReportCutOfRequest(cut_reason::aborted);
  // Without chunks only a reset tells the caller that the answer is not whole.
  connection_->Break(/*reset=*/!form_.chunked);
}

int64_t caller_exchange::UnsentBytes() const {
  return connection_ == nullptr ? 0 : connection_->UnsentBytes();
}

void caller_exchange::OnClosed(std::function<void()> listener) {
  if (stage_ == stage::ended) return;
  if (!lost_) {
    listener_ = std::move(listener);
    return;
  }
  if (thread_ != nullptr) PostTo(thread_, std::move(listener));
}

void caller_exchange::ConnectionLost(bool at_once) {
  connection_ = nullptr;
  lost_ = true;
  std::function<void()> listener = std::exchange(listener_, nullptr);
  if (!listener) return;
  if (at_once || thread_ == nullptr) {
    listener();
  } else {
    PostTo(thread_, std::move(listener));
  }
}

}  // namespace anvilridge
