#include "http1/response_reader.h"

#include <http_parser.h>

#include <algorithm>
#include <string>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "upstreams/status_line.h"

namespace anvilridge {

struct response_reader::impl {
  http_parser parser{};
  http_parser_settings callbacks{};
  response_sink sink;
  http_headers headers;
  // Bytes of header fields and trailers.
  size_t head_bytes = 0;
  // Bytes taken while the final response's head is incomplete.
  size_t unfinished_head_bytes = 0;
  // First bytes of the head of the final or interim response being read.
  std::string status_line;
  bool head_request = false;
  bool in_value = false;
  bool interim = false;
  // Whether the parser has paused behind an interim response.
  bool interim_ended = false;
  bool complete = false;
  bool keep_alive = false;
  // Whether the final response's head is complete.
  bool has_head = false;

  static impl& Of(http_parser* parser) {
    return *static_cast<impl*>(parser->data);
  }

  void Reset() {
    http_parser_init(&parser, HTTP_RESPONSE);
    parser.data = this;
    headers.clear();
    head_bytes = 0;
    unfinished_head_bytes = 0;
    status_line.clear();
    in_value = false;
    interim = false;
    interim_ended = false;
    complete = false;
    keep_alive = false;
    has_head = false;
  }

  // Adds the beginning of `bytes`, with which a head begins or continues.
  void NoteStatusLine(absl::string_view bytes) {
    // The parser passes over line ends before a head.
    if (status_line.empty()) {
      bytes.remove_prefix(
          std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
    }
    absl::StrAppend(&status_line,
                    bytes.substr(0, kStatusLineBytes - status_line.size()));
  }

  bool HasStatus() const {
    const absl::string_view line = status_line;
    return ParseStatusLine(line.substr(0, line.find_first_of("\r\n")))
        .has_value();
  }

  bool Count(size_t bytes) {
    head_bytes += bytes;
    return head_bytes <= kMaxHeadBytes;
  }
};

namespace {

constexpr int kGoOn = 0;
constexpr int kStop = 1;
// http_parser's return values of its header callback.
constexpr int kSkipBody = 1;
constexpr int kMalformedHead = -1;

}  // namespace

response_reader::response_reader() : impl_(std::make_unique<impl>()) {
  http_parser_settings_init(&impl_->callbacks);
  impl_->callbacks.on_header_field = [](http_parser* parser, const char* at,
                                        size_t size) {
    impl& self = impl::Of(parser);
    if (!self.Count(size)) return kStop;
    if (self.in_value || self.headers.empty()) {
      if (self.headers.size() == kMaxFields) return kStop;
      self.headers.emplace_back();
    }
    self.in_value = false;
    self.headers.back().first +=
        absl::AsciiStrToLower(absl::string_view(at, size));
    return kGoOn;
  };
  impl_->callbacks.on_header_value = [](http_parser* parser, const char* at,
                                        size_t size) {
    impl& self = impl::Of(parser);
    if (!self.Count(size) || self.headers.empty()) return kStop;
    self.in_value = true;
    self.headers.back().second.append(at, size);
    return kGoOn;
  };
  impl_->callbacks.on_headers_complete = [](http_parser* parser) {
    impl& self = impl::Of(parser);
    if (!self.HasStatus()) return kMalformedHead;
    self.interim = parser->status_code < kFirstFinalStatus;
    if (self.interim) return kGoOn;
    self.has_head = true;
    self.keep_alive = http_should_keep_alive(parser) != 0;
    if (self.sink.on_head) {
      self.sink.on_head(static_cast<int>(parser->status_code), self.headers);
    }
    return self.head_request ? kSkipBody : kGoOn;
  };
  impl_->callbacks.on_body = [](http_parser* parser, const char* at,
                                size_t size) {
    impl& self = impl::Of(parser);
    if (self.sink.on_body) self.sink.on_body(absl::string_view(at, size));
    return kGoOn;
  };
  impl_->callbacks.on_message_complete = [](http_parser* parser) {
    impl& self = impl::Of(parser);
    if (self.interim) {
      self.headers.clear();
      self.in_value = false;
      self.status_line.clear();
      // The next head begins where the parser stops.
      self.interim_ended = true;
      http_parser_pause(parser, 1);
      return kGoOn;
    }
    self.complete = true;
    http_parser_pause(parser, 1);
    return kGoOn;
  };
  impl_->Reset();
}

response_reader::~response_reader() = default;

void response_reader::Begin(response_sink sink, bool head_request) {
  impl_->Reset();
  impl_->sink = std::move(sink);
  impl_->head_request = head_request;
}

absl::StatusOr<response_reader::progress> response_reader::Take(
    absl::string_view bytes, size_t& taken) {
  taken = 0;
  do {
    const absl::string_view rest = bytes.substr(taken);
    impl_->NoteStatusLine(rest);
    taken += http_parser_execute(&impl_->parser, &impl_->callbacks, rest.data(),
                                 rest.size());
    if (std::exchange(impl_->interim_ended, false)) {
      http_parser_pause(&impl_->parser, 0);
    } else {
      break;
    }
  } while (taken < bytes.size());
  if (impl_->complete) return progress::complete;
  if (impl_->status_line.size() == kStatusLineBytes && !impl_->HasStatus()) {
    return MakeError(error_kind::upstream_failed,
                     "not an HTTP response: it begins with no status line");
  }
  // Status lines and interim responses have bytes that no callback counts.
  if (!impl_->has_head) impl_->unfinished_head_bytes += bytes.size();
  if (impl_->unfinished_head_bytes > kMaxHeadBytes) {
    return MakeError(error_kind::upstream_failed,
                     absl::StrCat("the head of the response is longer than ",
                                  kMaxHeadBytes, " bytes"));
  }
  const http_errno error = HTTP_PARSER_ERRNO(&impl_->parser);
  if (error != HPE_OK || impl_->parser.upgrade != 0) {
    return MakeError(
        error_kind::upstream_failed,
        absl::StrCat("not an HTTP response: ", http_errno_description(error)));
  }
  return progress::partial;
}

bool response_reader::TakeClose() {
  if (impl_->complete) return true;
  // The parser would call an empty stream complete.
  if (!impl_->has_head) return false;
  http_parser_execute(&impl_->parser, &impl_->callbacks, nullptr, 0);
  return impl_->complete;
}

size_t response_reader::HeadBytes() const {
  return std::max(impl_->head_bytes, impl_->unfinished_head_bytes);
}

bool response_reader::KeepAlive() const { return impl_->keep_alive; }

}  // namespace anvilridge
