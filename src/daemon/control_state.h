#ifndef ANVILRIDGE_DAEMON_CONTROL_STATE_H_
#define ANVILRIDGE_DAEMON_CONTROL_STATE_H_

#include <QByteArray>
#include <QObject>
#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission/team_admission.h"
#include "base/published.h"
#include "claims/claim_service.h"
#include "config/config_service.h"
#include "daemon/config_age.h"
#include "daemon/leaving_engines.h"
#include "daemon/operator_cancels.h"
#include "daemon/request_registry.h"
#include "infrastructure/log_client.h"
#include "membership/membership_service.h"
#include "model_loads/model_load_service.h"
#include "orphans/canceller.h"
#include "orphans/orphan_sweep.h"
#include "orphans/ownership_check.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "placement/engine_homes.h"
#include "placement/placer.h"
#include "quarantine/prompt_quarantine.h"
#include "settings/daemon_settings.h"
#include "upstreams/http_client.h"
#include "upstreams/outlier_ejection.h"
#include "upstreams/vm_watch.h"

namespace anvilridge {

/// What decides whether a daemon is home to anything and which owners live.
struct running_daemon {
  owner_id id;
  std::string peer_address;
  bool leaving = false;

  friend bool operator==(const running_daemon&,
                         const running_daemon&) = default;
};

/// The parts of the control plane, on its thread. What traffic threads read
/// directly is `published`.
struct control_state {
  control_state(const daemon_settings& daemon, std::string key);

  daemon_settings settings;
  std::string deployment_key;
  /// Tasks posted here run on the control thread.
  QObject context;

  http_client client;
  log_client log;
  peer_server peers_in;
  peer_client peers_out;
  membership_service membership;
  config_service config;
  engine_homes homes;
  placer places;
  canceller cancels;
  claim_service claims;
  model_load_service loads;
  leaving_engines leaving_elsewhere;
  operator_cancels operator_cancelled;
  team_admission admission;
  health_table health;
  vm_watch vms;
  request_registry requests;
  /// By engine, for those whose home is this daemon.
  std::map<std::string, orphan_watch, std::less<>> orphans;
  std::map<std::string, denial_watch, std::less<>> held;
  /// Names of the live daemons, by which homes are found.
  std::vector<std::string> live_names;
  /// What homes and owners depend on: the running daemons' incarnations, peer
  /// addresses and plans to leave.
  std::vector<running_daemon> running;
  /// Counts the changes of `running`.
  uint64_t running_version = 0;
  /// When an incarnation last left `running`.
  absl::Time last_daemon_loss = absl::InfinitePast();
  std::map<std::string, std::string, std::less<>> peer_addresses;
  /// The configuration as last packed for a peer, and what was packed.
  QByteArray packed_snapshot;
  std::shared_ptr<const config_state> packed_of;
  bool stopping = false;
  config_age age_by_peers;
  /// Requests that this daemon, as their engines' home, found held for nobody.
  uint64_t orphans_cancelled = 0;

  /// What is known of prompts that crash engines.
  prompt_quarantine quarantine;

  published<config_state> config_in_force;
  published<std::string> owner;
  published<health_view> standings;
  published<name_set> ejected;
  /// Upstreams whose VM is leaving.
  published<name_set> leaving;
  /// Engines that get no new work because of an order.
  published<name_set> under_order;
  /// `quarantine` as of its last change.
  published<quarantine_report> quarantine_known;
  std::unique_ptr<QTimer> health_timer;
  std::unique_ptr<QTimer> load_timer;
  std::unique_ptr<QTimer> evidence_timer;
};

/// Peer address of the home of `resource`; empty when it is this daemon.
std::string HomeAddress(const control_state& state, absl::string_view resource);

/// Takes over a change of the live daemons.
void UpdateMembers(control_state& state);

/// Whether an upstream may be given new work, by its health, its VM and the
/// orders given to it. Any thread.
bool TakesWork(const control_state& state, absl::string_view upstream);

/// Cancels at their engines the requests that operators have cancelled, where
/// this daemon is the home that promised their places.
void CancelForOperators(control_state& state);

/// Returns how long the configuration in force may have been out of date.
absl::Duration ConfigAge(const control_state& state);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_CONTROL_STATE_H_
