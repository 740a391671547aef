#ifndef ANVILRIDGE_LOAD_TOOL_FLEET_COUNTERS_H_
#define ANVILRIDGE_LOAD_TOOL_FLEET_COUNTERS_H_

#include <QJsonObject>
#include <functional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Sums over the stand-in engines, since their start.
struct engine_counters {
  double prefilled_tokens = 0;
  /// Tokens whose result was evicted before a decode engine had fetched it.
  double evicted_tokens = 0;
  /// Tokens of requests that were cancelled before their first token.
  double cancelled_tokens = 0;
  double generated_tokens = 0;
  int engines_read = 0;
};

/// What the daemons used, since their start.
struct daemon_counters {
  double cpu_seconds = 0;
  /// Bytes sent to and received from other daemons.
  double control_bytes = 0;
  int daemons_read = 0;
};

struct fleet_counters {
  engine_counters engines;
  daemon_counters daemons;
};

/// Where the counters are read, as `a.b.c.d:port`.
struct counter_sources {
  std::vector<std::string> engines;
  /// Metrics ports of the daemons.
  std::vector<std::string> daemons;
};

/// Adds the totals that one stand-in engine reported.
void AddEngineTotals(engine_counters& counters, const QJsonObject& totals);

/// Adds the metrics that one daemon reported, as Prometheus text.
void AddDaemonMetrics(daemon_counters& counters, absl::string_view text);

/// Reads all counters; sources that don't answer are left out.
void ReadCounters(http_client& client, const counter_sources& sources,
                  std::function<void(fleet_counters)> done);

/// Returns the tokens prefilled and never decoded between two readings, as a
/// share of the tokens prefilled.
double WastedPrefill(const engine_counters& before,
                     const engine_counters& after);

}  // namespace anvilridge

#endif  // ANVILRIDGE_LOAD_TOOL_FLEET_COUNTERS_H_
