// Tells how many streams of a recorded day could have been on time at most.
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>

#include "planning/offline_bound.h"
#include "planning/recorded_day.h"

int main(int count, char** arguments) {
  cxxopts::Options options(
      "anvil_bound", "Reads the daemons' logs of one day on standard input");
  auto add = options.add_options();
  add("kv-tokens", "KV memory of an engine, tokens", cxxopts::value<double>());
  add("step-ms", "Time of a decode step with one request",
      cxxopts::value<double>());
  add("prefill-tokens-per-ms", "Speed of an engine that only reads prompts",
      cxxopts::value<double>());
  add("tokens-per-event", "Tokens of one event", cxxopts::value<double>());
  add("latency-target-ms", "Until the first event", cxxopts::value<double>());
  add("help", "Show this text");
  try {
    const auto parsed = options.parse(count, arguments);
    if (parsed.count("help") > 0) {
      std::puts(options.help().c_str());
      return 0;
    }
    const absl::Duration target =
        absl::Milliseconds(parsed["latency-target-ms"].as<double>());
    const anvilridge::recorded_day day = anvilridge::ReadRecordedDay(
        std::cin, parsed["tokens-per-event"].as<double>(), target);
    anvilridge::engine_capacity capacity;
    capacity.engines = day.engines;
    capacity.kv_tokens = parsed["kv-tokens"].as<double>();
    capacity.step_ms = parsed["step-ms"].as<double>();
    capacity.prefill_tokens_per_ms =
        parsed["prefill-tokens-per-ms"].as<double>();
    const anvilridge::on_time_bound bound =
        anvilridge::BoundStreamsOnTime(day.arrivals, capacity, target);
    std::printf("engines %d, streams %d, begun on time %d, at most %d\n",
                day.engines, bound.arrivals, day.begun_on_time,
                bound.max_on_time);
    return 0;
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "%s\n%s", error.what(), options.help().c_str());
    return 2;
  }
}
