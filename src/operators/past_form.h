#ifndef ANVILRIDGE_OPERATORS_PAST_FORM_H_
#define ANVILRIDGE_OPERATORS_PAST_FORM_H_

#include <string>

#include "config/config_publisher.h"
#include "config/config_state.h"

namespace anvilridge {

/// Returns what a command does, such as `create pool drafts: role decode,
/// model m1` or `load model m1 version 3 on upstream e4`.
std::string CommandText(const config_command& command);

/// Returns who asked and why, such as `asked by ana against 12, because
/// "spares"`.
std::string AskedText(const config_command& command);

/// Returns what came of it, such as `accepted at 17` or `contested at 18: pool
/// drafts is at version 17; …`.
std::string OutcomeText(const history_entry& entry);

/// Returns the whole of an entry in one line, for those who come next.
std::string PastForm(const history_entry& entry);

/// Returns the same of a command that is not settled.
std::string PastForm(const config_publisher& publisher);

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_PAST_FORM_H_
