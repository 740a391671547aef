#ifndef ANVILRIDGE_MODEL_LOADS_MODEL_LOAD_SERVICE_H_
#define ANVILRIDGE_MODEL_LOADS_MODEL_LOAD_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "config/config_state.h"
#include "model_loads/engine_orders.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// State and functions of the daemon that `model_load_service` depends on.
struct model_load_environment {
  std::function<std::shared_ptr<const config_state>()> config;
  /// Returns whether this daemon is the home of the engine by the current
  /// membership and may act.
  std::function<bool(absl::string_view engine)> is_home;
  /// Returns whether another daemon has announced that the engine is leaving.
  std::function<bool(absl::string_view engine)> leaving_elsewhere;
  std::function<absl::Time()> now;
  /// `ip:port` of the weight store; empty if engines fetch weights themselves.
  std::string weight_store;
};

/// Progress of one order of an engine whose home is this daemon.
struct order_state {
  std::string upstream;
  int64_t fence = 0;
  order_stage stage = order_stage::waiting;
};

/// Carries out the orders of engines whose home is this daemon. Each home has
/// at most one delivery by the weight store in progress: the store serves
/// deliveries one after another, so further ones would only wait there, and
/// could not be withdrawn when a later order replaces them. Runs on the control
/// thread.
class model_load_service {
 public:
  /// `client` must outlive this object.
  model_load_service(http_client& client, model_load_environment environment,
                     const order_policy& policy = {});
  ~model_load_service();

  /// Carries out the steps that are due. Must be called periodically, as the
  /// service has no timer of its own.
  void Tick();

  /// Returns the names of the engines whose home is this daemon and that get no
  /// new requests because of an order.
  std::set<std::string, std::less<>> Leaving() const;

  /// Returns the progress of all orders of engines whose home is this daemon.
  std::vector<order_state> Progress() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_MODEL_LOADS_MODEL_LOAD_SERVICE_H_
