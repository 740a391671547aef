#include "fleet/topic_follower.h"

#include <QObject>
#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/event_loop.h"

namespace anvilridge {

struct topic_follower::impl : std::enable_shared_from_this<impl> {
  topic_calls calls;
  topic_events events;
  QObject context;
  // Offset of the next read; unset if the topic must be listed first.
  std::optional<int64_t> next_offset;
  absl::Duration retry_delay = kInitialRetryDelay;
  bool store_lost = false;
  absl::Time last_reply = absl::InfinitePast();
  absl::Time read_started = absl::InfinitePast();
  absl::Time call_started = absl::InfinitePast();

  // Lists the topic or reads its next records. Delays a read that would follow
  // the previous one within `kMinReadInterval`.
  void StartNextCall() {
    const std::weak_ptr<impl> weak = weak_from_this();
    call_started = MonotonicNow();
    if (!next_offset) {
      calls.list([weak](const absl::StatusOr<record_listing>& listing) {
        if (const auto self = weak.lock()) self->HandleListing(listing);
      });
      return;
    }
    const absl::Duration delay =
        read_started + kMinReadInterval - MonotonicNow();
    if (delay > absl::ZeroDuration()) {
      RunAfter(&context, delay, [this] { StartNextCall(); });
      return;
    }
    read_started = MonotonicNow();
    calls.read(*next_offset, [weak](const absl::StatusOr<record_batch>& batch) {
      if (const auto self = weak.lock()) self->HandleBatch(batch);
    });
  }

  void HandleListing(const absl::StatusOr<record_listing>& listing) {
    if (!listing.ok()) return HandleFailure(listing.status());
    HandleSuccess();
    next_offset = listing->next;
    events.on_listing(*listing);
    StartNextCall();
  }

  void HandleBatch(const absl::StatusOr<record_batch>& batch) {
    if (absl::IsOutOfRange(batch.status())) {
      next_offset.reset();
      return StartNextCall();
    }
    if (!batch.ok()) return HandleFailure(batch.status());
    HandleSuccess();
    next_offset = batch->next;
    if (!batch->records.empty()) events.on_batch(*batch);
    StartNextCall();
  }

  void HandleSuccess() {
    last_reply = MonotonicNow();
    retry_delay = kInitialRetryDelay;
    if (!std::exchange(store_lost, false)) return;
    events.on_store_returned();
  }

  void HandleFailure(const absl::Status& error) {
    if (!std::exchange(store_lost, true)) events.on_store_lost(error);
    // The time that the failed call took counts towards the delay: after a call
    // that hung, the store may already be back.
    const absl::Duration elapsed = MonotonicNow() - call_started;
    RunAfter(&context, std::max(absl::ZeroDuration(), retry_delay - elapsed),
             [this] { StartNextCall(); });
    retry_delay = std::min(retry_delay * 2, kMaxRetryDelay);
  }
};

topic_follower::topic_follower(topic_calls calls, topic_events events)
    : impl_(std::make_shared<impl>()) {
  impl_->calls = std::move(calls);
  impl_->events = std::move(events);
}

topic_follower::~topic_follower() = default;

void topic_follower::Start() { impl_->StartNextCall(); }

absl::Time topic_follower::LastReplyTime() const { return impl_->last_reply; }

}  // namespace anvilridge
