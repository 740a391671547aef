// One real daemon before stand-in engines on the loopback address:
// entry_cost STREAMS TOKENS ROUNDS ENGINES SECONDS
// Runs ROUNDS times STREAMS concurrent completions of TOKENS tokens, or stays
// idle for SECONDS when STREAMS is 0; `DAEMONS` as sixth argument starts more.
#include <QFile>
#include <memory>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "bench_meter.h"
#include "harness/fleet.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

/// What a daemon has used so far.
struct usage {
  double cpu_seconds = 0;
  double resident_bytes = 0;
};

usage UsageOf(const fleet_daemon& daemon) {
  usage used;
  const std::string text = Get(daemon.metrics, "/metrics").body;
  for (absl::string_view line : absl::StrSplit(text, '\n')) {
    const std::vector<absl::string_view> words = absl::StrSplit(line, ' ');
    if (words.size() != 2) continue;
    if (words[0] == "process_cpu_seconds_total") {
      (void)absl::SimpleAtod(words[1], &used.cpu_seconds);
    }
    if (words[0] == "process_resident_memory_bytes") {
      (void)absl::SimpleAtod(words[1], &used.resident_bytes);
    }
  }
  return used;
}

struct run_plan {
  int streams = 10;
  int tokens = 100;
  int rounds = 3;
  int engines = 4;
  int seconds = 10;
  int daemons = 1;
};

std::unique_ptr<fleet> StartFleet(const run_plan& plan) {
  fleet_options options;
  options.daemons = plan.daemons;
  options.decode_engines = plan.engines;
  options.prefill_engines = plan.engines;
  options.decode_options = {"--slots=200", "--pieces=100000",
                            "--interval-growth=0", "--token-interval-ms=25"};
  options.prefill_options = {"--max-queued=1000",
                             "--prefill-tokens-per-second=1000000"};
  options.settings = {
      {"limits", {{"max_requests", "2000"}, {"max_connections", "4000"}}},
      {"peers", {{"probe_interval", "1s"}, {"lease", "5s"}}}};
  return std::make_unique<fleet>(std::move(options));
}

/// What the callers saw.
struct served {
  int whole = 0;
  double most_resident = 0;
};

served RunStreams(const fleet& all, const run_plan& plan) {
  served result;
  const fleet_daemon& daemon = all.daemons.front();
  for (int round = 0; round < plan.rounds; ++round) {
    std::vector<std::unique_ptr<event_stream>> streams;
    for (int i = 0; i < plan.streams; ++i) {
      const std::string prompt = absl::StrCat("club ", round, " book ", i);
      test_request request{"POST",
                           daemon.caller,
                           "/v1/completions",
                           all.Caller({{"Content-Type", "application/json"}}),
                           BodyText(fleet::Completion(prompt, plan.tokens)),
                           absl::Seconds(60)};
      streams.push_back(std::make_unique<event_stream>(std::move(request)));
    }
    absl::SleepFor(absl::Milliseconds(plan.tokens * 15));
    result.most_resident =
        std::max(result.most_resident, UsageOf(daemon).resident_bytes);
    for (const auto& stream : streams) {
      stream->WaitForEnd(absl::Seconds(60));
      const bool whole =
          stream->Answer().status == 200 &&
          stream->Events().size() >= static_cast<size_t>(plan.tokens);
      result.whole += whole ? 1 : 0;
    }
  }
  return result;
}

int Run(const run_plan& plan) {
  const std::unique_ptr<fleet> all = StartFleet(plan);
  absl::SleepFor(absl::Seconds(2));
  const fleet_daemon& daemon = all->daemons.front();
  const usage before = UsageOf(daemon);
  const absl::Time started = absl::Now();
  served result;
  if (plan.streams > 0) {
    result = RunStreams(*all, plan);
  } else {
    absl::SleepFor(absl::Seconds(plan.seconds));
  }
  const usage after = UsageOf(daemon);
  const double seconds = absl::ToDoubleSeconds(absl::Now() - started);
  const double cpu = 1e6 * (after.cpu_seconds - before.cpu_seconds);
  const int requests = plan.streams * plan.rounds;
  PrintLine({{"bench", "entry_cost"},
             {"daemons", plan.daemons},
             {"engines", 2 * plan.engines},
             {"streams", plan.streams},
             {"tokens_each", plan.tokens},
             {"requests", requests},
             {"whole_answers", result.whole},
             {"seconds", seconds},
             {"cpu_us_total", cpu},
             {"cpu_us_per_s", cpu / seconds},
             {"resident_before", before.resident_bytes},
             {"resident_most",
              std::max(result.most_resident, after.resident_bytes)}});
  return result.whole == requests ? 0 : 1;
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  using anvilridge::SizeArgument;
  anvilridge::run_plan plan;
  plan.streams = SizeArgument(argc, argv, 1, plan.streams);
  plan.tokens = SizeArgument(argc, argv, 2, plan.tokens);
  plan.rounds = SizeArgument(argc, argv, 3, plan.rounds);
  plan.engines = SizeArgument(argc, argv, 4, plan.engines);
  plan.seconds = SizeArgument(argc, argv, 5, plan.seconds);
  plan.daemons = SizeArgument(argc, argv, 6, plan.daemons);
  return anvilridge::Run(plan);
}
