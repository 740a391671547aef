#ifndef ANVILRIDGE_OPERATORS_COMMAND_RUNNER_H_
#define ANVILRIDGE_OPERATORS_COMMAND_RUNNER_H_

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "operators/authenticate.h"
#include "operators/operator_line.h"
#include "operators/operator_view.h"
#include "operators/result_table.h"

namespace anvilridge {

/// Answers a query other than `follow`. A team's key gets its own team's rows
/// only, and `forbidden` for tables that are not kept by team.
absl::StatusOr<result_table> RunQuery(const operator_query& query,
                                      const operator_view& view,
                                      const principal& who);

/// Returns what the command would touch, without giving it: whether it would
/// be accepted, each field's old and new value, and the routes, upstreams,
/// keys and requests that it concerns.
result_table DryRun(const config_command& command, const operator_view& view);

/// Returns the handover for the incoming pair: what is pending and contested,
/// what changed since `since`, upstreams that drain and pools below strength.
result_table Handover(const operator_view& view, absl::Time since);

/// Sets the base version of a command without `against` to the version in
/// force.
void ResolveBaseVersion(operator_command& parsed, const config_state& config);

/// Whether a team's key may see an entry of the history.
bool TeamSees(const history_entry& entry, absl::string_view team);

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_COMMAND_RUNNER_H_
