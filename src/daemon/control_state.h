#ifndef ANVILRIDGE_DAEMON_CONTROL_STATE_H_
#define ANVILRIDGE_DAEMON_CONTROL_STATE_H_

#include <QByteArray>
#include <QObject>
#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "admission/team_limits.h"
#include "base/published.h"
#include "claims/claim_service.h"
#include "config/config_service.h"
#include "daemon/request_registry.h"
#include "membership/membership_service.h"
#include "orphans/canceller.h"
#include "orphans/orphan_sweep.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "placement/engine_homes.h"
#include "placement/placer.h"
#include "platform/log_client.h"
#include "settings/daemon_settings.h"
#include "upstreams/health_table.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Names of upstreams.
using name_set = std::set<std::string, std::less<>>;

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
  team_limits limits;
  health_table health;
  request_registry requests;
  std::map<std::string, orphan_watch, std::less<>> orphans;
  /// Names of the live daemons, by which homes are found.
  std::vector<std::string> live_names;
  /// What homes and owners depend on: the running daemons' incarnations, peer
  /// addresses and plans to leave.
  std::vector<running_daemon> running;
  /// Counts the changes of `running`.
  uint64_t running_version = 0;
  std::map<std::string, std::string, std::less<>> peer_addresses;
  /// The configuration as last packed for a peer, and what was packed.
  QByteArray packed_snapshot;
  std::shared_ptr<const config_state> packed_of;
  bool stopping = false;

  published<config_state> config_in_force;
  published<std::string> owner;
  published<name_set> ejected;
  std::unique_ptr<QTimer> health_timer;
};

/// Peer address of the home of `resource`; empty when it is this daemon.
std::string HomeAddress(const control_state& state, absl::string_view resource);

/// Takes over a change of the live daemons.
void UpdateMembers(control_state& state);

/// Cancels what the engine holds for owners that are gone.
void SweepOrphans(control_state& state, const upstream_config& engine,
                  absl::Span<const engine_request> listed);

/// Notes the result of a call to an upstream.
void ReportUpstream(control_state& state, absl::string_view upstream, bool ok);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_CONTROL_STATE_H_
