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

/// Rates of the failure detector.
struct swim_config {
  absl::Duration interval = absl::Seconds(1);
  /// Members asked to probe a target that did not answer.
  int indirect_probes = 3;
  /// Suspicion lasts this many intervals, times log10 of the members.
  double suspicion_intervals = 4;
  /// A regular probe carries updates up to this size.
  size_t probe_bytes = 640;
  /// Intervals between two requests for a piece of another's table.
  int sync_intervals = 10;
  /// Intervals between two tries of an address with no running member.
  int contact_intervals = 5;
  /// How long verdicts are remembered.
  absl::Duration verdict_memory = absl::Minutes(10);
};

/// A datagram to send.
struct swim_send {
  std::string address;
  swim_message message;
};

/// The probe in progress.
struct probe_state {
  std::string target;
  uint64_t sequence = 0;
  absl::Time started = absl::InfinitePast();
  bool asked_others = false;
};

/// A probe made for another daemon.
struct relayed_probe {
  std::string origin_address;
  uint64_t origin_sequence = 0;
  absl::Time expires;
};

/// The failure detector of one daemon.
struct swim_node {
  swim_config config;
  member_table table;
  /// Addresses from settings and the VM list.
  std::vector<std::string> contacts;
  probe_state probe;
  /// Members in the random order in which they are probed.
  std::vector<std::string> probe_order;
  std::map<uint64_t, relayed_probe> relayed;
  absl::Time last_tick = absl::InfinitePast();
  absl::Time next_sync = absl::InfinitePast();
  absl::Time next_contact = absl::InfinitePast();
  std::string sync_cursor;
  /// Whether another's whole table has been read once.
  bool joined = false;
};

/// What follows from a datagram.
struct swim_result {
  std::vector<swim_send> sends;
  /// A member's state, incarnation or offset changed.
  bool changed = false;
  /// This daemon's incarnation is over; take one above `seen_incarnation`.
  bool self_expired = false;
  uint64_t seen_incarnation = 0;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_SWIM_NODE_H_
