#ifndef ANVILRIDGE_SHARING_LOAD_EXCHANGE_H_
#define ANVILRIDGE_SHARING_LOAD_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "dispatch/engine_ledger.h"
#include "fleet/topic_report.h"
#include "quarantine/crash_evidence.h"
#include "settings/daemon_settings.h"
#include "sharing/group_listing.h"

namespace anvilridge {

/// Callbacks of a load exchange.
struct load_exchange_handler {
  /// Returns the current load of this daemon.
  std::function<daemon_load()> own_load;
  /// Receives the load of another daemon. `peer` is the sender's
  /// `a.b.c.d:port`.
  std::function<void(absl::string_view peer, daemon_load share)> on_load;
  /// Returns what this daemon knows of prompts that crash engines.
  std::function<staged_evidence()> evidence = [] { return staged_evidence(); };
  /// Receives what another daemon knows.
  std::function<void(const staged_evidence&)> on_evidence =
      [](const staged_evidence&) {};
  /// Receives the number of daemons, this one included, when it changes. Not
  /// called for a first or a lower number that may come from a cut: before the
  /// store has listed the daemons or another one was heard, and while most of
  /// the listed ones are silent.
  std::function<void(int daemons)> on_daemon_count;
  /// Receives what this daemon knows of the others, when it changes.
  std::function<void(const group_knowledge&)> on_group_knowledge =
      [](const group_knowledge&) {};
  /// Called when this daemon begins or ceases to be one of those that read the
  /// store for the daemons of its cell.
  std::function<void(bool is_reader)> on_store_reader = [](bool) {};
  /// Receives what a reader reports of the store.
  std::function<void(store_report)> on_store_report = [](const store_report&) {
  };
};

/// Exchanges load with the other daemons over UDP: sends what this daemon has
/// in flight at the engines, on each change and periodically, and receives the
/// same from the others. Each message carries the complete load, so the next
/// message makes up for a lost one. Must be created, used and destroyed on one
/// thread with a Qt event loop.
class load_exchange {
 public:
  explicit load_exchange(load_exchange_handler handler);
  ~load_exchange();

  /// Binds the UDP socket to `listen` and starts the exchange.
  /// @return `internal` if the address can't be bound.
  absl::Status Listen(const endpoint& listen);

  /// Sets the daemons that the store lists, by `a.b.c.d:port`; this one may be
  /// among them. Daemons found through messages are added automatically.
  void SetPeers(const std::vector<std::string>& peers);

  /// Sets the number of cells of the deployment. This daemon sends its load
  /// only to daemons of its own cell; daemons of other cells only send it the
  /// addresses of daemons.
  void SetCells(int cells);

  /// Schedules a message after a change of this daemon's load.
  void ScheduleSend();

  /// Schedules messages after a change of this daemon's evidence, which is also
  /// sent to some daemons of other cells. What has changed because of another
  /// daemon's message is sent with the next message that is due.
  void ScheduleEvidence();

  /// Sends `report` to the daemons of this daemon's cell.
  void SendStoreReport(const store_report& report);

  /// Sends a last message, which announces that this daemon is stopping.
  void AnnounceLeaving();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_SHARING_LOAD_EXCHANGE_H_
