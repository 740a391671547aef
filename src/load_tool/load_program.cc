#include "load_tool/load_program.h"

#include <QCoreApplication>
#include <QFile>
#include <QJsonDocument>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <utility>

#include "base/clock.h"
#include "base/event_loop.h"
#include "load_tool/arrival_plan.h"
#include "load_tool/fleet_counters.h"
#include "load_tool/load_report.h"
#include "load_tool/load_run.h"
#include "load_tool/load_summary.h"
#include "metrics/process_usage.h"
#include "upstreams/json_reader.h"

namespace anvilridge {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
// Longer than a prefill result lives, so that every eviction is counted.
constexpr absl::Duration kSettleTime = absl::Milliseconds(1200);
// Within which goodput has to be back after a fault.
constexpr absl::Duration kRecoveryTime = absl::Seconds(5);

using texts = std::vector<std::string>;

struct load_options {
  load_run_options run;
  counter_sources sources;
  double load = 1;
  absl::Duration warm_up;
  absl::Duration measured;
  /// From the start of the run; zero for none.
  absl::Duration fault_at;
  std::string policy;
  std::string scenario;
  std::string output;
};

cxxopts::Options DescribeOptions() {
  cxxopts::Options options("anvil_load",
                           "Open-loop load and experiment tool of anvilridge");
  auto add = options.add_options();
  add("help", "Show this text");
  add("profile", "Request mix and sizes", cxxopts::value<std::string>(),
      "FILE");
  add("capacity", "Print the decode capacity of the profile");
  add("daemons", "Caller ports, ip:port,...", cxxopts::value<texts>());
  add("engines", "Stand-in engines, for their counters",
      cxxopts::value<texts>()->default_value(""));
  add("metrics", "Metrics ports of the daemons",
      cxxopts::value<texts>()->default_value(""));
  add("key", "Caller's key", cxxopts::value<std::string>()->default_value(""));
  add("load", "Share of decode capacity",
      cxxopts::value<double>()->default_value("1"));
  add("seed", "Seed of the arrivals",
      cxxopts::value<uint64_t>()->default_value("1"));
  add("warm-up", "Seconds before the measurement",
      cxxopts::value<double>()->default_value("3"));
  add("seconds", "Seconds measured",
      cxxopts::value<double>()->default_value("8"));
  add("fault-at", "Second of the run at which a fault comes, 0 for none",
      cxxopts::value<double>()->default_value("0"));
  add("policy", "Name of the policy, for the report",
      cxxopts::value<std::string>()->default_value("homes"));
  add("scenario", "Name of the scenario, for the report",
      cxxopts::value<std::string>()->default_value("none"));
  add("output", "JSON file", cxxopts::value<std::string>()->default_value(""));
  add("report", "Report on the JSON files that follow");
  add("plot", "With --report: SVG file",
      cxxopts::value<std::string>()->default_value(""));
  add("files", "", cxxopts::value<texts>()->default_value(""));
  options.parse_positional({"files"});
  return options;
}

absl::StatusOr<std::string> ReadText(const std::string& name) {
  QFile file(QString::fromStdString(name));
  if (!file.open(QIODevice::ReadOnly)) {
    return absl::NotFoundError(name + " can't be read");
  }
  return file.readAll().toStdString();
}

bool WriteText(const std::string& name, const std::string& text) {
  QFile file(QString::fromStdString(name));
  return file.open(QIODevice::WriteOnly) &&
         file.write(text.data(), static_cast<qint64>(text.size())) >= 0;
}

texts WithoutEmpty(texts list) {
  std::erase(list, "");
  return list;
}

load_options ParseOptions(const cxxopts::ParseResult& parsed,
                          load_profile profile) {
  load_options options;
  options.run.daemons = parsed["daemons"].as<texts>();
  options.run.key = parsed["key"].as<std::string>();
  options.run.seed = parsed["seed"].as<uint64_t>();
  options.run.profile = std::move(profile);
  options.sources.engines = WithoutEmpty(parsed["engines"].as<texts>());
  options.sources.daemons = WithoutEmpty(parsed["metrics"].as<texts>());
  options.load = parsed["load"].as<double>();
  options.warm_up = absl::Seconds(parsed["warm-up"].as<double>());
  options.measured = absl::Seconds(parsed["seconds"].as<double>());
  options.fault_at = absl::Seconds(parsed["fault-at"].as<double>());
  options.policy = parsed["policy"].as<std::string>();
  options.scenario = parsed["scenario"].as<std::string>();
  options.output = parsed["output"].as<std::string>();
  return options;
}

// One run: counters, load, a pause in which evictions settle, counters.
class load_experiment {
 public:
  explicit load_experiment(load_options options)
      : options_(std::move(options)), run_(client_, options_.run) {}

  void Start() {
    ReadCounters(client_, options_.sources, [this](fleet_counters counters) {
      before_ = counters;
      RunAfter(&context_, absl::ZeroDuration(), [this] { SendLoad(); });
    });
  }

 private:
  void SendLoad() {
    const load_profile& profile = options_.run.profile;
    const double rate = options_.load * DecodeCapacity(profile);
    started_ = MonotonicNow();
    run_.Start(PlanArrivals(profile, rate, options_.warm_up + options_.measured,
                            options_.run.seed),
               [this](std::vector<request_sample> samples) {
                 samples_ = std::move(samples);
                 RunAfter(&context_, kSettleTime, [this] { ReadAgain(); });
               });
  }

  void ReadAgain() {
    ReadCounters(client_, options_.sources, [this](fleet_counters counters) {
      after_ = counters;
      RunAfter(&context_, absl::ZeroDuration(), [this] { Finish(); });
    });
  }

  QJsonObject Result() const {
    const load_summary summary =
        Summarise(samples_, options_.run.profile.targets, options_.warm_up,
                  options_.warm_up + options_.measured);
    const daemon_counters& used = after_.daemons;
    const double seconds = absl::ToDoubleSeconds(MonotonicNow() - started_);
    const double share = seconds * std::max(1, used.daemons_read);
    double load_averages[1] = {};
    (void)getloadavg(load_averages, 1);
    QJsonObject json = ToJson(summary);
    json["deployment"] = ToQString(options_.run.profile.name);
    json["scenario"] = ToQString(options_.scenario);
    json["policy"] = ToQString(options_.policy);
    json["load"] = options_.load;
    json["seed"] = static_cast<qint64>(options_.run.seed);
    json["wasted_prefill"] = WastedPrefill(before_.engines, after_.engines);
    json["prefilled_tokens"] =
        after_.engines.prefilled_tokens - before_.engines.prefilled_tokens;
    json["cpu_per_daemon"] =
        (used.cpu_seconds - before_.daemons.cpu_seconds) / share;
    json["control_bytes_per_daemon_s"] =
        (used.control_bytes - before_.daemons.control_bytes) / share;
    json["load_tool_cpu"] = ReadProcessUsage().cpu_seconds / seconds;
    json["load_average"] = load_averages[0];
    if (options_.fault_at > absl::ZeroDuration()) AddRecovery(json);
    return json;
  }

  void AddRecovery(QJsonObject& json) const {
    const recovery_summary recovery = SummariseRecovery(
        samples_, options_.run.profile.targets, options_.warm_up,
        options_.fault_at, kRecoveryTime, options_.warm_up + options_.measured);
    json["served_well_before_fault"] = recovery.served_well_before;
    json["served_well_after_recovery"] = recovery.served_well_after;
    json["recovered"] = recovery.Ratio();
  }

  void Finish() {
    const QJsonObject result = Result();
    const std::string text =
        QJsonDocument(result).toJson(QJsonDocument::Indented).toStdString();
    if (!options_.output.empty() && !WriteText(options_.output, text)) {
      std::fprintf(stderr, "anvil_load: can't write %s\n",
                   options_.output.c_str());
      return QCoreApplication::exit(kExitFailed);
    }
    const QJsonObject results[] = {result};
    std::fputs(ReportTable(GroupRuns(results)).c_str(), stdout);
    QCoreApplication::quit();
  }

  load_options options_;
  QObject context_;
  http_client client_;
  load_run run_;
  fleet_counters before_;
  fleet_counters after_;
  std::vector<request_sample> samples_;
  absl::Time started_;
};

int Complain(const std::string& message) {
  std::fprintf(stderr, "anvil_load: %s\n", message.c_str());
  return kExitUsage;
}

int Report(const cxxopts::ParseResult& parsed) {
  std::vector<QJsonObject> runs;
  for (const std::string& name : WithoutEmpty(parsed["files"].as<texts>())) {
    const absl::StatusOr<std::string> text = ReadText(name);
    if (!text.ok()) return Complain(std::string(text.status().message()));
    const auto document =
        QJsonDocument::fromJson(QByteArray::fromStdString(*text));
    if (!document.isObject()) return Complain(name + " is no result");
    runs.push_back(document.object());
  }
  const std::vector<report_group> groups = GroupRuns(runs);
  std::fputs(ReportTable(groups).c_str(), stdout);
  const std::string plot = parsed["plot"].as<std::string>();
  if (!plot.empty() && !WriteText(plot, GoodputPlot(groups))) {
    return Complain("can't write " + plot);
  }
  return 0;
}

int RunParsed(const cxxopts::ParseResult& parsed) {
  if (parsed.count("report") > 0) return Report(parsed);
  if (parsed.count("profile") == 0) return Complain("--profile is required");
  const auto text = ReadText(parsed["profile"].as<std::string>());
  if (!text.ok()) return Complain(std::string(text.status().message()));
  const absl::StatusOr<load_profile> profile = ParseLoadProfile(*text);
  if (!profile.ok()) return Complain(std::string(profile.status().message()));
  if (parsed.count("capacity") > 0) {
    std::printf("%.1f\n", DecodeCapacity(*profile));
    return 0;
  }
  if (parsed.count("daemons") == 0) return Complain("--daemons is required");
  load_experiment experiment(ParseOptions(parsed, *profile));
  experiment.Start();
  return QCoreApplication::exec();
}

}  // namespace

int RunLoadProgram(int count, char** arguments) {
  QCoreApplication application(count, arguments);
  try {
    cxxopts::Options described = DescribeOptions();
    const cxxopts::ParseResult parsed = described.parse(count, arguments);
    if (parsed.count("help") > 0) {
      std::puts(described.help().c_str());
      return 0;
    }
    return RunParsed(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    return Complain(error.what());
  }
}

}  // namespace anvilridge
