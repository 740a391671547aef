#ifndef ANVILRIDGE_FLEET_FLEET_UPSTREAM_H_
#define ANVILRIDGE_FLEET_FLEET_UPSTREAM_H_

#include <cstdint>
#include <string>

namespace anvilridge {

/// Part of a request that a model engine executes; `none` for upstreams of
/// plain services.
enum class engine_stage { none, prefill, decode };

/// One instance of a service, as registered by the instance itself.
struct fleet_upstream {
  /// Unique for each instance, unlike `address`, which another instance may use
  /// later.
  std::string id;
  std::string service;
  /// `a.b.c.d:port`.
  std::string address;
  std::string failure_domain;
  int slots = 1;
  /// Whether the instance is leaving and accepts no new work.
  bool draining = false;
  engine_stage stage = engine_stage::none;
  /// Unix time of the start of the instance, in milliseconds; 0 if the
  /// registration lacks it. A later start under the same id means that the
  /// instance has lost all state from before.
  int64_t started_ms = 0;

  friend bool operator==(const fleet_upstream&,
                         const fleet_upstream&) = default;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_FLEET_UPSTREAM_H_
