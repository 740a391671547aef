#include "dispatch/stream_relay.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace anvilridge {
namespace {

constexpr int kOk = 200;

// Returns the media type of a response, without its parameters.
absl::string_view MediaType(const http_headers& headers) {
  const absl::string_view field = HeaderValue(headers, "content-type");
  return absl::StripAsciiWhitespace(field.substr(0, field.find(';')));
}

// Returns whether `event` consists of comments, as they keep connections alive.
bool IsComment(absl::string_view event) {
  for (absl::string_view line : absl::StrSplit(event, '\n')) {
    line = absl::StripAsciiWhitespace(line);
    if (!line.empty() && !absl::StartsWith(line, ":")) return false;
  }
  return true;
}

}  // namespace

stream_relay::stream_relay(std::shared_ptr<inbound_exchange> exchange,
                           std::string resume_after,
                           std::function<void()> on_begin,
                           std::function<void()> on_event)
    : exchange_(std::move(exchange)),
      on_begin_(std::move(on_begin)),
      on_event_(std::move(on_event)),
      caller_has_events_(!resume_after.empty()),
      resume_after_(std::move(resume_after)) {}

void stream_relay::BeginRun() {
  authentic_stream_ = false;
  continues_ = headers_sent_;
  has_new_event_ = false;
  out_of_sequence_ = false;
  splitter_ = {};
  error_body_.clear();
}

bool stream_relay::IsPartOfStream(const http_headers& headers) const {
  return !headers_sent_ ||
         absl::EqualsIgnoreCase(MediaType(headers), MediaType(headers_));
}

void stream_relay::OnHeaders(bool authentic_stream,
                             const http_headers& headers) {
  authentic_stream_ = authentic_stream && IsPartOfStream(headers);
  if (authentic_stream_ && !headers_sent_) headers_ = headers;
}

bool stream_relay::OnData(absl::string_view bytes) {
  if (!authentic_stream_) {
    absl::StrAppend(&error_body_, bytes);
    return error_body_.size() <= kMaxKeptBytes;
  }
  SplitEvents(splitter_, bytes,
              [this](absl::string_view event, std::optional<int64_t> id) {
                RelayEvent(event, id);
              });
  return splitter_.partial.size() <= kMaxKeptBytes;
}

size_t stream_relay::KeptBytes() const {
  return authentic_stream_ ? splitter_.partial.size() : error_body_.size();
}

void stream_relay::RelayEvent(absl::string_view event,
                              std::optional<int64_t> id) {
  // The relay may be closed while it passes on events, because the caller has
  // disconnected.
  if (!exchange_ || out_of_sequence_) return;
  if (id && last_id_ && *id <= *last_id_) return;
  const bool follows =
      !last_id_ || (id ? *id - 1 == *last_id_ : IsComment(event));
  if (!follows) {
    // A gap, or bytes that are no event of this stream: the rest of the run is
    // dropped.
    out_of_sequence_ = true;
    return;
  }
  if (!headers_sent_) Begin();
  exchange_->Write(event);
  has_new_event_ = has_new_event_ || id || !IsComment(event);
  if (id) {
    last_id_ = *id;
    resume_after_ = absl::StrCat(*id);
  }
  on_event_();
}

bool stream_relay::IsRunComplete() const {
  return authentic_stream_ && splitter_.partial.empty() && !out_of_sequence_ &&
         (has_new_event_ || (caller_has_events_ && !continues_));
}

void stream_relay::Begin() {
  headers_sent_ = true;
  on_begin_();
  exchange_->Begin(kOk, headers_);
}

void stream_relay::End() {
  if (!headers_sent_) Begin();
  exchange_->End();
}

void stream_relay::Abort() { exchange_->Abort(); }

}  // namespace anvilridge
