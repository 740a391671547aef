#ifndef ANVILRIDGE_DISPATCH_STREAM_RECORD_H_
#define ANVILRIDGE_DISPATCH_STREAM_RECORD_H_

#include <QJsonObject>

#include "absl/time/time.h"

namespace anvilridge {

/// What one stream has shown so far, for its last log line.
struct stream_record {
  int events = 0;
  absl::Duration first_event;
  absl::Duration prefill;
  /// Tokens that the prefill engine read; fewer than asked for when it had
  /// some.
  int64_t prefill_tokens = 0;
  /// From the send to the decode engine to its first event.
  absl::Duration decode_first;
  /// Longest pause between events, and when it ended, from the arrival on.
  absl::Duration longest_gap;
  absl::Duration longest_gap_end;
};

/// Returns the log fields of `record`; times are in milliseconds.
QJsonObject LogFields(const stream_record& record);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_RECORD_H_
