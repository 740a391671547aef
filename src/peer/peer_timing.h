#ifndef ANVILRIDGE_PEER_PEER_TIMING_H_
#define ANVILRIDGE_PEER_PEER_TIMING_H_

#include "absl/time/time.h"

namespace anvilridge {

/// How long either side of a connection between daemons waits.
struct peer_timing {
  absl::Duration connect_timeout = absl::Milliseconds(500);
  /// Period of the checks for the times below.
  absl::Duration check_period = absl::Milliseconds(500);
  /// Client: a peer that owes answers is pinged after this much silence.
  absl::Duration ping_after = absl::Seconds(1);
  /// Client: a peer is given up this long after a ping without a sign of life.
  absl::Duration pong_timeout = absl::Seconds(3);
  /// Client: a connection without calls is closed after this.
  absl::Duration client_idle = absl::Minutes(1);
  /// Server: longer than `client_idle`, so that it is the client that closes
  /// and no call meets a closing server.
  absl::Duration server_idle = absl::Minutes(3);
  /// Server: a connection without a call that carries the key is closed after
  /// this.
  absl::Duration authorize_timeout = absl::Seconds(5);
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PEER_PEER_TIMING_H_
