#ifndef ANVILRIDGE_OPERATORS_QUERY_TABLES_H_
#define ANVILRIDGE_OPERATORS_QUERY_TABLES_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "operators/operator_view.h"
#include "operators/result_table.h"

namespace anvilridge {

/// One table of `show`.
struct query_table {
  absl::string_view name;
  /// Kind of the configured objects that it lists; nothing for other tables.
  std::optional<object_kind> object;
  std::vector<std::string> columns;
  /// Fills the rows of `table`, whose columns are set.
  void (*fill)(const operator_view& view, result_table& table);
  /// Column that holds the team a row belongs to; "" when teams may not see
  /// the table.
  absl::string_view team_column;
};

/// Returns all tables of `show`.
const std::vector<query_table>& QueryTables();

/// Returns the table named `name`, or null.
const query_table* FindTable(absl::string_view name);

/// Returns the table that lists objects of `kind`.
const query_table* TableOf(object_kind kind);

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_QUERY_TABLES_H_
