#include "caller/request_scanner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

constexpr absl::string_view kLineEnd = "\r\n";
constexpr absl::string_view kHeadEnd = "\r\n\r\n";

/// Capacity that a connection keeps for the next request.
constexpr size_t kMaxKeptCapacity = 4096;

/// Longest chunk size line, extensions included.
constexpr size_t kMaxChunkLineBytes = 256;

/// Most decimal digits of a Content-Length and hexadecimal of a chunk size.
constexpr size_t kMaxLengthDigits = 15;

bool IsTokenCharacter(char c) {
  return absl::ascii_isalnum(c) ||
         absl::string_view("!#$%&'*+-.^_`|~").find(c) !=
             absl::string_view::npos;
}

bool IsToken(absl::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsFieldText(absl::string_view text) {
  return std::none_of(text.begin(), text.end(), [](char c) {
    return c != '\t' && absl::ascii_iscntrl(c);
  });
}

bool IsTargetText(absl::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isgraph(c);
  });
}

absl::Status Malformed(absl::string_view detail) {
  return MakeError(error_kind::malformed_request, detail);
}

/// Returns the origin form of a request target, or "" when it has none.
std::string OriginForm(absl::string_view target) {
  if (target == "*" || absl::StartsWith(target, "/")) {
    return std::string(target);
  }
  const size_t scheme_end = target.find("://");
  if (scheme_end == absl::string_view::npos) return "";
  const size_t path = target.find('/', scheme_end + 3);
  if (path == absl::string_view::npos) return "/";
  return std::string(target.substr(path));
}

size_t CountFields(const http_headers& headers, absl::string_view name) {
  return std::count_if(headers.begin(), headers.end(),
                       [name](const auto& h) { return h.first == name; });
}

absl::string_view FieldValue(const http_headers& headers,
                             absl::string_view name) {
  for (const auto& [field, value] : headers) {
    if (field == name) return value;
  }
  return "";
}

bool HasListItem(const http_headers& headers, absl::string_view name,
                 absl::string_view item) {
  for (const auto& [field, value] : headers) {
    if (field != name) continue;
    for (absl::string_view part : absl::StrSplit(value, ',')) {
      if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(part), item)) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

bool HasIdempotencyKey(const scanned_request& request) {
  return CountFields(request.headers, "idempotency-key") > 0;
}

request_scanner::request_scanner(int64_t max_header_bytes,
                                 int64_t max_body_bytes)
    : max_header_bytes_(max_header_bytes), max_body_bytes_(max_body_bytes) {}

void request_scanner::SetBounds(int64_t max_header_bytes,
                                int64_t max_body_bytes) {
  max_header_bytes_ = max_header_bytes;
  max_body_bytes_ = max_body_bytes;
}

absl::StatusOr<scan_progress> request_scanner::Take(absl::string_view bytes) {
  pending_.append(bytes.data(), bytes.size());
  starved_ = false;
  while (part_ != part::done && !starved_) {
    absl::Status status = Advance();
    if (!status.ok()) return status;
  }
  return part_ == part::done ? scan_progress::complete : scan_progress::partial;
}

scanned_request request_scanner::Release() {
  scanned_request request = std::move(request_);
  request_ = {};
  part_ = part::head;
  framing_bytes_ = 0;
  expects_continue_ = false;
  fields_read_ = false;
  // While much is pending, the capacity is in use.
  if (pending_.capacity() > kMaxKeptCapacity &&
      pending_.size() <= kMaxKeptCapacity) {
    pending_.shrink_to_fit();
  }
  return request;
}

scanned_request request_scanner::Head() const {
  scanned_request head;
  head.method = request_.method;
  head.target = request_.target;
  head.headers = request_.headers;
  head.http_1_0 = request_.http_1_0;
  head.keep_alive = request_.keep_alive;
  return head;
}

void request_scanner::Discard() {
  const bool in_request = InRequest();
  std::string().swap(pending_);
  request_ = {};
  part_ = in_request ? part::done : part::head;
}

int64_t request_scanner::KeptBytes() const {
  return static_cast<int64_t>(pending_.size() + request_.body.size());
}

bool request_scanner::InRequest() const {
  return part_ != part::head || !pending_.empty();
}

bool request_scanner::MayHaveKey() const {
  return !fields_read_ || HasIdempotencyKey(request_);
}

absl::string_view request_scanner::HeaderField(absl::string_view name) const {
  return fields_read_ ? FieldValue(request_.headers, name) : "";
}

bool request_scanner::TakeExpectContinue() {
  const bool waits = part_ != part::head && part_ != part::done;
  return waits && std::exchange(expects_continue_, false);
}

absl::Status request_scanner::Advance() {
  switch (part_) {
    case part::head:
      return ReadHead();
    case part::fixed_body:
      return ReadFixedBody();
    case part::chunk_size:
      return ReadChunkSize();
    case part::chunk_data:
      return ReadChunkData();
    case part::trailer:
      return ReadTrailer();
    case part::done:
      break;
  }
  return absl::OkStatus();
}

absl::Status request_scanner::ReadHead() {
  // A line end left behind an earlier body is no part of a request.
  while (absl::StartsWith(pending_, kLineEnd)) pending_.erase(0, 2);
  if (pending_.empty() || pending_ == "\r") {
    starved_ = true;
    return absl::OkStatus();
  }
  if (!IsTokenCharacter(pending_.front())) {
    return Malformed("the request line does not begin with a method");
  }
  const size_t end = absl::string_view(pending_).find(kHeadEnd);
  const size_t head_bytes =
      end == absl::string_view::npos ? pending_.size() : end + kHeadEnd.size();
  if (head_bytes > max_header_bytes_) {
    return MakeError(error_kind::headers_too_large,
                     absl::StrCat("at most ", max_header_bytes_,
                                  " bytes of header fields are allowed"));
  }
  if (end == absl::string_view::npos) {
    starved_ = true;
    return absl::OkStatus();
  }
  absl::Status status = ParseHead(absl::string_view(pending_).substr(0, end));
  if (!status.ok()) return status;
  fields_read_ = true;
  pending_.erase(0, head_bytes);
  return SelectFraming();
}

absl::Status request_scanner::ParseHead(absl::string_view head) {
  const std::vector<absl::string_view> lines = absl::StrSplit(head, kLineEnd);
  const std::vector<absl::string_view> words = absl::StrSplit(lines[0], ' ');
  if (words.size() != 3 || !IsToken(words[0]) || !IsTargetText(words[1])) {
    return Malformed("the request line is malformed");
  }
  if (words[2] != "HTTP/1.1" && words[2] != "HTTP/1.0") {
    return Malformed("only HTTP/1.1 and HTTP/1.0 are spoken here");
  }
  request_.method = std::string(words[0]);
  request_.target = OriginForm(words[1]);
  request_.http_1_0 = words[2] == "HTTP/1.0";
  if (request_.target.empty()) return Malformed("the target has no path");
  for (size_t i = 1; i < lines.size(); ++i) {
    const size_t colon = lines[i].find(':');
    if (colon == absl::string_view::npos ||
        !IsToken(lines[i].substr(0, colon)) || !IsFieldText(lines[i])) {
      return Malformed("a header field is malformed");
    }
    request_.headers.emplace_back(
        absl::AsciiStrToLower(lines[i].substr(0, colon)),
        std::string(absl::StripAsciiWhitespace(lines[i].substr(colon + 1))));
  }
  return absl::OkStatus();
}

absl::Status request_scanner::SelectFraming() {
  const http_headers& headers = request_.headers;
  const size_t lengths = CountFields(headers, "content-length");
  const size_t codings = CountFields(headers, "transfer-encoding");
  if (CountFields(headers, "host") > 1) return Malformed("two Host fields");
  // A request that two parsers could frame differently is refused outright.
  if (lengths + codings > 1) {
    return Malformed("more than one field gives the body's length");
  }
  request_.keep_alive = request_.http_1_0
                            ? HasListItem(headers, "connection", "keep-alive")
                            : !HasListItem(headers, "connection", "close");
  expects_continue_ = HasListItem(headers, "expect", "100-continue");
  if (codings == 1) {
    if (request_.http_1_0 ||
        !absl::EqualsIgnoreCase(FieldValue(headers, "transfer-encoding"),
                                "chunked")) {
      return Malformed("only the chunked transfer coding is known");
    }
    part_ = part::chunk_size;
    return absl::OkStatus();
  }
  remaining_ = 0;
  if (lengths == 1) {
    const absl::string_view digits = FieldValue(headers, "content-length");
    const bool is_number =
        !digits.empty() &&
        std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit);
    if (!is_number) return Malformed("Content-Length is not a number");
    const bool fits = digits.size() <= kMaxLengthDigits &&
                      absl::SimpleAtoi(digits, &remaining_);
    if (!fits || remaining_ > max_body_bytes_) {
      return MakeError(error_kind::body_too_large,
                       absl::StrCat("at most ", max_body_bytes_,
                                    " bytes of body are allowed"));
    }
  }
  part_ = remaining_ == 0 ? part::done : part::fixed_body;
  return absl::OkStatus();
}

absl::Status request_scanner::ReadFixedBody() {
  const size_t taken = std::min(remaining_, pending_.size());
  request_.body.append(pending_, 0, taken);
  pending_.erase(0, taken);
  remaining_ -= taken;
  if (remaining_ == 0) part_ = part::done;
  starved_ = remaining_ > 0;
  return absl::OkStatus();
}

absl::Status request_scanner::ReadChunkSize() {
  const size_t end = absl::string_view(pending_).find(kLineEnd);
  if (end == absl::string_view::npos) {
    if (pending_.size() > kMaxChunkLineBytes) {
      return Malformed("a chunk size line is too long");
    }
    starved_ = true;
    return absl::OkStatus();
  }
  framing_bytes_ += end + kLineEnd.size();
  if (framing_bytes_ > max_body_bytes_ + max_header_bytes_) {
    return MakeError(error_kind::body_too_large, "too much chunk framing");
  }
  const absl::string_view line = absl::string_view(pending_).substr(0, end);
  const absl::string_view digits =
      absl::StripAsciiWhitespace(line.substr(0, line.find(';')));
  size_t size = 0;
  const bool is_hex =
      !digits.empty() && digits.size() <= kMaxLengthDigits &&
      std::all_of(digits.begin(), digits.end(), absl::ascii_isxdigit);
  if (!is_hex || !absl::SimpleHexAtoi(digits, &size)) {
    return Malformed("a chunk size is malformed");
  }
  if (size > max_body_bytes_ - request_.body.size()) {
    return MakeError(error_kind::body_too_large,
                     absl::StrCat("at most ", max_body_bytes_,
                                  " bytes of body are allowed"));
  }
  pending_.erase(0, end + kLineEnd.size());
  remaining_ = size;
  part_ = size == 0 ? part::trailer : part::chunk_data;
  return absl::OkStatus();
}

absl::Status request_scanner::ReadChunkData() {
  const size_t taken = std::min(remaining_, pending_.size());
  request_.body.append(pending_, 0, taken);
  pending_.erase(0, taken);
  remaining_ -= taken;
  if (remaining_ > 0 || pending_.size() < kLineEnd.size()) {
    starved_ = true;
    return absl::OkStatus();
  }
  if (!absl::StartsWith(pending_, kLineEnd)) {
    return Malformed("a chunk does not end where its size says");
  }
  pending_.erase(0, kLineEnd.size());
  part_ = part::chunk_size;
  return absl::OkStatus();
}

absl::Status request_scanner::ReadTrailer() {
  const size_t end = absl::string_view(pending_).find(kLineEnd);
  const size_t line_bytes =
      end == absl::string_view::npos ? pending_.size() : end;
  if (framing_bytes_ + line_bytes > max_body_bytes_ + max_header_bytes_ ||
      line_bytes > max_header_bytes_) {
    return MakeError(error_kind::headers_too_large, "the trailer is too large");
  }
  if (end == absl::string_view::npos) {
    starved_ = true;
    return absl::OkStatus();
  }
  framing_bytes_ += line_bytes + kLineEnd.size();
  // Trailer fields are dropped: nothing here has a use for them.
  pending_.erase(0, end + kLineEnd.size());
  if (end == 0) part_ = part::done;
  return absl::OkStatus();
}

}  // namespace anvilridge
