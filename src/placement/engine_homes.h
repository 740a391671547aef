#ifndef ANVILRIDGE_PLACEMENT_ENGINE_HOMES_H_
#define ANVILRIDGE_PLACEMENT_ENGINE_HOMES_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "config/config_state.h"
#include "peer/peer_server.h"
#include "placement/home_messages.h"
#include "upstreams/engine_client.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Access of `engine_homes` to the rest of the daemon.
struct engine_homes_environment {
  /// Configuration in force; null for none.
  std::function<std::shared_ptr<const config_state>()> config;
  /// Returns whether this daemon is the engine's home under the current
  /// membership.
  std::function<bool(absl::string_view engine)> is_home;
  /// Returns a number that changes whenever a change of the live daemons may
  /// change the results of `is_home`.
  std::function<uint64_t()> homes_version;
  std::function<int()> live_daemons;
  /// Returns when a running daemon was last lost; infinite past for never.
  std::function<absl::Time()> last_daemon_loss;
  owner_liveness owner_is_live;
  std::function<absl::Time()> now;
};

/// The home's side of placement: keeps ledgers for each engine whose home is
/// this daemon, grants or refuses reservations from them and corrects them by
/// the engine's own list. Lives on the control thread. Also serves requests for
/// engines that have another home, since the engine itself makes the final
/// decision on admission.
class engine_homes {
 public:
  using list_listener = std::function<void(
      const upstream_config& engine, absl::Span<const engine_request> listed)>;
  using decode_callback =
      std::function<void(absl::StatusOr<reserve_decode_reply>)>;
  using prefill_callback =
      std::function<void(absl::StatusOr<reserve_prefill_reply>)>;

  /// `client` must outlive this object.
  engine_homes(http_client& client, engine_homes_environment environment);
  ~engine_homes();

  /// Registers the handlers of other daemons' reservation requests and releases
  /// on `server`.
  void RegisterPeerHandlers(peer_server& server);

  /// Reserves a decode place. Fetches the engine's list first if none has been
  /// merged yet. The request may be queued: `done` is called with the reply, or
  /// with `not_ready` without a configuration and `no_upstream` for an engine
  /// that is unknown or draining.
  void Reserve(const reserve_decode_message& message, decode_callback done);
  /// Reserves a place in a prefill queue, and the link for the transfer of its
  /// result. Calls `done` before it returns, with the same errors as for a
  /// decode place.
  void Reserve(const reserve_prefill_message& message,
               const prefill_callback& done);
  /// Releases all reservations of a request at an engine, updates the engine's
  /// estimates from the message and serves the queue of decode requests.
  void Release(const release_message& message);

  /// Lists `engine` again soon, because a request there waits to be cancelled:
  /// its owner is lost or no longer tracks it. Has effect until the next list.
  void ExpediteListForOrphan(absl::string_view engine);

  /// Calls `visit` with each decode reservation, ordered by engine and request
  /// id.
  void ForEachDecodeReservation(
      const std::function<void(absl::string_view engine, absl::string_view id,
                               const decode_reservation& reservation)>& visit)
      const;

  /// Adds a listener that is called with every list merged from an engine whose
  /// home is this daemon.
  void AddListListener(list_listener listener);

 private:
  /// Applies the releases that are attached to `request`.
  absl::Status ApplyAttachedReleases(const QCborMap& request);

  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_ENGINE_HOMES_H_
