#ifndef ANVILRIDGE_MEMBERSHIP_SWIM_NODE_H_
#define ANVILRIDGE_MEMBERSHIP_SWIM_NODE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "membership/member_table.h"
#include "membership/swim_message.h"

namespace anvilridge {

/// Parameters of the failure detector.
struct swim_config {
  /// Time between two probes.
  absl::Duration interval = absl::Seconds(1);
  /// Number of members that ping a target on behalf of this daemon after the
  /// target has not acknowledged a direct ping.
  int indirect_pings = 3;
  /// A suspect is declared dead after this many intervals, multiplied by log10
  /// of the number of running members but at least by 1.
  double suspicion_intervals = 4;
  /// Updates are added to a message of a probe up to this size, in bytes.
  size_t max_probe_bytes = 640;
  /// Intervals between two requests for a part of another member's table.
  int sync_intervals = 10;
  /// Intervals between two attempts to reach an address without a running
  /// member.
  int contact_intervals = 5;
  /// Age at which members that are dead or have left are removed.
  absl::Duration verdict_retention = absl::Minutes(10);
};

/// A datagram to send.
struct swim_send {
  std::string address;
  swim_message message;
};

/// The probe in progress.
struct probe_state {
  /// Name of the probed member; empty once it has acknowledged.
  std::string target;
  uint64_t sequence = 0;
  absl::Time started = absl::InfinitePast();
  /// Whether other members were requested to ping the target.
  bool ping_requests_sent = false;
};

/// An indirect ping that this daemon sent on behalf of another daemon.
struct relayed_ping {
  std::string origin_address;
  uint64_t origin_sequence = 0;
  absl::Time expires;
};

/// State of the failure detector of one daemon.
struct swim_node {
  swim_config config;
  member_table table;
  /// Peer addresses from the settings and the VM list.
  std::vector<std::string> contacts;
  probe_state probe;
  /// Names of the members still to be probed in this round, the next one last.
  std::vector<std::string> probe_order;
  /// Indirect pings without an ack, by the sequence number of the ping.
  std::map<uint64_t, relayed_ping> relayed_pings;
  absl::Time last_tick = absl::InfinitePast();
  absl::Time next_sync = absl::InfinitePast();
  absl::Time next_contact = absl::InfinitePast();
  /// Name of the last member received by table sync; empty to start over.
  std::string sync_cursor;
  /// Whether a table sync has reached the end of another member's table.
  bool joined = false;
};

/// Result of handling a tick or a datagram.
struct swim_result {
  std::vector<swim_send> sends;
  /// Whether a member's state, incarnation, configuration offset or leaving
  /// flag has changed.
  bool changed = false;
  /// Whether this daemon's incarnation has ended; the next one must be above
  /// `seen_incarnation`.
  bool self_expired = false;
  uint64_t seen_incarnation = 0;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_SWIM_NODE_H_
