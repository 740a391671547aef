#ifndef ANVILRIDGE_LOAD_TOOL_LOAD_REPORT_H_
#define ANVILRIDGE_LOAD_TOOL_LOAD_REPORT_H_

#include <QJsonObject>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/types/span.h"

namespace anvilridge {

/// Mean and extremes of one figure over the runs of a group.
struct spread {
  double sum = 0;
  double least = 0;
  double most = 0;
  int runs = 0;

  double Mean() const { return runs == 0 ? 0 : sum / runs; }
};

void Add(spread& figure, double value);

/// The runs of one policy at one load.
struct report_group {
  std::string deployment;
  std::string scenario;
  double load = 0;
  std::string policy;
  /// By name of the figure.
  std::map<std::string, spread> figures;
};

/// Groups the JSON results of single runs.
std::vector<report_group> GroupRuns(absl::Span<const QJsonObject> runs);

/// Returns a Markdown table with one row for each group.
std::string ReportTable(absl::Span<const report_group> groups);

/// Returns an SVG plot of goodput over load, one line for each policy.
std::string GoodputPlot(absl::Span<const report_group> groups);

}  // namespace anvilridge

#endif  // ANVILRIDGE_LOAD_TOOL_LOAD_REPORT_H_
