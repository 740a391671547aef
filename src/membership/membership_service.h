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

/// `left` is said by a daemon that ends; until then a leaving one is alive.
enum class member_state { alive, suspect, dead, left };

/// What is known of one daemon of the deployment.
struct member {
  owner_id id;
  /// `ip:port` of its peer port; probes go to the UDP port of this number.
  std::string peer_address;
  std::string failure_domain;
  member_state state = member_state::alive;
  /// Highest configuration offset that it said it has in force.
  int64_t config_offset = 0;
  /// When the state last changed, by the local monotonic clock.
  absl::Time since;
  /// It has announced a planned stop, and may still finish requests.
  bool leaving = false;
};

/// Learns which daemons live by random probes over UDP with piggybacked state.
/// Lives on the control thread, but for what says "any thread".
///
/// The lease. A process that stood still (frozen, suspended, or its control
/// thread blocked) longer than the lease finds `LeaseValid` false on every
/// thread from its first call afterwards, and so does one that learns that it
/// was declared dead; its incarnation is then over and a new one is taken. The
/// others treat an incarnation as gone only when a lease has passed since they
/// knew its dead verdict or a higher incarnation. So a process that was paused
/// long enough to be given up sees it before it acts. Not promised: that a
/// daemon which is cut off from its peers, yet runs, knows of a verdict about
/// it, nor that no pause falls between a check and the act after it. Such a
/// daemon keeps serving; a wrong verdict costs cancelled work, and what may
/// happen at most once is guarded by the claims log and fencing numbers.
class membership_service {
 public:
  /// Returns the time of a clock that counts suspended time; any thread.
  using clock = std::function<absl::Time()>;

  membership_service(const identity_settings& identity,
                     const peer_settings& peers, std::string peer_key,
                     clock now = MonotonicNow);
  ~membership_service();

  /// Binds the UDP port of the peer endpoint `peer_address` and starts probing
  /// the seeds.
  absl::Status Start(absl::string_view peer_address);

  /// This daemon with its current incarnation.
  const owner_id& Self() const;

  /// Whether this daemon may act on what it holds: false from the moment it
  /// was paused longer than its lease until it took a new incarnation. Any
  /// thread.
  bool LeaseValid() const;

  /// As above, for what was begun under `incarnation`: false for good once
  /// that one is over. Any thread.
  bool LeaseValid(uint64_t incarnation) const;

  /// All members known, including this daemon and those dead for a while.
  std::vector<member> Members() const;

  /// Members that are alive or suspect and not leaving, this daemon included
  /// unless it is leaving; sorted by name.
  std::vector<member> Live() const;

  /// Whether `owner` may still act: true until its dead verdict or a higher
  /// incarnation has been known for a lease, or it has said that it ended;
  /// nothing when it has never been heard of.
  std::optional<bool> IsOwnerLive(const owner_id& owner) const;

  /// Adds addresses to probe, from the VM list.
  void AddHints(const std::vector<std::string>& peer_addresses);

  /// Sets the configuration offset that is spread with the probes.
  void SetConfigOffset(int64_t offset);

  /// Announces a planned stop: the others stop giving this daemon homes. Its
  /// end is told when this object is destroyed.
  void Leave();

  /// Called on every change of a member's state, incarnation or offset.
  void OnChange(std::function<void()> listener);

  /// Called when this daemon found its incarnation expired and took a new one.
  void OnExpired(std::function<void(const owner_id& old_self)> listener);

  /// Datagrams dropped as malformed or not authenticated by the peer key.
  uint64_t DatagramsRejected() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_MEMBERSHIP_SERVICE_H_
