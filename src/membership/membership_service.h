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
#include "base/ids.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

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
};

/// Learns which daemons live by random probes over UDP with piggybacked state.
/// Lives on the control thread.
class membership_service {
 public:
  membership_service(const identity_settings& identity,
                     const peer_settings& peers, std::string peer_key);
  ~membership_service();

  /// Binds the UDP port of the peer endpoint `peer_address` and starts probing
  /// the seeds.
  absl::Status Start(absl::string_view peer_address);

  /// This daemon with its current incarnation.
  const owner_id& Self() const;

  /// Whether this daemon may act on what it holds: false from the moment it
  /// was paused longer than its lease until it took a new incarnation.
  bool LeaseValid() const;

  /// All members known, including this daemon and those dead for a while.
  std::vector<member> Members() const;

  /// Members that are alive or suspect and not leaving, this daemon included
  /// unless it is leaving; sorted by name.
  std::vector<member> Live() const;

  /// Whether `owner` is a current incarnation of a member not known dead;
  /// nothing when it has never been heard of.
  std::optional<bool> IsOwnerLive(const owner_id& owner) const;

  /// Adds addresses to probe, from the VM list.
  void AddHints(const std::vector<std::string>& peer_addresses);

  /// Sets the configuration offset that is spread with the probes.
  void SetConfigOffset(int64_t offset);

  /// Announces a planned stop: the others stop giving this daemon homes.
  void Leave();

  /// Called on every change of a member's state, incarnation or offset.
  void OnChange(std::function<void()> listener);

  /// Called when this daemon found its incarnation expired and took a new one.
  void OnExpired(std::function<void(const owner_id& old_self)> listener);

  uint64_t BytesSent() const;
  uint64_t BytesReceived() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_MEMBERSHIP_MEMBERSHIP_SERVICE_H_
