#include "dispatch/stream_relay.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

constexpr int kOk = 200;

}  // namespace

stream_relay::stream_relay(std::shared_ptr<inbound_exchange> exchange,
                           std::string resume_after,
                           std::function<void()> on_begin,
                           std::function<void()> on_event)
    : exchange_(std::move(exchange)),
      on_begin_(std::move(on_begin)),
      on_event_(std::move(on_event)),
      resume_after_(std::move(resume_after)) {}

void stream_relay::BeginRun() {
  authentic_stream_ = false;
  has_gap_ = false;
  splitter_ = {};
  error_body_.clear();
}

void stream_relay::OnHeaders(bool authentic_stream,
                             const http_headers& headers) {
  authentic_stream_ = authentic_stream;
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

void stream_relay::RelayEvent(absl::string_view event,
                              std::optional<int64_t> id) {
  // The relay may be closed while it passes on events, because the caller has
  // disconnected.
  if (!exchange_ || has_gap_) return;
  if (id && last_id_ && *id <= *last_id_) return;
  if (id && last_id_ && *id != *last_id_ + 1) {
    // The run continues the stream after a gap, so the rest of it is dropped.
    has_gap_ = true;
    return;
  }
  if (!headers_sent_) Begin();
  exchange_->Write(event);
  if (id) {
    last_id_ = *id;
    resume_after_ = absl::StrCat(*id);
  }
  on_event_();
}

bool stream_relay::IsRunComplete() const {
  return authentic_stream_ && splitter_.partial.empty() && !has_gap_;
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
