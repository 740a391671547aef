#ifndef ANVILRIDGE_REQUESTS_REQUEST_SERVICES_H_
#define ANVILRIDGE_REQUESTS_REQUEST_SERVICES_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "claims/claim_service.h"
#include "config/config_state.h"
#include "placement/placement_request.h"
#include "quarantine/prompt_quarantine.h"
#include "requests/request_metrics.h"
#include "settings/daemon_settings.h"
#include "upstreams/outlier_ejection.h"

namespace anvilridge {

/// A request in progress, as operators and the clean-up of orphans see it.
struct active_request {
  std::string request_id;
  std::string team;
  std::string route;
  std::string stage;
  std::string upstream;
  absl::Time since;
  /// The request's id at its engines; empty before there is one.
  std::string engine_request_id;
};

/// A request that an engine is to drop.
struct engine_cancel {
  std::string request_id;
  std::string owner;
  std::string engine;
  std::string address;
};

/// What the flows on a traffic thread ask of the control thread. Each function
/// may be called on the traffic thread; its callback runs there too.
struct request_services {
  /// The configuration in force; null before there is one.
  std::function<std::shared_ptr<const config_state>()> config;
  /// Whether this daemon is still the run that `owner` names, and not paused
  /// past its lease.
  std::function<bool(const std::string& owner)> may_act;
  /// Counts a request against its team's limits; fails when they are used up.
  /// `cancelled` is called when an operator cancels the request, once at most
  /// and not after `leave`, but for a call that is on its way already.
  std::function<void(const active_request&,
                     std::function<void(absl::Status)> done,
                     std::function<void()> cancelled)>
      admit;
  /// Updates the stage and upstream of an admitted request.
  std::function<void(const active_request&)> update;
  /// Ends what `admit` began.
  std::function<void(const std::string& request_id)> leave;
  std::function<void(const placement_request&,
                     std::function<void(absl::StatusOr<placement_grant>)>)>
      place;
  std::function<void(const std::string& request_id)> abandon;
  std::function<void(const placement_outcome&)> finish;
  /// Cancels at the engine until the engine has confirmed it.
  std::function<void(const engine_cancel&)> cancel;
  /// Claims the right to run a call that may not be repeated.
  std::function<void(const claim_request&,
                     std::function<void(absl::StatusOr<claim_result>)>)>
      claim;
  /// Records the answer to a claimed call that was sent.
  std::function<void(const std::string& claim_id, const claim_outcome&)> settle;
  /// Gives back a claim whose call was surely never sent.
  std::function<void(const std::string& claim_id)> release;
  /// Says that a claimed call may have run without an answer.
  std::function<void(const std::string& claim_id)> leave_unknown;
  /// Whether an upstream may be given new work, by its health and its VM.
  std::function<bool(absl::string_view upstream)> healthy;
  /// Standing of the upstreams that failed lately; may return null.
  std::function<std::shared_ptr<const health_view>()> health;
  /// Reports how a call to an upstream went.
  std::function<void(absl::string_view upstream, call_result result)> report;
  /// Returns the verdict that holds back a prompt with `parts`, if there is
  /// one, because engines crash on it.
  std::function<std::optional<quarantine_verdict>(const prompt_parts& parts)>
      verdict_on;
  /// Records that a prompt is sent although it is held back, to find out
  /// whether engines still crash.
  std::function<void(const prompt_parts& parts)> begin_trial;
  /// Reports that `engine` crashed before it sent a token for a prompt.
  std::function<void(const std::string& engine, const prompt_parts& parts)>
      report_crash;
  /// Reports that an engine has sent the first token for a prompt.
  std::function<void(const prompt_parts& parts)> report_handled;
  /// Owner text of this daemon's current incarnation.
  std::function<std::string()> owner;
  /// How many retries there may be, and how soon.
  retry_settings retries;
  /// Shared secret of the deployment, for resume tokens.
  std::string deployment_key;
  request_metrics metrics;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_REQUEST_SERVICES_H_
