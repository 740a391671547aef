#ifndef ANVILRIDGE_FLEET_TOPIC_FOLLOWER_H_
#define ANVILRIDGE_FLEET_TOPIC_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "fleet/topic_report.h"

namespace anvilridge {

/// Records from a requested offset on.
struct record_batch {
  std::vector<keyed_record> records;
  /// Offset for the next read.
  int64_t next = 0;
  /// Era of all offsets, as the reply names it.
  store_era era = store_era::none;
};

/// The newest record of each key of a topic.
struct record_listing {
  std::vector<keyed_record> records;
  /// Offset for the next read: at or before the first record that may be
  /// missing from the listing.
  int64_t next = 0;
  /// Era of all offsets, as the reply names it.
  store_era era = store_era::none;
};

/// Calls to the store that a `topic_follower` makes. Each calls `done` exactly
/// once, from the event loop. `read` fails with `absl::StatusCode::kOutOfRange`
/// if the store no longer keeps the records from offset `from` on.
struct topic_calls {
  /// The store may hold the call until there are new records.
  std::function<void(int64_t from,
                     std::function<void(absl::StatusOr<record_batch>)> done)>
      read;
  /// As `read`, but the store replies at once. If not set, `read` is used.
  std::function<void(int64_t from,
                     std::function<void(absl::StatusOr<record_batch>)> done)>
      read_now;
  std::function<void(std::function<void(absl::StatusOr<record_listing>)> done)>
      list;
};

/// Callbacks of a `topic_follower`.
struct topic_events {
  /// Receives each complete listing of the topic. Its era is that which counts
  /// for it, also if the reply names none; so is that of a batch.
  std::function<void(const record_listing&)> on_listing;
  /// Receives the records of each read, unless there are none.
  std::function<void(const record_batch&)> on_batch;
  /// Called with the error of the first failed call of an outage.
  std::function<void(const absl::Status&)> on_store_lost;
  /// Called when a call succeeds again after `on_store_lost`, and when another
  /// daemon reports the end of an outage. Also called before the first listing
  /// of a new era.
  std::function<void()> on_store_returned;
  /// Called when the store has come back from an older copy, after
  /// `on_store_returned`, with the end of the known records in the earlier era
  /// and that of the first listing in the new one.
  std::function<void(store_position before, store_position now)> on_new_era =
      [](store_position, store_position) {};
  /// Receives a report for the other daemons after each reply of the store that
  /// brought something new.
  std::function<void(const topic_report&)> on_news = [](const topic_report&) {};
};

/// Follows one topic: lists it, then reads the records after the listing. Lists
/// it again when the next records are no longer kept, because of a gap or
/// because the topic was truncated, and once in each new era of the store,
/// whose offsets say nothing of those before.
///
/// A daemon that isn't a reader makes no calls while reports of readers arrive
/// that show that it misses nothing. It takes new records from the reports, and
/// reads them itself where a report doesn't contain them, or when the reports
/// stop.
///
/// A reader that reports a lost store has only lost the store itself: its way
/// there may be cut, or the store may reject it alone. Such a report makes this
/// daemon call the store, and counts as an outage of the store only as long as
/// this daemon's own calls don't succeed. Must be used on one thread with a Qt
/// event loop.
class topic_follower {
 public:
  /// Delay before the retry of a failed call. It doubles with each failure, up
  /// to `kMaxRetryDelay`. Each call is charged for, and an outage of a second
  /// must not cost more than one call.
  static constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(150);
  static constexpr absl::Duration kMaxRetryDelay = absl::Milliseconds(700);

  /// Minimum time between two reads, so that records written close together
  /// share one call. Well below the seconds within which a change must be in
  /// force.
  static constexpr absl::Duration kMinReadInterval = absl::Milliseconds(300);

  /// Time without a usable report after which a daemon reads by itself. Readers
  /// send three reports in it, and it is well below the seconds within which a
  /// change must be in force.
  static constexpr absl::Duration kMaxReportSilence = absl::Seconds(1);

  /// Time without a usable report after which the report of a lost store makes
  /// a daemon read by itself. More than the interval of one reader's reports,
  /// and less than `kMaxReportSilence`, so that this daemon has a reply of its
  /// own before the word of others is all that it has.
  static constexpr absl::Duration kMaxDoubtfulSilence = absl::Milliseconds(500);

  /// Age of the youngest reply of the store to a reader from which on a daemon
  /// reads by itself: the readers may all have lost the store without knowing.
  /// The store holds a read for 1 s at most.
  static constexpr absl::Duration kMaxReplyAge = absl::Milliseconds(1800);

  /// Time without any known reply of the store that may hide an outage: this
  /// daemon's first call after `kMaxReplyAge` is answered within it unless the
  /// store was unavailable.
  static constexpr absl::Duration kMaxUnseenTime = absl::Milliseconds(2100);

  /// Delay before the retry of a failed call while readers report that they
  /// have lost the store, too. They retry sooner, and report its return.
  static constexpr absl::Duration kMaxFollowerRetryDelay = absl::Seconds(2);

  topic_follower(topic_calls calls, topic_events events);
  ~topic_follower();

  /// Starts with a listing of the topic.
  void Start();

  /// Sets whether this daemon is one of those that read the topic for all. At
  /// the start it is.
  void SetReader(bool is_reader);

  /// Applies a report of a reader.
  void HandleReport(const topic_report& report);

  /// Returns the latest time, by the monotonic clock, at which this daemon had
  /// all records of the topic, by a reply or a report; the infinite past before
  /// the first.
  absl::Time CompleteAt() const;

  /// Returns what this daemon has read from the store, without records.
  topic_report Report() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_TOPIC_FOLLOWER_H_
