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
  genuine_ = false;
  broken_order_ = false;
  splitter_ = {};
  failure_body_.clear();
}

void stream_relay::TakeHead(bool genuine, const http_headers& headers) {
  genuine_ = genuine;
  if (genuine_ && !begun_) head_ = headers;
}

void stream_relay::TakeBytes(absl::string_view bytes) {
  if (!genuine_) {
    absl::StrAppend(&failure_body_, bytes);
    return;
  }
  SplitEvents(splitter_, bytes,
              [this](absl::string_view event, std::optional<int64_t> id) {
                TakeEvent(event, id);
              });
}

void stream_relay::TakeEvent(absl::string_view event,
                             std::optional<int64_t> id) {
  // The caller may leave while its events are passed on.
  if (!exchange_ || broken_order_) return;
  if (id && last_id_ && *id <= *last_id_) return;
  if (id && last_id_ && *id != *last_id_ + 1) {
    // The rest of another run would leave a hole.
    broken_order_ = true;
    return;
  }
  if (!begun_) Begin();
  exchange_->Write(event);
  if (id) {
    last_id_ = *id;
    resume_after_ = absl::StrCat(*id);
  }
  on_event_();
}

bool stream_relay::RunIsWhole() const {
  return genuine_ && splitter_.partial.empty() && !broken_order_;
}

void stream_relay::Begin() {
  begun_ = true;
  on_begin_();
  exchange_->Begin(kOk, head_);
}

void stream_relay::End() {
  if (!begun_) Begin();
  exchange_->End();
}

void stream_relay::Abort() { exchange_->Abort(); }

}  // namespace anvilridge
