#ifndef ANVILRIDGE_TESTS_HARNESS_OPERATOR_LINE_H_
#define ANVILRIDGE_TESTS_HARNESS_OPERATOR_LINE_H_

#include "absl/strings/string_view.h"
#include "harness/fleet.h"
#include "harness/test_http.h"

namespace anvilridge {

/// Gives `line` to the operator port of `daemon` as the administrator; `author`
/// is the operator at the keyboard.
test_answer GiveCommand(const fleet_daemon& daemon, absl::string_view line,
                        absl::string_view author = "ana");

/// Asks `query` of `daemon`.
test_answer AskQuery(const fleet_daemon& daemon, absl::string_view query);

/// Returns the first row of the query's answer; empty when there is none.
QJsonObject FirstRow(const fleet_daemon& daemon, absl::string_view query);

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_OPERATOR_LINE_H_
