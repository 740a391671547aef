// Runs the soak by hand, with any seeds.
#include <QCoreApplication>
#include <cstdio>
#include <cxxopts.hpp>

#include "soak/soak_checks.h"
#include "soak/soak_run.h"

namespace anvilridge {
namespace {

int RunSeeds(const cxxopts::ParseResult& parsed) {
  int failed = 0;
  soak_options options;
  options.daemons = parsed["daemons"].as<int>();
  options.disturbed = absl::Seconds(parsed["seconds"].as<int>());
  options.rate = parsed["rate"].as<double>();
  options.decode_engines = parsed["decode-engines"].as<int>();
  options.slack = parsed["slack"].as<int>();
  options.ratio = parsed["ratio"].as<double>();
  options.herds = parsed["herds"].as<bool>();
  options.stops = parsed["stops"].as<bool>();
  options.silences = parsed["silences"].as<bool>();
  options.statements = parsed["statements"].as<bool>();
  options.crashing_prompts = parsed["crashing-prompts"].as<bool>();
  options.failing_prefills = parsed["failing-prefills"].as<bool>();
  options.endless_answers = parsed["endless-answers"].as<bool>();
  options.teams = parsed["teams"].as<bool>();
  options.program = parsed["program"].as<std::string>();
  if (const auto plant = parsed["plant"].as<std::string>();
      plant == "lost_cancel") {
    options.hide_close = true;
  } else if (plant == "no_bound") {
    options.machine_mb = kUnboundedMachineMb;
    options.endless_services = options.services;
    options.long_calls = true;
  } else if (!plant.empty()) {
    options.program = "planted_daemon";
    options.arguments = {plant};
  }
  const auto first = parsed["seed"].as<uint64_t>();
  const auto count = parsed["count"].as<uint64_t>();
  for (uint64_t seed = first; seed < first + count; ++seed) {
    options.seed = seed;
    const soak_result result =
        RunSoak(options, parsed["logs"].as<std::string>());
    const auto broken = BrokenPromises(result.record);
    std::printf(
        "seed %llu: %zu requests, %d silenced, %d crossed a close, %zu steps, "
        "%zu broken\n",
        static_cast<unsigned long long>(seed), result.record.callers.size(),
        SilencedRequests(result.record), CrossedRequests(result.record),
        result.steps.size(), broken.size());
    for (const std::string& line : broken) std::printf("  %s\n", line.c_str());
    if (!broken.empty()) {
      ++failed;
      for (const std::string& step : result.steps) {
        std::printf("    %s\n", step.c_str());
      }
    }
    std::fflush(stdout);
  }
  return failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace anvilridge

int main(int count, char** arguments) {
  QCoreApplication application(count, arguments);
  cxxopts::Options options("anvil_soak", "Disturbs daemons as seeds say");
  auto add = options.add_options();
  add("program", "Program of the daemons",
      cxxopts::value<std::string>()->default_value("anvilridge_fleet"));
  add("seed", "First seed", cxxopts::value<uint64_t>()->default_value("1"));
  add("count", "Seeds to run", cxxopts::value<uint64_t>()->default_value("1"));
  add("daemons", "Daemons", cxxopts::value<int>()->default_value("3"));
  add("seconds", "Disturbed span", cxxopts::value<int>()->default_value("8"));
  add("rate", "Requests a second",
      cxxopts::value<double>()->default_value("40"));
  add("decode-engines", "Decode engines; each serves 8 streams a second",
      cxxopts::value<int>()->default_value("4"));
  add("slack", "Slack of the send budget",
      cxxopts::value<int>()->default_value("200"));
  add("ratio", "Ratio of the send budget",
      cxxopts::value<double>()->default_value("0.2"));
  add("silences", "Upstreams fall silent and go on, beside other disturbances");
  add("statements",
      "Upstreams state that they leave or want nothing for a time, beside "
      "other disturbances");
  add("herds", "End all daemons together while all upstreams refuse");
  add("stops",
      "Stop daemons as planned, alone, in turn and all at once, beside slow "
      "and "
      "refusing upstreams");
  add("crashing-prompts",
      "A part of prompts crashes engines, beside other disturbances");
  add("endless-answers",
      "A service and an engine send bytes without end, beside other "
      "disturbances");
  add("failing-prefills", "Prefill engines fail all the time in all forms");
  add("teams",
      "Callers have keys of teams with caps, beside other disturbances");
  add("logs", "Folder for the daemons' logs",
      cxxopts::value<std::string>()->default_value(""));
  add("plant",
      "Fault to plant: resend, stale_view, false_refusal, no_patience, "
      "deafness, no_parts, late_calls, no_caps, lost_cancel or no_bound",
      cxxopts::value<std::string>()->default_value(""));
  add("help", "Show this text");
  try {
    const auto parsed = options.parse(count, arguments);
    if (parsed.count("help") > 0) {
      std::puts(options.help().c_str());
      return 0;
    }
    return anvilridge::RunSeeds(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
