#include "load_tool/load_report.h"

#include <algorithm>
#include <iterator>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace anvilridge {
namespace {

using group_key = std::tuple<std::string, std::string, double, std::string>;

int CountRefused(const QJsonObject& kind) {
  int refused = 0;
  const QJsonObject refusals = kind["refusals"].toObject();
  for (const QString& name : refusals.keys()) refused += refusals[name].toInt();
  return refused;
}

int CountFailed(const QJsonObject& kind) {
  int failed = 0;
  const QJsonObject failures = kind["failures"].toObject();
  for (const QString& name : failures.keys()) failed += failures[name].toInt();
  return failed;
}

void AddPercentiles(report_group& group, const std::string& name,
                    const QJsonObject& times) {
  for (const char* rank : {"p50", "p95", "p99"}) {
    Add(group.figures[absl::StrCat(name, "_", rank)], times[rank].toDouble());
  }
}

void AddRun(report_group& group, const QJsonObject& run) {
  const QJsonObject completions = run["completions"].toObject();
  const double requests = std::max(1, completions["requests"].toInt());
  auto& figures = group.figures;
  Add(figures["goodput"], run["goodput"].toDouble());
  Add(figures["goodput_share"], run["goodput_share"].toDouble());
  Add(figures["wasted"], run["wasted_prefill"].toDouble());
  Add(figures["refused"], CountRefused(completions) / requests);
  Add(figures["failed"], CountFailed(completions) / requests);
  Add(figures["cpu"], run["cpu_per_daemon"].toDouble());
  Add(figures["bytes"], run["control_bytes_per_daemon_s"].toDouble());
  Add(figures["load_average"], run["load_average"].toDouble());
  if (run.contains("recovered")) {
    Add(figures["recovered"], run["recovered"].toDouble());
  }
  AddPercentiles(group, "first", run["first_token_ms"].toObject());
  AddPercentiles(group, "gap", run["between_tokens_ms"].toObject());
}

std::string Percent(const spread& s) {
  return absl::StrFormat("%.1f%% (%.1f..%.1f)", 100 * s.Mean(), 100 * s.least,
                         100 * s.most);
}

std::string Plain(const spread& s) {
  return absl::StrFormat("%.1f (%.1f..%.1f)", s.Mean(), s.least, s.most);
}

std::string OptionalPercent(const report_group& group,
                            const std::string& name) {
  const auto figure = group.figures.find(name);
  return figure == group.figures.end() ? "" : Percent(figure->second);
}

std::string Ranks(const report_group& group, const std::string& name) {
  const auto mean = [&](const char* rank) {
    return group.figures.at(absl::StrCat(name, "_", rank)).Mean();
  };
  return absl::StrFormat("%.0f / %.0f / %.0f", mean("p50"), mean("p95"),
                         mean("p99"));
}

constexpr const char* kColours[] = {"#1b6ca8", "#c0392b", "#27864a",
                                    "#8e44ad", "#d68910", "#566573"};
constexpr double kPlotWidth = 560;
constexpr double kPlotHeight = 320;
constexpr double kPlotMargin = 50;

struct plot_scale {
  double least_load = 0;
  double most_load = 1;
  double most_goodput = 1;

  double X(double load) const {
    const double range = std::max(0.01, most_load - least_load);
    return kPlotMargin +
           (load - least_load) / range * (kPlotWidth - 2 * kPlotMargin);
  }
  double Y(double goodput) const {
    return kPlotHeight - kPlotMargin -
           goodput / most_goodput * (kPlotHeight - 2 * kPlotMargin);
  }
};

plot_scale ScaleOf(absl::Span<const report_group> groups) {
  plot_scale scale{groups.front().load, groups.front().load, 1};
  for (const report_group& group : groups) {
    scale.least_load = std::min(scale.least_load, group.load);
    scale.most_load = std::max(scale.most_load, group.load);
    scale.most_goodput =
        std::max(scale.most_goodput, group.figures.at("goodput").most);
  }
  return scale;
}

std::string PlotLine(const std::vector<const report_group*>& line,
                     const std::string& name, const std::string& colour,
                     const plot_scale& scale, int row) {
  std::string points;
  std::string bars;
  for (const report_group* group : line) {
    const spread& goodput = group->figures.at("goodput");
    const double x = scale.X(group->load);
    absl::StrAppend(&points,
                    absl::StrFormat("%.1f,%.1f ", x, scale.Y(goodput.Mean())));
    absl::StrAppend(&bars,
                    absl::StrFormat("<line x1='%.1f' y1='%.1f' x2='%.1f' "
                                    "y2='%.1f' stroke='%s'/>\n",
                                    x, scale.Y(goodput.least), x,
                                    scale.Y(goodput.most), colour));
  }
  constexpr double kRowHeight = 16;
  return absl::StrCat("<polyline fill='none' stroke-width='2' stroke='", colour,
                      "' points='", points, "'/>\n", bars, "<text x='",
                      kPlotMargin + 10, "' y='", 20 + row * kRowHeight,
                      "' fill='", colour, "'>", name, "</text>\n");
}

std::string PlotAxes(const plot_scale& scale) {
  return absl::StrFormat(
      "<line x1='50' y1='270' x2='510' y2='270' stroke='black'/>\n"
      "<line x1='50' y1='50' x2='50' y2='270' stroke='black'/>\n"
      "<text x='180' y='305'>load as a share of decode capacity, "
      "%.1f to %.1f</text>\n"
      "<text x='5' y='45'>%.0f/s</text>\n<text x='30' y='270'>0</text>\n",
      scale.least_load, scale.most_load, scale.most_goodput);
}

}  // namespace

void Add(spread& figure, double value) {
  figure.least = figure.runs == 0 ? value : std::min(figure.least, value);
  figure.most = figure.runs == 0 ? value : std::max(figure.most, value);
  figure.sum += value;
  ++figure.runs;
}

std::vector<report_group> GroupRuns(absl::Span<const QJsonObject> runs) {
  std::map<group_key, report_group> groups;
  for (const QJsonObject& run : runs) {
    const auto text = [&](const char* name) {
      return run[name].toString().toStdString();
    };
    const group_key key{text("deployment"), text("scenario"),
                        run["load"].toDouble(), text("policy")};
    report_group& group = groups[key];
    std::tie(group.deployment, group.scenario, group.load, group.policy) = key;
    AddRun(group, run);
  }
  std::vector<report_group> list;
  list.reserve(groups.size());
  for (auto& [key, group] : groups) list.push_back(std::move(group));
  return list;
}

std::string ReportTable(absl::Span<const report_group> groups) {
  std::string table =
      "| deployment | scenario | load | policy | runs | goodput/s | served "
      "well | wasted prefill | first token ms p50/p95/p99 | between tokens ms "
      "p50/p95/p99 | refused | failed | recovered | CPU/daemon | control "
      "B/s/daemon | "
      "load average |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const report_group& g : groups) {
    const auto& f = g.figures;
    absl::StrAppend(
        &table, "| ", g.deployment, " | ", g.scenario, " | ", g.load, " | ",
        g.policy, " | ", f.at("goodput").runs, " | ", Plain(f.at("goodput")),
        " | ", Percent(f.at("goodput_share")), " | ", Percent(f.at("wasted")),
        " | ", Ranks(g, "first"), " | ", Ranks(g, "gap"), " | ",
        Percent(f.at("refused")), " | ", Percent(f.at("failed")), " | ",
        OptionalPercent(g, "recovered"), " | ", Percent(f.at("cpu")), " | ",
        Plain(f.at("bytes")), " | ", Plain(f.at("load_average")), " |\n");
  }
  return table;
}

std::string GoodputPlot(absl::Span<const report_group> groups) {
  if (groups.empty()) return "";
  std::map<std::string, std::vector<const report_group*>> lines;
  for (const report_group& group : groups) {
    lines[absl::StrCat(group.deployment, " ", group.scenario, " ",
                       group.policy)]
        .push_back(&group);
  }
  const plot_scale scale = ScaleOf(groups);
  std::string svg = absl::StrFormat(
      "<svg xmlns='http://www.w3.org/2000/svg' width='%.0f' height='%.0f' "
      "font-family='sans-serif' font-size='12'>\n",
      kPlotWidth, kPlotHeight);
  absl::StrAppend(&svg, PlotAxes(scale));
  int row = 0;
  for (const auto& [name, line] : lines) {
    absl::StrAppend(
        &svg,
        PlotLine(line, name, kColours[row % std::size(kColours)], scale, row));
    ++row;
  }
  return svg + "</svg>\n";
}

}  // namespace anvilridge
