#include "upstreams/health_table.h"

#include <algorithm>

namespace anvilridge {
namespace {

constexpr int kFailuresToEject = 3;
constexpr absl::Duration kFirstEjection = absl::Seconds(1);
constexpr absl::Duration kLongestEjection = absl::Seconds(30);
constexpr int kMostDoublings = 5;

}  // namespace

void ReportCall(health_table& table, absl::string_view upstream, bool ok,
                absl::Time now) {
  upstream_health& health = table.upstreams[std::string(upstream)];
  if (ok) {
    health = upstream_health();
    return;
  }
  ++health.consecutive_failures;
  if (health.consecutive_failures < kFailuresToEject) return;
  // One call is let through after an ejection; its failure ejects again.
  health.consecutive_failures = kFailuresToEject - 1;
  const int doublings = std::min(health.ejections, kMostDoublings);
  ++health.ejections;
  health.ejected_until =
      now + std::min(kFirstEjection * (1 << doublings), kLongestEjection);
}

std::set<std::string, std::less<>> Ejected(const health_table& table,
                                           absl::Time now) {
  std::set<std::string, std::less<>> ejected;
  for (const auto& [name, health] : table.upstreams) {
    if (health.ejected_until > now) ejected.insert(name);
  }
  return ejected;
}

}  // namespace anvilridge
