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
#include "dispatch/fleet_protocol.h"
#include "dispatch/open_request.h"
#include "dispatch/stage_plan.h"
#include "dispatch/upstream_statement.h"
#include "fleet/fleet_view.h"
#include "quarantine/prompt_quarantine.h"

namespace anvilridge {

/// Workload of the streams of each service at one time, by service.
using service_workloads = std::map<std::string, stream_workload, std::less<>>;

/// Routes the requests of one traffic thread to upstreams and passes the
/// responses back. Must be created, used and destroyed on that thread.
class dispatcher {
 public:
  /// @param metrics must outlive the dispatcher.
  /// @param context must live on the traffic thread and outlive the dispatcher.
  dispatcher(dispatch_settings settings, fleet_protocol protocol,
             dispatch_metrics& metrics, QObject* context);
  ~dispatcher();

  /// Replaces the settings.
  void SetSettings(dispatch_settings settings);

  /// Replaces the configuration and the list of registered upstreams.
  void SetView(std::shared_ptr<const fleet_view> view);
  /// Returns the number of cells into which the deployment is divided.
  int Cells() const;

  /// Returns whether the configuration has teams, so that `CheckHead` is to be
  /// called.
  bool ChecksHeads() const;
  /// Returns an error, which it logs and counts, for a request that needs a key
  /// of a team and has none, or that no route matches.
  /// @param head the request without its body, which has not arrived whole.
  absl::Status CheckHead(const inbound_request& head);

  /// Routes `request` and responds on `exchange`, now or later. Requests that
  /// can't be routed are refused.
  void Handle(const inbound_request& request,
              const std::shared_ptr<inbound_exchange>& exchange);

  /// Prepares for the end of the daemon: refuses what is not expected to end
  /// by `deadline`, and sends a final response then to what has none yet.
  /// @param earliest_end time before which the daemon doesn't end, even without
  ///     requests.
  void BeginStop(absl::Time earliest_end, absl::Time deadline);

  /// Refuses all further requests; those in progress go on.
  void BeginClose();

  /// Returns the requests that were accepted and not answered yet.
  const open_request_table& OpenRequests() const;

  /// Returns the load of this daemon, to be announced to the other daemons: its
  /// requests in flight, waiting streams, engines that change their stage, and
  /// unreachable and leaving upstreams.
  daemon_load OwnLoad();
  /// Returns the workload of each service's streams, measured by this daemon.
  service_workloads Workload() const;
  /// Records that this daemon ordered `engine` to leave its stage. The engine
  /// gets no work until it is registered with another stage.
  /// @param max_duration time for which it may remain registered with its old
  ///     stage; after that it may get work again.
  void RecordStageOrder(const fleet_upstream& engine,
                        absl::Duration max_duration);
  /// Replaces the load that the daemon `peer` has announced.
  void SetPeerLoad(absl::string_view peer, daemon_load share);
  /// Sets the number of daemons, including this one, that share the budget for
  /// extra sends and the caps of the teams.
  void SetDaemonCount(int daemons);
  /// Records what `upstream` has stated in a response to a call that this
  /// daemon made elsewhere.
  /// @param source kind of the call, for the log.
  void RecordStatement(const fleet_upstream& upstream,
                       const upstream_statement& statement,
                       absl::string_view source);
  /// Returns what the upstreams have stated about themselves.
  const stated_absences& Absences() const;
  /// Sets the function that is called when `Absences` has changed.
  void OnAbsenceChange(std::function<void()> listener);
  /// Returns what this daemon knows of prompts that crash engines, to be sent
  /// to the other daemons.
  staged_evidence Evidence() const;
  /// Adds what another daemon knows of such prompts.
  void AddEvidence(const staged_evidence& evidence);
  /// Returns the evidence and the verdicts, for operators.
  quarantine_report Quarantine() const;
  /// Lifts the quarantine of a part of prompts at all daemons.
  void LiftQuarantine(prompt_part part);
  /// Sets the function that is called when `Evidence` has changed.
  void OnEvidenceChange(std::function<void()> listener);
  /// Sets the function that is called when `OwnLoad` has changed.
  void OnLoadChange(std::function<void()> listener);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DISPATCHER_H_
