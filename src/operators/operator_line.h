#ifndef ANVILRIDGE_OPERATORS_OPERATOR_LINE_H_
#define ANVILRIDGE_OPERATORS_OPERATOR_LINE_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "config/config_command.h"

namespace anvilridge {

/// What a query asks for.
enum class query_kind { show, show_one, history, handover, follow, help };

/// A condition on the rows of a table.
struct row_filter {
  std::string column;
  /// Whether the cell must contain `value` rather than equal it.
  bool contains = false;
  std::string value;
};

/// A parsed query.
struct operator_query {
  query_kind kind = query_kind::show;
  /// Table of `show`, or the verb of `help`.
  std::string table;
  /// Object of `show_one` and of `history of`.
  std::optional<object_kind> object;
  std::string name;
  std::vector<row_filter> filters;
  /// Beginning of `history` and `handover`.
  std::optional<absl::Time> since;
  /// Newest entries of `history` to show.
  std::optional<int64_t> last;
};

/// A parsed command, which has no id, author and time yet.
struct operator_command {
  config_command command;
  /// Whether `against` named the base version.
  bool has_base_version = false;
  bool dry_run = false;
};

using operator_line = std::variant<operator_query, operator_command>;

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_OPERATOR_LINE_H_
