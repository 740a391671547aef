#include <QCoreApplication>
#include <cstdio>
#include <cxxopts.hpp>

#include "engine/engine_server.h"

namespace anvilridge {
namespace {

struct engine_options {
  engine_settings engine;
  engine_server_settings serving;
  uint16_t port = 0;
  std::string ports_file;
};

cxxopts::Options DescribeOptions() {
  cxxopts::Options options("standin_engine", "Stand-in for a model engine");
  auto add = options.add_options();
  add("help", "Show this text");
  add("port", "0 to choose one",
      cxxopts::value<uint16_t>()->default_value("0"));
  add("ports-file", "Also write the port here",
      cxxopts::value<std::string>()->default_value(""));
  add("id", "Name", cxxopts::value<std::string>()->default_value("engine"));
  add("model", "Model", cxxopts::value<std::string>()->default_value("model"));
  add("model-version", "Version of the model",
      cxxopts::value<std::string>()->default_value("1"));
  add("role", "prefill or decode",
      cxxopts::value<std::string>()->default_value("decode"));
  add("failure-domain", "Failure domain",
      cxxopts::value<std::string>()->default_value("domain"));
  add("slots", "Decode slots", cxxopts::value<int>()->default_value("20"));
  add("pieces", "KV cache pieces of 16 tokens",
      cxxopts::value<int>()->default_value("2000"));
  add("cache-pieces", "Pieces of the prefix cache",
      cxxopts::value<int>()->default_value("1000"));
  add("max-queued", "Prefills that may wait or run",
      cxxopts::value<int>()->default_value("64"));
  add("checks-fencing", "Refuse orders with an old fencing number");
  add("time-scale", "Speed of the engine's clock",
      cxxopts::value<double>()->default_value("1"));
  add("prefill-tokens-per-second", "Speed of prefill",
      cxxopts::value<double>()->default_value("8000"));
  add("token-interval-ms", "Time of a decode step with one request",
      cxxopts::value<double>()->default_value("20"));
  add("interval-growth", "Growth of the step for each further request",
      cxxopts::value<double>()->default_value("0.01"));
  add("kv-transfer-pieces-per-second", "Rate inside the failure domain",
      cxxopts::value<double>()->default_value("4000"));
  add("cross-domain-pieces-per-second", "Rate to each other domain",
      cxxopts::value<double>()->default_value("2000"));
  add("kv-eviction-ms", "Life of a prefill result",
      cxxopts::value<double>()->default_value("800"));
  add("import-timeout-ms", "Longest import",
      cxxopts::value<double>()->default_value("2000"));
  add("load-report-lag-ms", "Age of load reports",
      cxxopts::value<double>()->default_value("500"));
  add("cache-event-lag-ms", "Delay of cache events",
      cxxopts::value<double>()->default_value("500"));
  add("cache-event-loss", "Share of cache events lost",
      cxxopts::value<double>()->default_value("0.02"));
  add("output-share-min", "Answers end between this share of max_tokens and 1",
      cxxopts::value<double>()->default_value("1"));
  add("model-load-ms", "Time that a load order takes",
      cxxopts::value<double>()->default_value("2000"));
  add("crash-on", "End when the first token of a prompt with this text is due",
      cxxopts::value<std::string>()->default_value(""));
  add("seed", "Seed of all random choices",
      cxxopts::value<uint64_t>()->default_value("1"));
  return options;
}

absl::Duration Milliseconds(const cxxopts::ParseResult& parsed,
                            const char* name) {
  return absl::Milliseconds(parsed[name].as<double>());
}

engine_settings ParseEngine(const cxxopts::ParseResult& parsed) {
  engine_settings engine;
  engine.id = parsed["id"].as<std::string>();
  engine.model = parsed["model"].as<std::string>();
  engine.version = parsed["model-version"].as<std::string>();
  engine.role = parsed["role"].as<std::string>();
  engine.failure_domain = parsed["failure-domain"].as<std::string>();
  engine.slots = parsed["slots"].as<int>();
  engine.pieces = parsed["pieces"].as<int>();
  engine.cache_pieces = parsed["cache-pieces"].as<int>();
  engine.max_queued = parsed["max-queued"].as<int>();
  engine.checks_fencing = parsed.count("checks-fencing") > 0;
  engine.prefill_tokens_per_second =
      parsed["prefill-tokens-per-second"].as<double>();
  engine.token_interval = Milliseconds(parsed, "token-interval-ms");
  engine.interval_growth = parsed["interval-growth"].as<double>();
  engine.transfer_pieces_per_second =
      parsed["kv-transfer-pieces-per-second"].as<double>();
  engine.cross_domain_pieces_per_second =
      parsed["cross-domain-pieces-per-second"].as<double>();
  engine.kv_eviction = Milliseconds(parsed, "kv-eviction-ms");
  engine.load_report_lag = Milliseconds(parsed, "load-report-lag-ms");
  engine.cache_event_lag = Milliseconds(parsed, "cache-event-lag-ms");
  engine.cache_event_loss = parsed["cache-event-loss"].as<double>();
  engine.output_share_min = parsed["output-share-min"].as<double>();
  engine.model_load = Milliseconds(parsed, "model-load-ms");
  engine.crash_on = parsed["crash-on"].as<std::string>();
  engine.seed = parsed["seed"].as<uint64_t>();
  return engine;
}

engine_options ParseOptions(const cxxopts::ParseResult& parsed) {
  engine_options options;
  options.engine = ParseEngine(parsed);
  options.serving.time_scale = parsed["time-scale"].as<double>();
  options.serving.import_timeout = Milliseconds(parsed, "import-timeout-ms");
  options.port = parsed["port"].as<uint16_t>();
  options.ports_file = parsed["ports-file"].as<std::string>();
  return options;
}

int RunEngine(int argc, char** argv) {
  QCoreApplication application(argc, argv);
  cxxopts::Options described = DescribeOptions();
  const cxxopts::ParseResult parsed = described.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::puts(described.help().c_str());
    return 0;
  }
  const engine_options options = ParseOptions(parsed);
  engine_server server(options.engine, options.serving);
  if (!ListenAndAnnounce(server.Http(), options.port, options.ports_file)) {
    return 1;
  }
  return QCoreApplication::exec();
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  try {
    return anvilridge::RunEngine(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
