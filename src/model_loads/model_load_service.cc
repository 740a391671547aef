#include "model_loads/model_load_service.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/error_kind.h"
#include "config/config_names.h"
#include "infrastructure/weight_store.h"
#include "log/decision_log.h"
#include "model_loads/engine_info.h"
#include "upstreams/engine_client.h"

namespace anvilridge {
namespace {

QString Text(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

// Returns `order` in the form that is sent to engines.
engine_order ToEngineOrder(const upstream_order& order) {
  engine_order sent;
  sent.order = std::string(NameOf(order.kind));
  sent.model = order.model;
  sent.version = order.model_version;
  sent.adapter = order.adapter;
  if (order.kind == order_kind::role) {
    sent.role = std::string(NameOf(order.role));
  }
  sent.fence = order.fence;
  return sent;
}

}  // namespace

struct model_load_service::impl : std::enable_shared_from_this<impl> {
  http_client& client;
  model_load_environment env;
  order_policy policy;
  std::map<std::string, engine_order_state, std::less<>> engines;
  bool fetch_in_progress = false;

  impl(http_client& http, model_load_environment environment,
       const order_policy& times)
      : client(http), env(std::move(environment)), policy(times) {}

  void Tick() {
    const auto config = env.config();
    if (!config) return;
    std::erase_if(engines, [&](const auto& entry) {
      return !entry.second.call_in_progress &&
             !IsHomedHere(*config, entry.first);
    });
    for (const auto& [name, engine] : config->upstreams) {
      if (engine.orders.empty() || !env.is_home(name)) continue;
      engine_order_state& state = engines[name];
      UpdateOrders(state, engine);
      ExecuteNextStep(state, engine, *config);
    }
  }

  bool IsHomedHere(const config_state& config, const std::string& name) const {
    return config.upstreams.contains(name) && env.is_home(name);
  }

  // Returns whether no other engine of the pool is leaving: only one engine of
  // a pool leaves at a time for an order. The only engine of a pool may leave.
  bool CanLeave(const upstream_config& engine,
                const config_state& config) const {
    return std::none_of(
        config.upstreams.begin(), config.upstreams.end(),
        [&](const auto& entry) {
          const upstream_config& other = entry.second;
          if (other.pool != engine.pool || other.name == engine.name) {
            return false;
          }
          const auto own = engines.find(other.name);
          const bool leaving_here =
              own != engines.end() && own->second.leaving_since.has_value();
          return leaving_here || env.leaving_elsewhere(other.name);
        });
  }

  void ExecuteNextStep(engine_order_state& state, const upstream_config& engine,
                       const config_state& config) {
    const order_limits limits{!fetch_in_progress, !env.weight_store.empty(),
                              CanLeave(engine, config)};
    const order_step step = NextStep(state, engine, limits, policy, env.now());
    switch (step.kind) {
      case step_kind::none:
        return;
      case step_kind::poll_info:
        return PollInfo(state, engine);
      case step_kind::fetch:
        return Fetch(state, engine, step.order);
      case step_kind::leave:
        state.leaving_since = env.now();
        state.orders[step.order.fence].stage = order_stage::leaving;
        return Log("order_leaving", engine.name, step.order, "");
      case step_kind::count_requests:
        return CountRequests(state, engine);
      case step_kind::send:
        return Send(state, engine, step.order);
    }
  }

  // Returns a callback that marks the call for the engine `name` as completed
  // and then runs `done`, or does nothing once this object is destroyed.
  template <typename T>
  std::function<void(T)> WrapCompletion(
      const std::string& name,
      std::function<void(engine_order_state&, T)> done) {
    return [weak = weak_from_this(), name, done = std::move(done)](T result) {
      const auto self = weak.lock();
      if (!self) return;
      engine_order_state& state = self->engines[name];
      state.call_in_progress = false;
      done(state, std::move(result));
    };
  }

  void PollInfo(engine_order_state& state, const upstream_config& engine) {
    state.call_in_progress = true;
    state.info_polled_at = env.now();
    GetEngineInfo(client, engine.address,
                  WrapCompletion<absl::StatusOr<engine_info>>(
                      engine.name, [](engine_order_state& current, auto info) {
                        if (info.ok()) current.info = *std::move(info);
                      }));
  }

  void CountRequests(engine_order_state& state, const upstream_config& engine) {
    using list = absl::StatusOr<std::vector<engine_request>>;
    state.call_in_progress = true;
    ListEngineRequests(
        client, engine.address,
        WrapCompletion<list>(engine.name, [this](engine_order_state& current,
                                                 const list& listed) {
          current.requests_counted_at = env.now();
          current.request_count.reset();
          if (listed.ok()) {
            current.request_count = static_cast<int>(listed->size());
          }
        }));
  }

  void Fetch(engine_order_state& state, const upstream_config& engine,
             const upstream_order& order) {
    state.call_in_progress = true;
    fetch_in_progress = true;
    state.orders[order.fence].stage = order_stage::fetching;
    Log("order_fetching", engine.name, order, "");
    FetchWeights(
        client, env.weight_store, order.model, order.model_version,
        order.adapter, engine.name,
        WrapCompletion<absl::Status>(
            engine.name, [this, order, name = engine.name](
                             engine_order_state& current, const auto& fetched) {
              fetch_in_progress = false;
              OnFetchDone(current, name, order, fetched);
            }));
  }

  void OnFetchDone(engine_order_state& state, const std::string& name,
                   const upstream_order& order, const absl::Status& fetched) {
    const auto found = state.orders.find(order.fence);
    if (found == state.orders.end()) return;
    found->second.stage = order_stage::waiting;
    found->second.delivered = fetched.ok();
    if (fetched.ok()) return;
    RecordFailure(state, order.fence, policy, env.now());
    Log("order_fetch_failed", name, order, fetched.message());
  }

  void Send(engine_order_state& state, const upstream_config& engine,
            const upstream_order& order) {
    state.call_in_progress = true;
    order_record& record = state.orders[order.fence];
    record.stage = order_stage::sent;
    record.sent_at = env.now();
    Log("order_sent", engine.name, order, "");
    using order_result = absl::StatusOr<bool>;
    SendEngineOrder(client, engine.address, ToEngineOrder(order),
                    WrapCompletion<order_result>(
                        engine.name, [this, order, name = engine.name](
                                         engine_order_state& current,
                                         const order_result& accepted) {
                          OnSendDone(current, name, order, accepted.status());
                        }));
  }

  void OnSendDone(engine_order_state& state, const std::string& name,
                  const upstream_order& order, const absl::Status& sent) {
    const auto found = state.orders.find(order.fence);
    if (found == state.orders.end()) return;
    order_record& record = found->second;
    if (sent.ok()) {
      record.failures = 0;
      if (!IsVisibleInInfo(order)) record.stage = order_stage::done;
      return;
    }
    Log("order_failed", name, order, sent.message());
    if (KindOf(sent) == error_kind::upstream_refused) {
      record.stage = order_stage::refused;
      return;
    }
    record.sent_at = absl::InfinitePast();
    RecordFailure(state, order.fence, policy, env.now());
  }

  static void Log(absl::string_view event, const std::string& engine,
                  const upstream_order& order, absl::string_view detail) {
    LogEvent(log_level::info, event,
             {{"upstream", Text(engine)},
              {"order", Text(NameOf(order.kind))},
              {"fence", static_cast<qint64>(order.fence)},
              {"detail", Text(detail)}});
  }
};

model_load_service::model_load_service(http_client& client,
                                       model_load_environment environment,
                                       const order_policy& policy)
    : impl_(std::make_shared<impl>(client, std::move(environment), policy)) {}

model_load_service::~model_load_service() = default;

void model_load_service::Tick() { impl_->Tick(); }

std::set<std::string, std::less<>> model_load_service::Leaving() const {
  std::set<std::string, std::less<>> names;
  for (const auto& [name, state] : impl_->engines) {
    if (state.leaving_since) names.insert(name);
  }
  return names;
}

std::vector<order_state> model_load_service::Progress() const {
  std::vector<order_state> rows;
  for (const auto& [name, state] : impl_->engines) {
    for (const auto& [fence, record] : state.orders) {
      rows.push_back({name, fence, record.stage});
    }
  }
  return rows;
}

}  // namespace anvilridge
