#ifndef ANVILRIDGE_DISPATCH_STREAM_RECORD_H_
#define ANVILRIDGE_DISPATCH_STREAM_RECORD_H_

#include <QJsonObject>

#include "absl/time/time.h"

namespace anvilridge {

/// Timings and counts of one stream, for the log line at its end.
struct stream_record {
  /// Events passed on to the caller.
  int events = 0;
  /// Time from the request's arrival to the first event.
  absl::Duration first_event;
  /// Duration of the last prefill.
  absl::Duration prefill;
  /// Tokens that the prefill engine prefilled; fewer than the prompt has if the
  /// engine had some of them cached.
  int64_t prefill_tokens = 0;
  /// Time from the send to the decode engine to its first event.
  absl::Duration decode_first;
  /// Longest pause before an event, and the time from the request's arrival to
  /// the end of that pause.
  absl::Duration longest_gap;
  absl::Duration longest_gap_end;
};

/// Returns the log fields of `record`, with times in milliseconds.
QJsonObject LogFields(const stream_record& record);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_RECORD_H_
