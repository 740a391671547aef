#ifndef ANVILRIDGE_STANDINS_PLATFORM_LOG_STORE_H_
#define ANVILRIDGE_STANDINS_PLATFORM_LOG_STORE_H_

#include <QJsonValue>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace anvilridge {

struct stored_record {
  int64_t offset = 0;
  absl::Time time;
  std::string id;
  QJsonValue data;
};

/// One stream of the log.
struct log_stream {
  int64_t next = 1;
  std::deque<stored_record> records;
  /// All records appended since then are still kept.
  absl::Time complete_since = absl::UnixEpoch();
};

struct log_store_settings {
  absl::Duration retention = absl::InfiniteDuration();
  /// Records that a stream keeps at most.
  int64_t max_records = 1000000;
  /// Appends per second over all streams, with a burst of one second.
  double appends_per_second = 300;
};

/// An append-only log that forgets old records.
struct log_store {
  log_store_settings settings;
  std::map<std::string, log_stream> streams;
  /// Appends that may be made at once.
  double allowance = 0;
  absl::Time allowance_at = absl::InfinitePast();
  int64_t appends = 0;
  int64_t appends_refused = 0;
};

struct new_record {
  std::string id;
  QJsonValue data;
};

/// Takes one append from the rate; returns false when it is used up.
bool TakeAppend(log_store& store, absl::Time now);

/// Appends `records` and returns the offset of the first.
int64_t AppendRecords(log_store& store, const std::string& stream,
                      const std::vector<new_record>& records, absl::Time now);

/// One answer to a read.
struct stored_page {
  std::vector<stored_record> records;
  int64_t next = 1;
  int64_t oldest = 1;
  absl::Time complete_since;
};

/// Returns up to `limit` records that are kept from offset `from`.
stored_page ReadRecords(log_store& store, const std::string& stream,
                        int64_t from, int limit, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_PLATFORM_LOG_STORE_H_
