#ifndef ANVILRIDGE_DISPATCH_DISPATCHER_H_
#define ANVILRIDGE_DISPATCH_DISPATCHER_H_

#include <QObject>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "caller/caller_port.h"
#include "dispatch/dispatch_metrics.h"
#include "dispatch/dispatch_settings.h"
#include "dispatch/engine_ledger.h"
#include "dispatch/fleet_speaker.h"
#include "dispatch/stage_plan.h"
#include "fleet/fleet_view.h"

namespace anvilridge {

/// What the streams of each service ask for, at one time.
using workload_sample = std::map<std::string, stream_workload, std::less<>>;

/// Takes the requests of one traffic thread to their upstreams. Made, used and
/// destroyed on that thread.
class dispatcher {
 public:
  /// `context` lives on the traffic thread and outlives this, as `metrics`
  /// does.
  dispatcher(dispatch_settings settings, fleet_speaker speaker,
             dispatch_metrics& metrics, QObject* context);
  ~dispatcher();

  /// Takes other settings from now on.
  void SetSettings(dispatch_settings settings);

  void SetView(std::shared_ptr<const fleet_view> view);
  /// Into how many cells the deployment is cut.
  int Cells() const;

  void Handle(const inbound_request& request,
              const std::shared_ptr<inbound_exchange>& exchange);

  /// Tells that the daemon ends within `grace`: streams that come too late to
  /// end before it are refused.
  void BeginStop(absl::Duration grace);

  /// What this daemon has under way, for the others.
  load_share OwnShare() const;
  workload_sample Workload() const;
  /// Notes that an engine was ordered out of its stage, for up to `longest`.
  void NoteStageOrder(const fleet_upstream& engine, absl::Duration longest);
  void SetPeerShare(absl::string_view peer, load_share share);
  /// Daemons that share the budget, this one included.
  void SetDaemons(int daemons);
  /// `listener` is told when `OwnShare` has changed.
  void OnShareChange(std::function<void()> listener);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DISPATCHER_H_
