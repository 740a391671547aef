#ifndef ANVILRIDGE_PLACEMENT_HOME_CALLS_H_
#define ANVILRIDGE_PLACEMENT_HOME_CALLS_H_

#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "peer/peer_client.h"
#include "placement/engine_homes.h"
#include "placement/home_messages.h"

namespace anvilridge {

/// The way to the homes of engines, here or at other daemons.
struct home_calls {
  peer_client* peers = nullptr;
  engine_homes* local = nullptr;
  /// Peer address of the engine's home; empty when this daemon is the home.
  std::function<std::string(absl::string_view engine)> home_address;
};

/// Asks the home of the engine that `message` names.
void AskHome(const home_calls& homes, const decode_ask_message& message,
             engine_homes::decode_callback done);
void AskHome(const home_calls& homes, const prefill_ask_message& message,
             const engine_homes::prefill_callback& done);

/// Tells the engine's home what a request no longer holds; not repeated when
/// it is lost, since the engine's own list corrects the home.
void ReleaseAtHome(const home_calls& homes, const release_message& message);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_HOME_CALLS_H_
