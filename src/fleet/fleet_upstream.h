#ifndef ANVILRIDGE_FLEET_FLEET_UPSTREAM_H_
#define ANVILRIDGE_FLEET_FLEET_UPSTREAM_H_

#include <cstdint>
#include <string>

namespace anvilridge {

/// What an engine does with requests.
enum class engine_stage { none, prefill, decode };

/// One instance of a service, as it registered itself.
struct fleet_upstream {
  /// Differs for each instance; an address may be used by another one later.
  std::string id;
  std::string service;
  /// `a.b.c.d:port`.
  std::string address;
  std::string failure_domain;
  int slots = 1;
  /// Whether it is leaving and takes no new work.
  bool draining = false;
  engine_stage stage = engine_stage::none;
  /// Unix time of its start, in milliseconds; an instance that starts again
  /// under its id knows nothing of before. 0 when it did not say.
  int64_t started_ms = 0;

  friend bool operator==(const fleet_upstream&,
                         const fleet_upstream&) = default;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_FLEET_UPSTREAM_H_
