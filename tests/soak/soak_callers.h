#ifndef ANVILRIDGE_TESTS_SOAK_SOAK_CALLERS_H_
#define ANVILRIDGE_TESTS_SOAK_SOAK_CALLERS_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "soak/soak_record.h"

namespace anvilridge {

/// Where callers reach a daemon at the moment.
struct caller_target {
  int daemon = 0;
  uint16_t port = 0;
};

/// Callers that keep their connections and use them until the daemon's process
/// is gone. Used on one thread with a Qt event loop.
class soak_callers {
 public:
  /// @param seed draws kinds, targets and who leaves early.
  /// @param varied draws besides how long the upstreams take, time limits of
  /// the callers, and who opens a new connection for its request.
  /// @param crashing_prompts names the parts of prompts, one of which crashes
  /// engines.
  /// @param pick returns a daemon to ask; port 0 for none.
  soak_callers(uint64_t seed, bool varied, bool crashing_prompts,
               soak_record& record,
               std::function<caller_target(uint64_t drawn)> pick);
  ~soak_callers();
  soak_callers(const soak_callers&) = delete;
  soak_callers& operator=(const soak_callers&) = delete;

  /// Begins one request.
  void Ask();

  /// Asks the daemon for the routes of the configurations up to `latest`, and
  /// notes which is in force.
  void Probe(const caller_target& target, int starts, int latest);

  /// Asks whether the daemon at a readiness port is ready.
  void AskReady(uint16_t port, std::function<void(bool)> done);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_SOAK_SOAK_CALLERS_H_
