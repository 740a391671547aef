#ifndef ANVILRIDGE_DISPATCH_CRASH_CHECK_H_
#define ANVILRIDGE_DISPATCH_CRASH_CHECK_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "fleet/fleet_upstream.h"

namespace anvilridge {

struct dispatch_state;

/// What a check shows of an engine that has broken off a run.
enum class engine_condition {
  /// The instance still responds, so that it has only lost a connection.
  alive,
  /// Nothing listens at its address any more, or another instance does.
  crashed,
  /// The check had no answer, as when the engine is cut off.
  unknown,
};

/// Returns the name of `condition` in logs.
absl::string_view EngineConditionName(engine_condition condition);

/// Receives the result of a check, from the event loop.
using crash_check_listener = std::function<void(engine_condition)>;

/// Checks in progress, by upstream id, with the listeners of each.
using crash_check_table =
    std::map<std::string, std::vector<crash_check_listener>, std::less<>>;

/// Checks whether the instance `engine` has crashed. Checks of one instance at
/// the same time share one call.
/// @param listener called once, never from this function.
void CheckForCrash(dispatch_state& state, const fleet_upstream& engine,
                   crash_check_listener listener);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_CRASH_CHECK_H_
