#include "upstreams/curl_transfer.h"

#include <QHostAddress>
#include <algorithm>
#include <optional>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "base/error_kind.h"
#include "upstreams/status_line.h"

namespace anvilridge {
namespace {

/// Header fields and trailers of one answer may be this long in all.
constexpr size_t kMaxHeaderBytes = 64 << 10;
// Short fields take far more memory than they have bytes.
constexpr size_t kMaxHeaderFields = 256;
constexpr int kMaxPort = 65535;

/// Fields that describe the message or the connection, which this client
/// frames itself; passing a caller's on would let it smuggle requests.
constexpr std::array<absl::string_view, 7> kFramingFields = {
    "connection",       "content-length",    "expect", "keep-alive",
    "proxy-connection", "transfer-encoding", "upgrade"};

bool HasControl(absl::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_iscntrl(static_cast<unsigned char>(c)) && c != '\t';
  });
}

bool IsToken(absl::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
           absl::string_view("!#$%&'*+-.^_`|~").find(c) !=
               absl::string_view::npos;
  });
}

bool IsAddress(absl::string_view address) {
  const std::vector<absl::string_view> parts = absl::StrSplit(address, ':');
  int port = 0;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port)) return false;
  if (port <= 0 || port > kMaxPort) return false;
  const QHostAddress host(
      QString::fromUtf8(parts[0].data(), static_cast<int>(parts[0].size())));
  return host.protocol() == QAbstractSocket::IPv4Protocol;
}

bool IsTarget(absl::string_view target) {
  return absl::StartsWith(target, "/") && !HasControl(target) &&
         target.find_first_of(" \t") == absl::string_view::npos;
}

bool IsFramingField(absl::string_view name) {
  const std::string lower = absl::AsciiStrToLower(name);
  return std::find(kFramingFields.begin(), kFramingFields.end(), lower) !=
         kFramingFields.end();
}

/// Begins a response, or an interim one before it. libcurl takes more for a
/// status line than is one.
void TakeStatusLine(curl_transfer& transfer, absl::string_view line) {
  const std::optional<int> status = ParseStatusLine(line);
  transfer.status_malformed = !status;
  transfer.in_head = true;
  transfer.result.http_status = status.value_or(0);
  transfer.result.headers.clear();
  transfer.body_length.reset();
}

void EndHeaders(curl_transfer& transfer) {
  transfer.in_head = false;
  transfer.headers_complete = transfer.result.http_status >= kFirstFinalStatus;
}

/// Takes a `Content-Length`, whose value may be a list of equal numbers.
/// libcurl reads the beginning of a malformed value, the last one of several,
/// and ignores one that is too large, so that a cut body would pass for whole.
void TakeBodyLength(curl_transfer& transfer, absl::string_view value) {
  for (absl::string_view part : absl::StrSplit(value, ',')) {
    part = absl::StripAsciiWhitespace(part);
    int64_t length = 0;
    const bool is_number =
        std::all_of(part.begin(), part.end(), absl::ascii_isdigit) &&
        absl::SimpleAtoi(part, &length);
    if (!is_number || transfer.body_length.value_or(length) != length) {
      transfer.body_length_unclear = true;
    }
    transfer.body_length = length;
  }
}

void AddField(curl_transfer& transfer, absl::string_view line) {
  const size_t colon = line.find(':');
  if (colon == absl::string_view::npos) return;
  const auto& [name, value] = transfer.result.headers.emplace_back(
      absl::AsciiStrToLower(line.substr(0, colon)),
      std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
  if (name == "content-length") TakeBodyLength(transfer, value);
}

size_t OnHeaderLine(char* data, size_t size, size_t count, void* user) {
  auto& transfer = *static_cast<curl_transfer*>(user);
  const size_t length = size * count;
  transfer.on_progress();
  transfer.header_bytes += length;
  transfer.headers_too_large =
      transfer.header_bytes > kMaxHeaderBytes ||
      transfer.result.headers.size() > kMaxHeaderFields;
  transfer.exceeds_kept = !transfer.kept->Add(length);
  if (transfer.headers_too_large || transfer.exceeds_kept) return 0;
  // Lines after the body are trailers, which nobody here reads.
  if (transfer.headers_complete) return length;
  absl::string_view line(data, length);
  absl::ConsumeSuffix(&line, "\n");
  absl::ConsumeSuffix(&line, "\r");
  if (!transfer.in_head) {
    TakeStatusLine(transfer, line);
  } else if (line.empty()) {
    EndHeaders(transfer);
  } else {
    AddField(transfer, line);
  }
  if (transfer.status_malformed || transfer.body_length_unclear) return 0;
  return length;
}

size_t OnBody(char* data, size_t size, size_t count, void* user) {
  auto& transfer = *static_cast<curl_transfer*>(user);
  const size_t length = size * count;
  transfer.on_progress();
  if (transfer.handler.on_data) {
    transfer.undelivered.append(data, length);
    return length;
  }
  transfer.body_too_large =
      transfer.result.body.size() + length > transfer.call.max_body_bytes;
  transfer.exceeds_kept = !transfer.kept->Add(length);
  if (transfer.body_too_large || transfer.exceeds_kept) return 0;
  transfer.result.body.append(data, length);
  return length;
}

int OnConnected(void* user, char*, char*, int, int) {
  auto* transfer = static_cast<curl_transfer*>(user);
  // libcurl sends again by itself when a kept connection closes without an
  // answer; whether to repeat a call is decided by those who count it.
  if (transfer->connected) return CURL_PREREQFUNC_ABORT;
  transfer->connected = true;
  return CURL_PREREQFUNC_OK;
}

bool HasField(const http_headers& headers, absl::string_view name) {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& field) {
    return absl::EqualsIgnoreCase(field.first, name);
  });
}

void AppendLine(curl_transfer& transfer, const std::string& line) {
  curl_slist* list =
      curl_slist_append(transfer.header_list.get(), line.c_str());
  if (list == nullptr) return;
  (void)transfer.header_list.release();
  transfer.header_list.reset(list);
}

void BuildHeaderList(curl_transfer& transfer) {
  // A line without a value takes a field away that libcurl adds by itself.
  AppendLine(transfer, "Expect:");
  if (!HasField(transfer.call.headers, "content-type")) {
    AppendLine(transfer, "Content-Type:");
  }
  for (const auto& [name, value] : transfer.call.headers) {
    if (IsFramingField(name)) continue;
    AppendLine(transfer, value.empty() ? absl::StrCat(name, ";")
                                       : absl::StrCat(name, ": ", value));
  }
}

void SetMethodAndBody(curl_transfer& transfer) {
  CURL* easy = transfer.easy.get();
  const http_call& call = transfer.call;
  if (call.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    return;
  }
  const bool sends_body = !call.body.empty() || call.method == "POST" ||
                          call.method == "PUT" || call.method == "PATCH";
  if (sends_body) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
}

void SetConnectionRules(curl_transfer& transfer) {
  CURL* easy = transfer.easy.get();
  const http_call& call = transfer.call;
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   absl::ToInt64Milliseconds(call.connect_timeout));
  // libcurl resends any request whose kept connection turns out to be closed,
  // also one that the server has read; a fresh connection is never retried.
  const int64_t own_connection = call.repeatable ? 0 : 1;
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, own_connection);
  curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, own_connection);
}

void SetCallbacks(curl_transfer& transfer) {
  CURL* easy = transfer.easy.get();
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer.error_text.data());
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnConnected);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
}

std::string ErrorText(const curl_transfer& transfer, CURLcode code) {
  if (transfer.error_text[0] != '\0') return transfer.error_text.data();
  return curl_easy_strerror(code);
}

}  // namespace

absl::Status CheckCall(const http_call& call) {
  if (!IsToken(call.method)) {
    return MakeError(error_kind::malformed_request, "malformed method");
  }
  if (!IsAddress(call.address)) {
    return MakeError(error_kind::malformed_request,
                     "the address is not a.b.c.d:port");
  }
  if (!IsTarget(call.target)) {
    return MakeError(error_kind::malformed_request, "malformed target");
  }
  for (const auto& [name, value] : call.headers) {
    if (!IsToken(name) || HasControl(value)) {
      return MakeError(error_kind::malformed_request, "malformed header field");
    }
  }
  return absl::OkStatus();
}

void PrepareTransfer(curl_transfer& transfer) {
  transfer.easy.reset(curl_easy_init());
  CURL* easy = transfer.easy.get();
  const std::string url = absl::StrCat("http://", transfer.call.address, "/");
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  // Sent as it stands, where a URL would be normalised.
  curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, transfer.call.target.c_str());
  SetConnectionRules(transfer);
  SetMethodAndBody(transfer);
  SetCallbacks(transfer);
  BuildHeaderList(transfer);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.header_list.get());
}

run_state TransferRunState(const curl_transfer& transfer) {
  return transfer.connected ? run_state::unknown : run_state::not_run;
}

absl::Status TransferError(const curl_transfer& transfer, CURLcode code) {
  const run_state ran = TransferRunState(transfer);
  if (code == CURLE_OK) {
    if (transfer.headers_complete) return absl::OkStatus();
    // libcurl takes a close inside the header fields for an end.
    return MakeError(error_kind::upstream_failed,
                     "the answer ended inside its header fields", ran);
  }
  if (transfer.body_too_large) {
    return MakeError(error_kind::upstream_failed,
                     absl::StrCat("the answer is longer than ",
                                  transfer.call.max_body_bytes, " bytes"),
                     ran);
  }
  if (transfer.exceeds_kept) {
    return MakeError(error_kind::upstream_failed,
                     "no memory left for the rest of the answer", ran);
  }
  if (transfer.headers_too_large) {
    return MakeError(error_kind::upstream_failed,
                     "the header fields of the answer are too long", ran);
  }
  if (transfer.status_malformed) {
    return MakeError(error_kind::upstream_failed,
                     "the answer begins with no status line", ran);
  }
  if (transfer.body_length_unclear) {
    return MakeError(error_kind::upstream_failed,
                     "the answer names no clear Content-Length", ran);
  }
  return MakeError(
      error_kind::upstream_failed,
      absl::StrCat(transfer.call.address, ": ", ErrorText(transfer, code)),
      ran);
}

}  // namespace anvilridge
