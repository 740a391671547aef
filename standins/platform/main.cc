#include <QCoreApplication>
#include <cstdio>
#include <cxxopts.hpp>

#include "platform/platform_server.h"

namespace anvilridge {
namespace {

cxxopts::Options DescribeOptions() {
  cxxopts::Options options("standin_platform",
                           "Stand-in for the log, VM list and weight store");
  auto add = options.add_options();
  add("help", "Show this text");
  add("port", "0 to choose one",
      cxxopts::value<uint16_t>()->default_value("0"));
  add("ports-file", "Also write the port here",
      cxxopts::value<std::string>()->default_value(""));
  add("id", "Name", cxxopts::value<std::string>()->default_value("platform"));
  add("retention-ms", "Life of a log record; 0 for no end",
      cxxopts::value<double>()->default_value("0"));
  add("max-records", "Records that a stream keeps",
      cxxopts::value<int64_t>()->default_value("1000000"));
  add("appends-per-second", "Append rate over all streams",
      cxxopts::value<double>()->default_value("300"));
  add("vms-lag-ms", "Delay of changes to the VM list",
      cxxopts::value<double>()->default_value("2000"));
  add("weights-ms", "Time of one delivery of weights",
      cxxopts::value<double>()->default_value("3000"));
  return options;
}

platform_standin_settings ParseSettings(const cxxopts::ParseResult& parsed) {
  platform_standin_settings settings;
  const double retention_ms = parsed["retention-ms"].as<double>();
  if (retention_ms > 0) {
    settings.log.retention = absl::Milliseconds(retention_ms);
  }
  settings.log.max_records = parsed["max-records"].as<int64_t>();
  settings.log.appends_per_second = parsed["appends-per-second"].as<double>();
  settings.vms_lag = absl::Milliseconds(parsed["vms-lag-ms"].as<double>());
  settings.weights_time = absl::Milliseconds(parsed["weights-ms"].as<double>());
  return settings;
}

int RunPlatform(int argc, char** argv) {
  QCoreApplication application(argc, argv);
  cxxopts::Options described = DescribeOptions();
  const cxxopts::ParseResult parsed = described.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::puts(described.help().c_str());
    return 0;
  }
  platform_server server(ParseSettings(parsed));
  const bool listening =
      ListenAndAnnounce(server.Http(), parsed["port"].as<uint16_t>(),
                        parsed["ports-file"].as<std::string>());
  return listening ? QCoreApplication::exec() : 1;
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  try {
    return anvilridge::RunPlatform(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
