#ifndef ANVILRIDGE_CONFIG_CONFIG_FOLLOWER_H_
#define ANVILRIDGE_CONFIG_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "config/config_state.h"
#include "infrastructure/log_client.h"

namespace anvilridge {

/// What another daemon says of its configuration.
struct peer_offset {
  /// `ip:port` of its peer port.
  std::string address;
  /// Highest offset that it has in force; zero for none.
  int64_t offset = 0;
  /// Whether it is known to be live; a suspect or dead one is not.
  bool live = true;
};

/// Times and sizes of following the log.
struct follow_limits {
  int page_records = 200;
  absl::Duration long_poll = absl::Seconds(3);
  absl::Duration retry_delay = absl::Milliseconds(500);
  /// How long a peer may be ahead before its snapshot is asked for, while the
  /// log answers.
  absl::Duration peer_grace = absl::Seconds(1);
  absl::Duration log_retention = absl::Hours(24);
  /// Records after the newest snapshot that make another one due.
  int64_t snapshot_records = 200;
  /// Snapshots of all daemons are spread so that about one in this time is
  /// attempted when one is due.
  absl::Duration snapshot_spacing = absl::Seconds(2);
};

/// How far the follower has come.
enum class follow_phase {
  /// Looks for the end of the snapshot stream.
  find_snapshot,
  /// Reads snapshots backwards from the newest until one is whole.
  read_snapshot,
  /// Reads the configuration stream.
  read_records
};

/// What the follower wants done next towards the log.
struct follow_step {
  enum class action {
    read_snapshots,  ///< Read the snapshot stream.
    read_records,    ///< Read the configuration stream.
    pause            ///< Do nothing for `wait`.
  };
  action what = action::pause;
  int64_t from = 1;
  int limit = 1;
  /// Long poll, or the pause.
  absl::Duration wait;
};

/// The state of following the configuration stream: a value without I/O.
struct config_follower {
  follow_limits limits;
  follow_phase phase = follow_phase::find_snapshot;
  /// The configuration in force; null until one source gave a whole state.
  std::shared_ptr<const config_state> in_force;
  /// A state being read that is not in force until it is whole.
  std::optional<config_state> reading;
  /// Offset in the snapshot stream to look at, in `read_snapshot`.
  int64_t snapshot_at = 0;
  int64_t oldest_snapshot = 1;
  /// The configuration's offset in the newest snapshot known, and when the log
  /// recorded it.
  int64_t snapshot_offset = 0;
  absl::Time snapshot_time = absl::InfinitePast();
  /// Oldest record that the log was last seen to keep.
  int64_t oldest_record = 1;
  /// Since when the log has not answered; infinite future while it does.
  absl::Time log_out_since = absl::InfiniteFuture();
  /// Since when a peer has been ahead; infinite future while none is.
  absl::Time behind_since = absl::InfiniteFuture();
  /// Whether records expired before they were read: a newer snapshot must be
  /// found, in the log or at a peer.
  bool stranded = false;
  absl::Time retry_at = absl::InfinitePast();
  /// Set when a snapshot was found due; kept until one is seen.
  absl::Time write_snapshot_at = absl::InfiniteFuture();
};

/// Returns the offset in force; zero for none.
int64_t OffsetInForce(const config_follower& follower);

/// Returns what to do next towards the log.
follow_step NextFollowStep(const config_follower& follower, absl::Time now);

/// Takes the answer to a `read_snapshots` step.
void OnSnapshots(config_follower& follower,
                 const absl::StatusOr<log_page>& page, absl::Time now);

/// Takes the answer to a `read_records` step.
void OnRecords(config_follower& follower, const absl::StatusOr<log_page>& page,
               absl::Time now);

/// Returns the peer to ask for its snapshot, or null: the one furthest ahead,
/// once the log is out, can't help, or is slower than the peers.
const peer_offset* PeerToAsk(config_follower& follower,
                             const std::vector<peer_offset>& peers,
                             absl::Time now);

/// Takes a peer's snapshot; returns whether it went into force, which it does
/// only if it is newer than what is in force.
bool OnPeerSnapshot(config_follower& follower, config_state state);

/// Returns whether this daemon should append a snapshot now. `jitter` is
/// between 0 and 1, `live_daemons` spreads the attempts; the newest snapshot
/// must be looked up again before one is written.
bool SnapshotDue(config_follower& follower, absl::Time wall_now, double jitter,
                 size_t live_daemons);

/// Notes that a snapshot of `offset` is in the log since `time`.
void NoteSnapshot(config_follower& follower, int64_t offset, absl::Time time);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_CONFIG_FOLLOWER_H_
