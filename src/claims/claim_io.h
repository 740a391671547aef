#ifndef ANVILRIDGE_CLAIMS_CLAIM_IO_H_
#define ANVILRIDGE_CLAIMS_CLAIM_IO_H_

#include <QCborMap>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "base/ids.h"
#include "infrastructure/log_client.h"
#include "membership/membership_service.h"

namespace anvilridge {

/// Functions through which claims use the log, the other daemons, the clocks
/// and timers. All run on the control thread, and so do their callbacks.
struct claim_io {
  /// Appends to the log as `log_client::Append` does.
  std::function<void(const std::string& stream,
                     const std::vector<log_append>& records,
                     std::function<void(absl::StatusOr<int64_t>)> done)>
      append;
  /// Reads the log as `log_client::Read` does with a wait of zero.
  std::function<void(const std::string& stream, int64_t from, int limit,
                     std::function<void(absl::StatusOr<log_page>)> done)>
      read;
  /// Calls another daemon as `peer_client::Call` does.
  std::function<void(const std::string& address, const std::string& method,
                     const QCborMap& request, absl::Duration timeout,
                     std::function<void(absl::StatusOr<QCborMap>)> done)>
      call;
  /// Returns the live daemons.
  std::function<std::vector<member>()> live_members;
  /// Returns the name and the current incarnation of this daemon.
  std::function<owner_id()> self;
  /// Returns the time of the monotonic clock.
  std::function<absl::Time()> now;
  std::function<absl::Time()> wall_now;
  /// Runs `task` once after `delay`.
  std::function<void(absl::Duration delay, std::function<void()> task)>
      run_after;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_IO_H_
