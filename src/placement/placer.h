#ifndef ANVILRIDGE_PLACEMENT_PLACER_H_
#define ANVILRIDGE_PLACEMENT_PLACER_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "config/config_state.h"
#include "peer/peer_client.h"
#include "placement/engine_homes.h"
#include "placement/place_request.h"
#include "settings/daemon_settings.h"
#include "upstreams/http_client.h"
#include "upstreams/outlier_ejection.h"

namespace anvilridge {

/// What the placer needs to know of the rest of the daemon.
struct placer_environment {
  std::function<std::shared_ptr<const config_state>()> config;
  /// Peer address of the engine's home; empty when this daemon is the home.
  std::function<std::string(absl::string_view engine)> home_address;
  /// Owner text of this daemon's current incarnation.
  std::function<std::string()> owner;
  /// Whether an engine may be given new work, by its health and its VM.
  std::function<bool(absl::string_view engine)> healthy;
  /// Standing of the upstreams that failed lately; may return null.
  std::function<std::shared_ptr<const health_view>()> health;
  std::function<absl::Time()> now;
  placement_policy policy = placement_policy::homes;
  /// Polls load reports for `placement_policy::least_loaded`, and cache events.
  http_client* client = nullptr;
  /// Whether prefill engines are chosen by their prefix caches.
  bool prefix_affinity = true;
  std::function<int()> live_daemons;
};

/// The entry's side of placement: gets a decode place, then a prefill engine,
/// promised by their homes before any work starts. Lives on the control
/// thread.
class placer {
 public:
  using callback = std::function<void(absl::StatusOr<place_grant>)>;

  /// `peers` and `local` must outlive this object.
  placer(peer_client& peers, engine_homes& local,
         placer_environment environment);
  ~placer();

  /// Places `request`. Fails with `no_upstream`, or with `overloaded` or
  /// `latency_unattainable` and the time to come back in, as soon as it is
  /// clear that the first token can't be served when it is due.
  void Place(const place_request& request, callback done);

  /// Gives up a placement in progress; its callback is not called.
  void Abandon(absl::string_view request_id);

  /// Frees what `outcome`'s request held at the homes.
  void Finish(const place_outcome& outcome);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PLACER_H_
