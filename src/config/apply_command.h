#ifndef ANVILRIDGE_CONFIG_APPLY_COMMAND_H_
#define ANVILRIDGE_CONFIG_APPLY_COMMAND_H_

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "config/config_state.h"
#include "infrastructure/log_client.h"

namespace anvilridge {

/// What a record of the log did to a state.
enum class apply_effect {
  /// It is in the history now, whatever came of it.
  recorded,
  /// A record with the same command id came before.
  duplicate,
  /// The state is already past the record's offset.
  already_applied,
  /// Records between the state and this one are missing; nothing was done.
  gap
};

/// A command that the log takes up later than this after it was given is
/// rejected, so that a writer's late retry does not surprise.
inline constexpr absl::Duration kCommandLife = absl::Minutes(10);

/// Applies the next record of the log. The result depends on nothing but
/// `state` and `record`, so that all daemons agree:
///  - a command against another version than its object's is contested;
///  - one that is not valid, or past its life, is rejected;
///  - both change nothing but the history;
///  - a repeated command id counts once.
apply_effect ApplyRecord(config_state& state, const log_record& record);

/// Returns an error that names what is wrong with `command` for `state`:
/// `config_contested` for a stale version, `config_invalid` otherwise.
absl::Status CheckCommand(const config_state& state,
                          const config_command& command);

/// Returns the newest history entry of a command id, or null.
std::shared_ptr<const history_entry> HistoryOf(const config_state& state,
                                               absl::string_view command_id);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_APPLY_COMMAND_H_
