#ifndef ANVILRIDGE_CALLER_CONNECTION_CUT_H_
#define ANVILRIDGE_CALLER_CONNECTION_CUT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// How far a request had come when the port ended its connection.
enum class cut_phase {
  /// The connection was not accepted, so nothing is known of its requests.
  accepting,
  /// Bytes lay unread in the socket.
  unread,
  /// A part of the request had been read.
  receiving,
  /// The request had been handed over; its answer was not whole.
  answering,
  /// The answer was whole; its caller had not taken all of it.
  flushing,
};

/// Why the port ended a connection.
enum class cut_reason {
  /// The connection was to close behind the answer before.
  closing,
  /// The caller took too little of its answer.
  slow_reader,
  /// Callers had not taken so much of their answers that the memory for them
  /// was used up.
  no_memory,
  /// The handler gave the answer up.
  aborted,
  port_closed,
  accept_failed,
};

/// A connection that the port ended although a request on it had no whole
/// answer.
struct connection_cut {
  cut_phase phase = cut_phase::unread;
  cut_reason reason = cut_reason::port_closed;
  /// Bytes of the request that were read or lay unread; while flushing, those
  /// of the answer that were not taken.
  int64_t bytes = 0;
  /// Time since the first byte of the request; zero if it was not read.
  absl::Duration age;
  /// `address:port` of the caller; empty if it is not known.
  std::string caller;
  /// Empty if it is not known.
  std::string request_id;
};

/// Called on the thread of the connection.
using cut_listener = std::function<void(const connection_cut&)>;

/// Return the names in logs and metrics.
absl::string_view CutPhaseName(cut_phase phase);
absl::string_view CutReasonName(cut_reason reason);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_CONNECTION_CUT_H_
