#ifndef ANVILRIDGE_SHARING_SHARE_PORT_H_
#define ANVILRIDGE_SHARING_SHARE_PORT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "dispatch/engine_ledger.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// What a share port asks for and tells.
struct share_handler {
  std::function<load_share()> own_share;
  /// `peer` is the sender's `a.b.c.d:port`.
  std::function<void(absl::string_view peer, load_share share)> on_share;
  /// How many daemons there are, this one included.
  std::function<void(int daemons)> on_daemons;
};

/// Tells the other daemons over UDP what this one has under way at engines, at
/// each change and now and then, and takes what they tell. A lost message is
/// made good by the next one. Made, used and destroyed on one thread with a Qt
/// event loop.
class share_port {
 public:
  explicit share_port(share_handler handler);
  ~share_port();

  absl::Status Listen(const endpoint& listen);

  /// Sets the daemons known to the store, by `a.b.c.d:port`; this one may be
  /// among them. Daemons that are heard are added by themselves.
  void SetPeers(const std::vector<std::string>& peers);

  /// Sets into how many cells the deployment is cut. What this daemon has under
  /// way is told to those of its cell; others only introduce daemons to it.
  void SetCells(int cells);

  /// Notes that the own share has changed.
  void NoteChange();

  /// Tells the others that this daemon leaves.
  void Leave();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_SHARING_SHARE_PORT_H_
