#include "caller/room_choice.h"

namespace anvilridge {
namespace {

// Time without a byte sent or taken after which a caller makes no progress:
// several round trips, so that one that waits for the network isn't ended.
constexpr absl::Duration kNoProgress = absl::Milliseconds(250);
// Bytes up to which ending a connection makes too little room.
constexpr int64_t kLeastRoom = 4 << 10;

}  // namespace

std::optional<size_t> ChooseConnectionToEnd(
    absl::Span<const held_connection> connections, absl::Time now) {
  std::optional<size_t> chosen;
  int64_t most = kLeastRoom;
  for (size_t i = 0; i < connections.size(); ++i) {
    const held_connection& connection = connections[i];
    if (connection.bytes <= most) continue;
    if (now - connection.last_progress < kNoProgress) continue;
    chosen = i;
    most = connection.bytes;
  }
  return chosen;
}

}  // namespace anvilridge
