#ifndef ANVILRIDGE_UPSTREAMS_HEALTH_TABLE_H_
#define ANVILRIDGE_UPSTREAMS_HEALTH_TABLE_H_

#include <map>
#include <set>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// How calls to one upstream went lately.
struct upstream_health {
  int consecutive_failures = 0;
  int ejections = 0;
  absl::Time ejected_until = absl::InfinitePast();
};

/// The health of every upstream that this daemon calls.
struct health_table {
  std::map<std::string, upstream_health, std::less<>> upstreams;
};

/// Notes the result of one call; enough failures in a row eject the upstream
/// for a time that grows with each ejection.
void ReportCall(health_table& table, absl::string_view upstream, bool ok,
                absl::Time now);

/// Returns the upstreams that are ejected at `now`.
std::set<std::string, std::less<>> Ejected(const health_table& table,
                                           absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_HEALTH_TABLE_H_
