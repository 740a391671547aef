#ifndef ANVILRIDGE_PLACEMENT_HOME_CALLS_H_
#define ANVILRIDGE_PLACEMENT_HOME_CALLS_H_

#include <QObject>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "peer/peer_client.h"
#include "placement/engine_homes.h"
#include "placement/home_messages.h"

namespace anvilridge {

/// State of an entry daemon's calls to the homes of engines, which run in this
/// daemon or in others. Used on one thread only, which has a Qt event loop.
struct home_calls {
  /// Sends calls to the other daemons.
  peer_client* peers = nullptr;
  /// The homes in this daemon.
  engine_homes* local = nullptr;
  /// Returns the peer address of the engine's home; empty when this daemon is
  /// the home.
  std::function<std::string(absl::string_view engine)> home_address;
  /// Releases to be sent in one call, by peer address.
  std::map<std::string, std::vector<release_message>> pending_releases;
  /// Prefill timings to be sent with the next call, by peer address.
  std::map<std::string, std::vector<release_message>> pending_timings;
  /// Owner of the timers that send `pending_releases`; its destruction cancels
  /// them.
  std::unique_ptr<QObject> context = std::make_unique<QObject>();
};

/// Sends the reservation request `message` to the home of `message.engine` and
/// calls `done` with the reply. If the home can't be reached, this daemon
/// decides in its place.
void ReserveAtHome(home_calls& homes, const reserve_decode_message& message,
                   engine_homes::decode_callback done);
void ReserveAtHome(home_calls& homes, const reserve_prefill_message& message,
                   engine_homes::prefill_callback done);

/// Releases a request's reservation at the engine's home, after a short wait in
/// which other releases may join the same call. A release that was lost is not
/// sent again, since the home corrects its ledger by the engine's own list of
/// requests.
void ReleaseAtHome(home_calls& homes, const release_message& message);

/// Reports the duration of a prefill to the home of the prefill engine,
/// together with the next call to that daemon. Prefills need no release: the
/// home removes each from its ledger at its predicted end.
void ReportPrefillTiming(home_calls& homes, const release_message& timing);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_HOME_CALLS_H_
