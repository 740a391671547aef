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

/// What the homes need from the rest of the daemon.
struct engine_homes_environment {
  std::function<std::shared_ptr<const config_state>()> config;
  /// Whether this daemon is the home of the engine by current membership.
  std::function<bool(absl::string_view engine)> is_home;
  /// Changes whenever `is_home` may answer otherwise by other live daemons.
  std::function<uint64_t()> homes_version;
  std::function<int()> live_daemons;
  /// When a daemon that ran was last lost; infinite past for never.
  std::function<absl::Time()> daemon_lost;
  /// Whether an owner (`daemon:incarnation`) is known to live.
  owner_lives owner_is_live;
  std::function<absl::Time()> now;
};

/// The home's side of placement: keeps a ledger for each engine whose home is
/// this daemon, answers asks against it and corrects it by the engine's own
/// list. Lives on the control thread. A daemon that is wrongly asked answers
/// too; the engine itself has the last word.
class engine_homes {
 public:
  using list_listener = std::function<void(
      const upstream_config& engine, absl::Span<const engine_request> listed)>;
  using decode_callback = std::function<void(absl::StatusOr<decode_answer>)>;
  using prefill_callback = std::function<void(absl::StatusOr<prefill_answer>)>;

  /// `client` must outlive this object.
  engine_homes(http_client& client, engine_homes_environment environment);
  ~engine_homes();

  /// Answers asks and releases of other daemons on `server`.
  void RegisterPeerHandlers(peer_server& server);

  /// Asks for a decode place; a ledger that has never seen the engine's list
  /// fetches it first.
  void Ask(const decode_ask_message& message, decode_callback done);
  void Ask(const prefill_ask_message& message, const prefill_callback& done);
  void Release(const release_message& message);

  /// Says that a request at `engine` waits for its cancel, because its owner is
  /// lost or has forgotten it, so that the engine is listed again soon. Holds
  /// until the next list.
  void WatchOrphan(absl::string_view engine);

  /// Calls `visit` with each decode place promised or used, by engine and
  /// request.
  void ForEachHold(
      const std::function<void(absl::string_view engine, absl::string_view id,
                               const decode_hold& hold)>& visit) const;

  /// Called with every list that arrives, from engines homed here.
  void OnList(list_listener listener);

 private:
  /// Takes the releases that came with another message.
  absl::Status TakeCarried(const QCborMap& request);

  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_ENGINE_HOMES_H_
