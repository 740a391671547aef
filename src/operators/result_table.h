#ifndef ANVILRIDGE_OPERATORS_RESULT_TABLE_H_
#define ANVILRIDGE_OPERATORS_RESULT_TABLE_H_

#include <QJsonObject>
#include <QJsonValue>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// Version of the names in answers.
inline constexpr absl::string_view kApiVersion = "v1";

/// The answer to a query. Cells are strings, numbers or booleans.
struct result_table {
  /// Stable name, such as `pools`.
  std::string name;
  std::vector<std::string> columns;
  std::vector<std::vector<QJsonValue>> rows;
  /// Whether the text form groups the rows under their first column.
  bool grouped = false;
};

/// Returns a string cell.
QJsonValue TextCell(absl::string_view text);
/// Returns a number cell.
QJsonValue NumberCell(int64_t number);

/// Returns the text of a cell, as filters compare it.
std::string CellText(const QJsonValue& cell);

/// Returns `{api, table, columns, rows: [{column: cell}]}`.
QJsonObject TableJson(const result_table& table);

/// Returns the table in aligned columns for a person.
std::string TableText(const result_table& table);

/// Returns the table that `TableJson` encoded.
result_table TableFromJson(const QJsonObject& json);

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_RESULT_TABLE_H_
