#ifndef ANVILRIDGE_TEAMS_TEAM_ACCOUNT_H_
#define ANVILRIDGE_TEAMS_TEAM_ACCOUNT_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "fleet/fleet_team.h"
#include "teams/team_usage.h"

namespace anvilridge {

/// A moving average of a rate.
struct average_rate {
  /// Units per second as of `updated`.
  double rate = 0;
  absl::Time updated = absl::InfinitePast();
};

/// Returns the average at `now`, in units per second.
double RateAt(const average_rate& average, absl::Time now);

/// Adds `units` used at `now`.
void AddUse(average_rate& average, double units, absl::Time now);

/// Use of one team by another daemon.
struct peer_use {
  team_use reported;
  /// The process that has reported it.
  uint64_t incarnation = 0;
  average_rate average;
  /// While the daemon is silent: its share of the cap, the units that it is
  /// assumed to have used, and those of them that were taken from the bucket.
  double share = 0;
  double assumed = 0;
  double taken = 0;
};

/// Bucket of the cap of one team, and its use by all daemons as this one knows
/// it.
struct team_account {
  std::string name;
  usage_cap cap;
  double capacity = 0;
  /// Largest assumed use by silent daemons that is not taken from the bucket.
  double allowance = 0;
  /// Units in the bucket as of `updated`; negative if more was sent than it
  /// had.
  double level = 0;
  absl::Time updated = absl::InfinitePast();
  /// Use by this daemon.
  int64_t sent = 0;
  uint32_t held = 0;
  average_rate average;
  /// `average` as it was at the two last times of settling, the older one
  /// first, and the time of the newer.
  average_rate settled;
  average_rate settling;
  absl::Time settled_at = absl::InfinitePast();
  /// What the other daemons were told of it.
  average_rate announced;
  /// Whether `sent` or `held` has changed since `changed`, the time at which
  /// the last change was noticed.
  bool has_changed = false;
  absl::Time changed = absl::InfinitePast();
  absl::flat_hash_map<std::string, peer_use> peers;
  /// Sum of the units that the other daemons hold.
  double peers_held = 0;
  /// Sum of the shares of the silent ones of `peers`.
  double peers_share = 0;
  /// Share of the cap and assumed use of daemons that exist but were not heard.
  double unheard_share = 0;
  double unheard_assumed = 0;
  double unheard_taken = 0;
  /// Units that this daemon has told callers to return with, as of `updated`.
  double promised = 0;
  /// Refusals in the current time of refusals; 0 outside of one.
  int refusals = 0;
  absl::Time last_refusal = absl::InfinitePast();

  /// Returns the units that may be admitted.
  double Available() const { return level - held - peers_held; }

  /// Returns the share of the cap of the daemons that can't be heard.
  double SilentShare() const;

  /// Returns the units that the bucket may hold: daemons that can't be heard
  /// fill theirs.
  double Capacity() const { return capacity * (1 - SilentShare()); }

  /// Returns the recent use by all daemons, with the part that is divided
  /// evenly.
  /// @param daemons number of daemons, this one included.
  double TotalUse(size_t daemons, absl::Time now) const;

  /// Returns the even part of one daemon, in units per second.
  double EvenUse(size_t daemons) const;

  /// Returns the share of this daemon in the recent use by all.
  double OwnShare(size_t daemons, absl::Time now) const;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_TEAMS_TEAM_ACCOUNT_H_
