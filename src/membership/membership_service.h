#ifndef ANVILRIDGE_MEMBERSHIP_MEMBERSHIP_SERVICE_H_
#define ANVILRIDGE_MEMBERSHIP_MEMBERSHIP_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/ids.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// State of a daemon in SWIM. A daemon announces `left` itself when it stops;
/// while it is leaving but still runs, it is `alive`.
enum class member_state { alive, suspect, dead, left };

/// One daemon of the deployment as recorded by this daemon.
struct member {
  owner_id id;
  /// `ip:port` of the peer endpoint; probes go to the UDP port of this number.
  std::string peer_address;
  std::string failure_domain;
  member_state state = member_state::alive;
  /// Highest configuration offset that the daemon has reported as in force.
  int64_t config_offset = 0;
  /// When the state last changed, by the local monotonic clock.
  absl::Time since;
  /// Whether the daemon has announced a planned stop; it may still finish
  /// requests.
  bool leaving = false;
};

/// Tracks which daemons are alive with the SWIM protocol: random probes over
/// UDP that carry member updates. Functions run on the control thread unless
/// documented as callable on any thread.
///
/// Lease: after a process was paused (frozen, suspended, or its control thread
/// blocked) for longer than the lease, `IsLeaseValid` returns false on every
/// thread, beginning with its first call after the pause. The same holds once
/// the process receives its own dead verdict. Its incarnation ends then, and a
/// new one starts. Other daemons treat an incarnation as ended only when its
/// dead verdict or a higher incarnation has been recorded for the length of a
/// lease. A process that was paused long enough to be declared dead therefore
/// finds its lease expired before it acts.
///
/// Not guaranteed: that a running daemon which is cut off from its peers
/// receives a verdict on itself, nor that no pause falls between a check of the
/// lease and the action that follows. Such a daemon continues to serve. A wrong
/// verdict costs cancelled work; actions that may happen at most once are
/// guarded by the claims log and fencing numbers.
class membership_service {
 public:
  /// Returns the current time; must include time in which the system was
  /// suspended, and be callable on any thread.
  using clock = std::function<absl::Time()>;

  /// `peer_key` authenticates the datagrams of the deployment.
  membership_service(const identity_settings& identity,
                     const peer_settings& peers, std::string peer_key,
                     clock now = MonotonicNow);
  /// Announces to some members that this daemon has left.
  ~membership_service();

  /// Binds the UDP port of the peer endpoint `peer_address` and starts probing
  /// the seeds. Returns an `internal` error when the address is malformed or
  /// the port can't be bound.
  absl::Status Start(absl::string_view peer_address);

  /// Returns this daemon's name with its current incarnation.
  const owner_id& Self() const;

  /// Returns whether the lease of the current incarnation is valid: false after
  /// a pause longer than the lease until a new incarnation starts. May be
  /// called on any thread.
  bool IsLeaseValid() const;

  /// Returns whether `incarnation` is the current one and its lease is valid.
  /// Once false for an earlier or the current incarnation, it stays false. May
  /// be called on any thread.
  bool IsLeaseValid(uint64_t incarnation) const;

  /// Returns all recorded members, including this daemon and, for a limited
  /// time, members that are dead or have left.
  std::vector<member> Members() const;

  /// Returns the members that are alive or suspect and not leaving, sorted by
  /// name; includes this daemon unless it is leaving.
  std::vector<member> Live() const;

  /// Returns whether `owner` may still act: false once its dead verdict or a
  /// higher incarnation has been recorded for the length of a lease, or its
  /// daemon has left; nullopt if no update of this incarnation or a later one
  /// is recorded.
  std::optional<bool> IsOwnerLive(const owner_id& owner) const;

  /// Sets the addresses from the VM list that are contacted besides the seeds;
  /// replaces those of the call before.
  void SetListedAddresses(const std::vector<std::string>& peer_addresses);

  /// Sets this daemon's configuration offset, which its probes carry.
  void SetConfigOffset(int64_t offset);

  /// Announces a planned stop, after which other daemons assign this daemon no
  /// homes. The destructor announces the stop itself.
  void Leave();

  /// Adds a listener for every change of a member's state, incarnation,
  /// configuration offset or leaving flag.
  void OnChange(std::function<void()> listener);

  /// Adds a listener that is called after an expired incarnation of this daemon
  /// was replaced by a new one; `old_self` has the expired incarnation.
  void OnExpired(std::function<void(const owner_id& old_self)> listener);

  /// Returns the number of datagrams dropped as malformed or not authenticated
  /// with the peer key.
  uint64_t DatagramsRejected() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_MEMBERSHIP_SERVICE_H_
