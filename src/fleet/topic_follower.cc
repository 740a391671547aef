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
  // Unset while a listing is due.
  std::optional<int64_t> next;
  absl::Duration pause = kFirstPause;
  bool lost = false;
  absl::Time last_answer = absl::InfinitePast();
  absl::Time read_began = absl::InfinitePast();
  absl::Time call_began = absl::InfinitePast();

  void Next() {
    const std::weak_ptr<impl> weak = weak_from_this();
    call_began = MonotonicNow();
    if (!next) {
      calls.list([weak](const absl::StatusOr<record_listing>& listing) {
        if (const auto self = weak.lock()) self->TakeListing(listing);
      });
      return;
    }
    const absl::Duration early = read_began + kReadSpacing - MonotonicNow();
    if (early > absl::ZeroDuration()) {
      RunAfter(&context, early, [this] { Next(); });
      return;
    }
    read_began = MonotonicNow();
    calls.read(*next, [weak](const absl::StatusOr<record_batch>& batch) {
      if (const auto self = weak.lock()) self->TakeBatch(batch);
    });
  }

  void TakeListing(const absl::StatusOr<record_listing>& listing) {
    if (!listing.ok()) return Retry(listing.status());
    Answered();
    next = listing->next;
    events.on_listing(*listing);
    Next();
  }

  void TakeBatch(const absl::StatusOr<record_batch>& batch) {
    if (absl::IsOutOfRange(batch.status())) {
      next.reset();
      return Next();
    }
    if (!batch.ok()) return Retry(batch.status());
    Answered();
    next = batch->next;
    if (!batch->records.empty()) events.on_batch(*batch);
    Next();
  }

  void Answered() {
    last_answer = MonotonicNow();
    pause = kFirstPause;
    if (!std::exchange(lost, false)) return;
    events.on_returned();
  }

  void Retry(const absl::Status& why) {
    if (!std::exchange(lost, true)) events.on_lost(why);
    // A call that hung was a pause by itself: the store may be back by now.
    const absl::Duration hung = MonotonicNow() - call_began;
    RunAfter(&context, std::max(absl::ZeroDuration(), pause - hung),
             [this] { Next(); });
    pause = std::min(pause * 2, kLongestPause);
  }
};

topic_follower::topic_follower(topic_calls calls, topic_events events)
    : impl_(std::make_shared<impl>()) {
  impl_->calls = std::move(calls);
  impl_->events = std::move(events);
}

topic_follower::~topic_follower() = default;

void topic_follower::Start() { impl_->Next(); }

absl::Time topic_follower::LastAnswer() const { return impl_->last_answer; }

}  // namespace anvilridge
