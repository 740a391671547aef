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
#include "placement/placement_request.h"
#include "settings/daemon_settings.h"
#include "upstreams/http_client.h"
#include "upstreams/outlier_ejection.h"

namespace anvilridge {

/// Settings of `placer`, and functions that it calls in the rest of the daemon.
struct placer_environment {
  /// Returns the configuration in force; null while there is none.
  std::function<std::shared_ptr<const config_state>()> config;
  /// Returns the peer address of the engine's home; empty when this daemon is
  /// the home.
  std::function<std::string(absl::string_view engine)> home_address;
  /// Returns the owner text (`daemon:incarnation`) of this daemon's current
  /// incarnation.
  std::function<std::string()> owner;
  /// Returns whether an engine may get new work, by its health and its VM.
  std::function<bool(absl::string_view engine)> healthy;
  /// Returns the health of the upstreams that failed recently; may return null.
  std::function<std::shared_ptr<const health_view>()> health;
  /// Returns the monotonic time, the clock of
  /// `placement_request::first_token_due`.
  std::function<absl::Time()> now;
  placement_policy policy = placement_policy::homes;
  /// Polls load reports for `placement_policy::least_loaded`, and cache events.
  http_client* client = nullptr;
  /// Whether prefill engines that may have the prompt's prefix cached are
  /// preferred; only with `placement_policy::homes`.
  bool prefix_affinity = true;
  /// Returns the number of live daemons of the deployment.
  std::function<int()> live_daemons;
};

/// Chooses the engines for requests at their entry daemon. With
/// `placement_policy::homes`, it reserves a decode place and then a prefill at
/// the homes of the engines before any work starts; the other policies choose
/// without reservations. Used on the control thread only.
class placer {
 public:
  using callback = std::function<void(absl::StatusOr<placement_grant>)>;

  /// `peers` and `local` must outlive this object.
  placer(peer_client& peers, engine_homes& local,
         placer_environment environment);
  ~placer();

  /// Places `request` and calls `done` with the chosen engines or an error:
  /// `not_ready` without a configuration, `unknown_route`, or `no_upstream` if
  /// no engine is available. As soon as the first token is predicted to miss
  /// its due time, the error is `overloaded` (no decode place) or
  /// `latency_unattainable` (no prefill), with the time after which to retry.
  void Place(const placement_request& request, callback done);

  /// Ends a placement in progress without calling its callback. Unknown ids are
  /// ignored.
  void Abandon(absl::string_view request_id);

  /// Releases the decode place of the request in `outcome` at its home, and
  /// reports the duration of its prefill to the home of the prefill engine.
  void Finish(const placement_outcome& outcome);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PLACER_H_
