#ifndef ANVILRIDGE_FLEET_TOPIC_FOLLOWER_H_
#define ANVILRIDGE_FLEET_TOPIC_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"

namespace anvilridge {

/// Record of a topic that keeps only the newest record of each key.
struct keyed_record {
  std::string key;
  /// Nullopt if the record removes the key.
  std::optional<std::string> value;
  int64_t offset = 0;
};

/// Records from a requested offset on.
struct record_batch {
  std::vector<keyed_record> records;
  /// Offset for the next read.
  int64_t next = 0;
};

/// The newest record of each key of a topic.
struct record_listing {
  std::vector<keyed_record> records;
  /// Offset for the next read: at or before the first record that may be
  /// missing from the listing.
  int64_t next = 0;
};

/// Calls to the store that a `topic_follower` makes. Each calls `done` exactly
/// once, from the event loop. `read` fails with `absl::StatusCode::kOutOfRange`
/// if the store no longer keeps the records from offset `from` on.
struct topic_calls {
  std::function<void(int64_t from,
                     std::function<void(absl::StatusOr<record_batch>)> done)>
      read;
  std::function<void(std::function<void(absl::StatusOr<record_listing>)> done)>
      list;
};

/// Callbacks of a `topic_follower`.
struct topic_events {
  /// Receives each complete listing of the topic.
  std::function<void(const record_listing&)> on_listing;
  /// Receives the records of each read, unless there are none.
  std::function<void(const record_batch&)> on_batch;
  /// Called with the error of the first failed call of an outage.
  std::function<void(const absl::Status&)> on_store_lost;
  /// Called when a call succeeds again after `on_store_lost`.
  std::function<void()> on_store_returned;
};

/// Follows one topic: lists it, then reads the records after the listing. Lists
/// it again when the next records are no longer kept, because of a gap or
/// because the topic was truncated. Must be used on one thread with a Qt event
/// loop.
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

  topic_follower(topic_calls calls, topic_events events);
  ~topic_follower();

  /// Starts with a listing of the topic.
  void Start();

  /// Returns the time of the last successful reply of the store, by the
  /// monotonic clock; the infinite past before the first.
  absl::Time LastReplyTime() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_TOPIC_FOLLOWER_H_
