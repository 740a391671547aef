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

/// The way to the homes of engines, here or at other daemons. Lives on one
/// thread with a Qt event loop.
struct home_calls {
  peer_client* peers = nullptr;
  engine_homes* local = nullptr;
  /// Peer address of the engine's home; empty when this daemon is the home.
  std::function<std::string(absl::string_view engine)> home_address;
  /// Releases that wait a moment for others to the same daemon.
  std::map<std::string, std::vector<release_message>> releases;
  /// What was learned of prefill engines, until a message goes to their home.
  std::map<std::string, std::vector<release_message>> lessons;
  /// Ends the wait when it goes.
  std::unique_ptr<QObject> context = std::make_unique<QObject>();
};

/// Asks the home of the engine that `message` names.
void AskHome(home_calls& homes, const decode_ask_message& message,
             engine_homes::decode_callback done);
void AskHome(home_calls& homes, const prefill_ask_message& message,
             engine_homes::prefill_callback done);

/// Tells the engine's home what a request no longer holds; not repeated when
/// it is lost, since the engine's own list corrects the home.
void ReleaseAtHome(home_calls& homes, const release_message& message);

/// Tells the home of a prefill engine how a prefill went, with the next message
/// to it. Its queue is worked off without a release.
void TeachHome(home_calls& homes, const release_message& lesson);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_HOME_CALLS_H_
