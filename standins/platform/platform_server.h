#ifndef ANVILRIDGE_STANDINS_PLATFORM_PLATFORM_SERVER_H_
#define ANVILRIDGE_STANDINS_PLATFORM_PLATFORM_SERVER_H_

#include <memory>

#include "common/json_http_server.h"
#include "platform/log_store.h"

namespace anvilridge {

struct platform_standin_settings {
  log_store_settings log;
  /// How long a change of the VM list takes to show.
  absl::Duration vms_lag = absl::Seconds(2);
  /// Time of one delivery by the weight store, which makes one at a time.
  absl::Duration weights_time = absl::Seconds(3);
};

/// Serves the platform's log, VM list and weight store over HTTP.
class platform_server {
 public:
  explicit platform_server(const platform_standin_settings& settings);
  ~platform_server();

  json_http_server& Http();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_PLATFORM_PLATFORM_SERVER_H_
