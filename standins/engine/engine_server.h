#ifndef ANVILRIDGE_STANDINS_ENGINE_ENGINE_SERVER_H_
#define ANVILRIDGE_STANDINS_ENGINE_ENGINE_SERVER_H_

#include <memory>

#include "common/json_http_server.h"
#include "engine/engine_state.h"

namespace anvilridge {

/// How the engine is served, beside what it is.
struct engine_server_settings {
  /// Speed of the engine's clock relative to the real one: 2 makes everything
  /// take half the time.
  double time_scale = 1;
  /// Longest time of an import, by the engine's clock.
  absl::Duration import_timeout = absl::Seconds(2);
};

/// Serves one model engine over HTTP.
class engine_server {
 public:
  engine_server(const engine_settings& settings,
                const engine_server_settings& serving);
  ~engine_server();

  json_http_server& Http();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_ENGINE_ENGINE_SERVER_H_
