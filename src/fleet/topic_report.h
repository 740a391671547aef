#ifndef ANVILRIDGE_FLEET_TOPIC_REPORT_H_
#define ANVILRIDGE_FLEET_TOPIC_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "fleet/store_position.h"

namespace anvilridge {

/// Record of a topic that keeps only the newest record of each key.
struct keyed_record {
  std::string key;
  /// Nullopt if the record removes the key.
  std::optional<std::string> value;
  /// Offset in the era of the reply or the report that holds the record.
  int64_t offset = 0;

  bool operator==(const keyed_record&) const = default;
};

/// What a daemon that reads a topic tells the others about it, so that they
/// need not read it themselves.
struct topic_report {
  /// The sender has all records before this offset; -1 before its first reply
  /// from the store.
  int64_t next = -1;
  /// Time since the sender's last reply from the store.
  absl::Duration reply_age = absl::InfiniteDuration();
  /// Whether the sender's last call to the store failed.
  bool store_lost = false;
  /// Time since the sender's calls to the store succeeded again after an
  /// outage; infinite if there was none.
  absl::Duration outage_age = absl::InfiniteDuration();
  /// Offset from which on `records` is complete; `next` if there are none.
  int64_t from = -1;
  /// Records of the sender's last reply, in order. Empty if they are too many
  /// for a message, or known to the receivers.
  std::vector<keyed_record> records;
  /// Era of all offsets in the report.
  store_era era = store_era::none;
};

/// Reports of the topics that all daemons follow.
struct store_report {
  topic_report config;
  topic_report upstreams;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_TOPIC_REPORT_H_
