#include "fleet/topic_follower.h"

#include <QObject>
#include <algorithm>
#include <optional>
#include <utility>

#include "absl/types/span.h"
#include "base/clock.h"
#include "base/event_loop.h"

namespace anvilridge {

struct topic_follower::impl : std::enable_shared_from_this<impl> {
  topic_calls calls;
  topic_events events;
  QObject context;
  // Position of the next read; unset if the topic must be listed first.
  std::optional<store_position> next;
  // End of the records that were known when `next` was last set.
  std::optional<store_position> known_end;
  // Era of the replies to this daemon, and the highest that a reader reported.
  store_era era = store_era::none;
  store_era reported_era = store_era::none;
  // When the last report of a later era than `era` arrived.
  absl::Time later_era_reported = absl::InfinitePast();
  absl::Duration retry_delay = kInitialRetryDelay;
  bool is_reader = true;
  // Whether this daemon's last call failed.
  bool call_failed = false;
  // Whether neither calls nor reports show that the store answers.
  bool store_lost = false;
  // Last reply to a call of this daemon, and when its calls succeeded again
  // after an outage.
  absl::Time last_reply = absl::InfinitePast();
  absl::Time call_recovered = absl::InfinitePast();
  // Latest time at which this daemon had all records.
  absl::Time complete_at = absl::InfinitePast();
  // When the last usable report arrived, the youngest reply of the store that
  // reports told of, and when the last report of a lost store arrived.
  absl::Time last_report = absl::InfinitePast();
  absl::Time reported_reply = absl::InfinitePast();
  absl::Time last_lost_report = absl::InfinitePast();
  // Highest position before which a reader has all records.
  store_position reported_next = {store_era::none, -1};
  // When the last read began, and where.
  absl::Time read_started = absl::InfinitePast();
  store_position read_from;
  absl::Time call_started = absl::InfinitePast();
  // Whether a call is in progress or scheduled, and whether the end of a rest
  // is.
  bool calling = false;
  bool rest_end_scheduled = false;
  // Whether readers are suspected to have lost the store.
  bool doubts_readers = false;
  // Whether this daemon has rested since the last reply to it, and whether a
  // call is in progress that the store doesn't hold.
  bool rested = false;
  bool reading_now = false;
  // Whether the scheduled call is a retry, and the number of that call.
  bool retry_scheduled = false;
  uint64_t scheduled_call = 0;

  // Whether a reader that reaches the store is heard.
  bool HearsReader(absl::Time now) const {
    return now - last_report < kMaxReportSilence &&
           now - reported_reply < kMaxReplyAge;
  }

  absl::Duration MaxRetryDelay(absl::Time now) const {
    const bool readers_lost = now - last_lost_report < kMaxReportSilence;
    return !is_reader && readers_lost ? kMaxFollowerRetryDelay : kMaxRetryDelay;
  }

  // Returns whether the reports make calls of this daemon needless.
  bool MayRest(absl::Time now) const {
    return !is_reader && !doubts_readers && next && reported_next <= *next &&
           HearsReader(now);
  }

  // Whether this daemon's own calls show whether the store is available, or are
  // about to. Then the reports of others don't count.
  bool KnowsByItself(absl::Time now) const {
    return reading_now ||
           (!call_failed && !rested && now - last_reply < kMaxReplyAge);
  }

  void CallAfter(absl::Duration delay) {
    calling = true;
    RunAfter(&context, delay, [this, id = ++scheduled_call] {
      if (id == scheduled_call) StartNextCall();
    });
  }

  // Ends the delay before a retry, if one is waited for.
  void EndRetryDelay() {
    if (!std::exchange(retry_scheduled, false)) return;
    ++scheduled_call;
    calling = false;
    WakeUp();
  }

  // Starts the next call unless one is in progress.
  void WakeUp() {
    if (!calling) StartNextCall();
  }

  // Waits for the next report instead of calling the store.
  void Rest(absl::Time now) {
    calling = false;
    // What the last call showed is outdated when the next one begins.
    call_failed = false;
    rested = true;
    if (std::exchange(rest_end_scheduled, true)) return;
    const absl::Time end = std::min(last_report + kMaxReportSilence,
                                    reported_reply + kMaxReplyAge);
    RunAfter(&context, end - now, [this] {
      rest_end_scheduled = false;
      WakeUp();
    });
  }

  // Lists the topic or reads its next records. Delays a read that would follow
  // the previous one within `kMinReadInterval`.
  void StartNextCall() {
    const std::weak_ptr<impl> weak = weak_from_this();
    const absl::Time now = MonotonicNow();
    retry_scheduled = false;
    if (MayRest(now)) return Rest(now);
    calling = true;
    call_started = now;
    if (!next) {
      calls.list([weak](const absl::StatusOr<record_listing>& listing) {
        if (const auto self = weak.lock()) self->HandleListing(listing);
      });
      return;
    }
    const absl::Duration delay = read_started + kMinReadInterval - now;
    if (delay > absl::ZeroDuration()) return CallAfter(delay);
    read_started = now;
    read_from = *next;
    // After a rest this daemon must know soon whether the store is available.
    reading_now = rested && calls.read_now;
    const auto& read = reading_now ? calls.read_now : calls.read;
    read(next->number, [weak](const absl::StatusOr<record_batch>& batch) {
      const auto self = weak.lock();
      if (!self) return;
      self->reading_now = false;
      self->HandleBatch(batch);
    });
  }

  void HandleListing(const absl::StatusOr<record_listing>& listing) {
    if (!listing.ok()) return HandleFailure(listing.status());
    const store_era listed_era = EraOfReply(listing->era, era);
    if (listed_era < era) return HandleFailure(EarlierEraError());
    const store_position end = {listed_era, listing->next};
    HandleReply(listed_era);
    if (known_end && known_end->era < listed_era) {
      events.on_new_era(*known_end, end);
    }
    SetNext(end);
    complete_at = last_reply;
    record_listing applied = *listing;
    applied.era = listed_era;
    events.on_listing(applied);
    events.on_news(Report());
    StartNextCall();
  }

  void HandleBatch(const absl::StatusOr<record_batch>& batch) {
    if (absl::IsOutOfRange(batch.status())) {
      next.reset();
      return StartNextCall();
    }
    if (!batch.ok()) return HandleFailure(batch.status());
    const store_era read_era = EraOfReply(batch->era, era);
    if (read_era < era) return HandleFailure(EarlierEraError());
    HandleReply(read_era);
    // Where the read began says nothing in another era, and a reader may have
    // reported one meanwhile.
    if (!next || next->era != read_era) {
      next.reset();
      return StartNextCall();
    }
    complete_at = last_reply;
    const store_position end = {read_era, batch->next};
    if (end > *next) {
      AddRecords(batch->records, end);
      topic_report report = Report();
      report.from = read_from.number;
      report.records = batch->records;
      events.on_news(report);
    }
    StartNextCall();
  }

  static absl::Status EarlierEraError() {
    return absl::UnavailableError("the reply is from an earlier era");
  }

  void SetNext(store_position position) {
    next = position;
    known_end = position;
  }

  // Applies the records before `end` that weren't applied before; both are in
  // the era of `next`. Reports may have brought some of a read's records while
  // it was in progress.
  void AddRecords(absl::Span<const keyed_record> records, store_position end) {
    record_batch fresh;
    fresh.era = end.era;
    for (const keyed_record& record : records) {
      if (store_position{end.era, record.offset} >= *next) {
        fresh.records.push_back(record);
      }
    }
    SetNext(std::max(end, *next));
    fresh.next = next->number;
    if (!fresh.records.empty()) events.on_batch(fresh);
  }

  // Notes a reply of the store in `reply_era`, which isn't earlier than `era`.
  void HandleReply(store_era reply_era) {
    const absl::Time now = MonotonicNow();
    const bool missed_outage = MayHaveMissedOutage(now);
    const bool is_new_era = reply_era > era && known_end;
    era = reply_era;
    // The reports of a later era were wrong.
    if (reported_next.era > era && call_started > later_era_reported) {
      reported_next = {era, -1};
    }
    last_reply = now;
    rested = false;
    retry_delay = kInitialRetryDelay;
    if (std::exchange(call_failed, false)) call_recovered = now;
    if (std::exchange(store_lost, false) || missed_outage || is_new_era) {
      events.on_store_returned();
    }
  }

  // Returns whether the store may have been unavailable before its reply at
  // `now` without a failed call of this daemon: readers have lost it, and no
  // reply to anybody is known for too long.
  bool MayHaveMissedOutage(absl::Time now) const {
    return now - last_lost_report < kMaxReportSilence &&
           now - complete_at > kMaxUnseenTime;
  }

  void HandleFailure(const absl::Status& error) {
    const absl::Time now = MonotonicNow();
    call_failed = true;
    // While a reader reaches the store, only the way from here is cut.
    if (!HearsReader(now) && !std::exchange(store_lost, true)) {
      events.on_store_lost(error);
    }
    // The time that the failed call took counts towards the delay: after a call
    // that hung, the store may already be back.
    CallAfter(
        std::max(absl::ZeroDuration(), retry_delay - (now - call_started)));
    retry_scheduled = true;
    retry_delay = std::min(retry_delay * 2, MaxRetryDelay(now));
  }

  void HandleReport(const topic_report& report) {
    const absl::Time now = MonotonicNow();
    if (report.store_lost) return HandleReportedOutage(now);
    if (report.next < 0 || report.reply_age > kMaxReplyAge) return;
    // The sender hasn't noticed that the store has come back.
    if (report.era < era) return;
    last_report = now;
    doubts_readers = false;
    reported_reply = std::max(reported_reply, now - report.reply_age);
    reported_next = std::max(reported_next, {report.era, report.next});
    // The grace period after an outage must begin before the records are
    // applied that the outage may have caused.
    if (std::exchange(store_lost, false) || EndsUnnoticedOutage(report, now)) {
      events.on_store_returned();
    }
    if (report.era > era && known_end) return ListReportedEra(report.era);
    if (!next) return EndRetryDelay();
    if (store_position{report.era, report.from} <= *next &&
        !report.records.empty()) {
      AddRecords(report.records, {report.era, report.next});
    }
    if (reported_next <= *next) {
      complete_at = std::max(complete_at, now - report.reply_age);
    } else {
      WakeUp();
    }
    // The store answers again, or answers others.
    if (!is_reader) EndRetryDelay();
  }

  // Lists the topic once for the report of a later era than that of this
  // daemon's replies, which alone determine the era.
  void ListReportedEra(store_era later_era) {
    later_era_reported = MonotonicNow();
    if (later_era > reported_era) {
      reported_era = later_era;
      next.reset();
    }
    EndRetryDelay();
    WakeUp();
  }

  // Notes that a reader has lost the store. If this daemon or another reader
  // reaches it, that concerns only the reader.
  void HandleReportedOutage(absl::Time now) {
    last_lost_report = now;
    if (is_reader) return;
    if (next && now - last_report >= kMaxDoubtfulSilence) {
      doubts_readers = true;
      WakeUp();
    }
    if (HearsReader(now) || KnowsByItself(now)) return;
    if (std::exchange(store_lost, true)) return;
    events.on_store_lost(absl::UnavailableError("reported by a reader"));
  }

  // Returns whether `report` tells of an outage that has just ended and that
  // this daemon hasn't noticed, because it made no calls. The store answers
  // each reader more often than every `kMaxReplyAge`, so it has answered
  // meanwhile if the outage concerned only the sender.
  bool EndsUnnoticedOutage(const topic_report& report, absl::Time now) const {
    return report.outage_age < kMaxReplyAge &&
           now - report.outage_age - complete_at > kMaxReplyAge;
  }

  topic_report Report() const {
    topic_report report;
    if (!next || last_reply == absl::InfinitePast()) return report;
    const absl::Time now = MonotonicNow();
    report.era = next->era;
    report.next = next->number;
    report.from = next->number;
    report.reply_age = now - last_reply;
    report.store_lost = call_failed;
    report.outage_age = now - call_recovered;
    return report;
  }
};

topic_follower::topic_follower(topic_calls calls, topic_events events)
    : impl_(std::make_shared<impl>()) {
  impl_->calls = std::move(calls);
  impl_->events = std::move(events);
}

topic_follower::~topic_follower() = default;

void topic_follower::Start() { impl_->StartNextCall(); }

void topic_follower::SetReader(bool is_reader) {
  impl_->is_reader = is_reader;
  // Before `Start`, only the flag is kept.
  if (is_reader && impl_->next) impl_->WakeUp();
}

void topic_follower::HandleReport(const topic_report& report) {
  impl_->HandleReport(report);
}

absl::Time topic_follower::CompleteAt() const { return impl_->complete_at; }

topic_report topic_follower::Report() const { return impl_->Report(); }

}  // namespace anvilridge
