#include "operators/result_table.h"

#include <QJsonArray>
#include <QString>
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/string_view.h"

namespace anvilridge {
namespace {

constexpr size_t kColumnGap = 2;

QString ToQt(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

// Characters rather than bytes, so that columns stay aligned.
size_t Width(absl::string_view text) {
  return static_cast<size_t>(ToQt(text).size());
}

std::vector<size_t> ColumnWidths(const result_table& table) {
  std::vector<size_t> widths;
  widths.reserve(table.columns.size());
  for (const auto& column : table.columns) widths.push_back(Width(column));
  for (const auto& row : table.rows) {
    for (size_t i = 0; i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], Width(CellText(row[i])));
    }
  }
  return widths;
}

std::string AlignedLine(const std::vector<std::string>& cells,
                        const std::vector<size_t>& widths) {
  std::string line;
  for (size_t i = 0; i < cells.size(); ++i) {
    line += cells[i];
    if (i + 1 == cells.size()) break;
    line.append(widths[i] + kColumnGap - Width(cells[i]), ' ');
  }
  return line + "\n";
}

std::vector<std::string> CellTexts(const std::vector<QJsonValue>& row) {
  std::vector<std::string> texts;
  texts.reserve(row.size());
  for (const QJsonValue& cell : row) texts.push_back(CellText(cell));
  return texts;
}

std::string GroupedText(const result_table& table) {
  std::string text;
  std::string group;
  for (const auto& row : table.rows) {
    auto cells = CellTexts(row);
    if (cells.front() != group) {
      group = cells.front();
      absl::StrAppend(&text, text.empty() ? "" : "\n", group, "\n");
    }
    cells.erase(cells.begin());
    cells.erase(std::remove(cells.begin(), cells.end(), ""), cells.end());
    absl::StrAppend(&text, "  ", absl::StrJoin(cells, "  "), "\n");
  }
  return text;
}

}  // namespace

QJsonValue TextCell(absl::string_view text) { return ToQt(text); }

QJsonValue NumberCell(int64_t number) { return static_cast<double>(number); }

std::string CellText(const QJsonValue& cell) {
  if (cell.isBool()) return cell.toBool() ? "yes" : "no";
  if (cell.isDouble()) return absl::StrCat(cell.toInteger());
  return cell.toString().toStdString();
}

QJsonObject TableJson(const result_table& table) {
  QJsonArray columns;
  for (const auto& column : table.columns) columns.append(ToQt(column));
  QJsonArray rows;
  for (const auto& row : table.rows) {
    QJsonObject json;
    for (size_t i = 0; i < table.columns.size(); ++i) {
      json.insert(ToQt(table.columns[i]), row[i]);
    }
    rows.append(json);
  }
  return {{"api", ToQt(kApiVersion)},
          {"table", ToQt(table.name)},
          {"grouped", table.grouped},
          {"columns", columns},
          {"rows", rows}};
}

std::string TableText(const result_table& table) {
  if (table.rows.empty()) return absl::StrCat("no ", table.name, "\n");
  if (table.grouped) return GroupedText(table);
  const auto widths = ColumnWidths(table);
  std::string text = AlignedLine(table.columns, widths);
  for (const auto& row : table.rows) {
    text += AlignedLine(CellTexts(row), widths);
  }
  return text;
}

result_table TableFromJson(const QJsonObject& json) {
  result_table table;
  table.name = json["table"].toString().toStdString();
  table.grouped = json["grouped"].toBool();
  for (const QJsonValue column : json["columns"].toArray()) {
    table.columns.push_back(column.toString().toStdString());
  }
  for (const QJsonValue row : json["rows"].toArray()) {
    std::vector<QJsonValue> cells;
    for (const auto& column : table.columns) {
      cells.push_back(row.toObject().value(ToQt(column)));
    }
    table.rows.push_back(std::move(cells));
  }
  return table;
}

}  // namespace anvilridge
