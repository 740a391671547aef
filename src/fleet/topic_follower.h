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

/// One record of a topic that keeps the newest record of each key.
struct keyed_record {
  std::string key;
  /// Without a value the key was dropped.
  std::optional<std::string> value;
  int64_t offset = 0;
};

/// Records from the offset asked for, and the offset to go on from.
struct record_batch {
  std::vector<keyed_record> records;
  int64_t next = 0;
};

/// The newest record of each key, and the offset to go on from: at or before
/// the first record that the listing may lack.
struct record_listing {
  std::vector<keyed_record> records;
  int64_t next = 0;
};

/// The calls that a follower makes. Each ends with one call of `done`, from
/// the event loop. A read that asks for records that are no longer kept fails
/// with `absl::StatusCode::kOutOfRange`.
struct topic_calls {
  std::function<void(int64_t from,
                     std::function<void(absl::StatusOr<record_batch>)> done)>
      read;
  std::function<void(std::function<void(absl::StatusOr<record_listing>)> done)>
      list;
};

/// What a follower tells.
struct topic_events {
  std::function<void(const record_listing&)> on_listing;
  std::function<void(const record_batch&)> on_batch;
  /// The store stopped answering, with the reason, or answers again.
  std::function<void(const absl::Status&)> on_lost;
  std::function<void()> on_returned;
};

/// Follows one topic from its listing on: reads, and lists again after a gap
/// or when the topic was cut. Lives on one thread with a Qt event loop.
class topic_follower {
 public:
  /// First pause after a failed call; doubles up to the longest. Each call is
  /// priced, and an outage of a second must not cost more than one of them.
  static constexpr absl::Duration kFirstPause = absl::Milliseconds(150);
  static constexpr absl::Duration kLongestPause = absl::Milliseconds(700);

  /// Least time between two reads: news that come close together share a call.
  /// Well below the seconds within which a change must be in force.
  static constexpr absl::Duration kReadSpacing = absl::Milliseconds(300);

  topic_follower(topic_calls calls, topic_events events);
  ~topic_follower();

  void Start();

  /// Time of the last answer of the store, by the monotonic clock.
  absl::Time LastAnswer() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_TOPIC_FOLLOWER_H_
