#include "fleet_daemon/store_call_count.h"

#include <utility>

namespace anvilridge {
namespace {

constexpr metric_name kStoreCalls{
    "anvil_fleet_store_calls_total",
    "Calls of this daemon to the store, by topic and kind of call"};

prometheus::Counter& CallCounter(metrics_registry& metrics, const char* topic,
                                 const char* call) {
  return metrics.Counter(kStoreCalls, {{"topic", topic}, {"call", call}});
}

// Returns `call` with `counter` incremented by each.
template <typename... Arguments>
std::function<void(Arguments...)> Counted(
    std::function<void(Arguments...)> call, prometheus::Counter& counter) {
  return [call = std::move(call), &counter](Arguments... arguments) {
    counter.Increment();
    call(std::forward<Arguments>(arguments)...);
  };
}

topic_calls CountTopic(topic_calls calls, metrics_registry& metrics,
                       const char* topic) {
  calls.read =
      Counted(std::move(calls.read), CallCounter(metrics, topic, "read"));
  if (calls.read_now) {
    calls.read_now =
        Counted(std::move(calls.read_now), CallCounter(metrics, topic, "read"));
  }
  calls.list =
      Counted(std::move(calls.list), CallCounter(metrics, topic, "list"));
  return calls;
}

}  // namespace

fleet_sources CountStoreCalls(fleet_sources sources,
                              metrics_registry& metrics) {
  sources.config_topic =
      CountTopic(std::move(sources.config_topic), metrics, "config");
  sources.upstream_topic =
      CountTopic(std::move(sources.upstream_topic), metrics, "upstreams");
  sources.group.join = Counted(std::move(sources.group.join),
                               CallCounter(metrics, "daemons", "join"));
  sources.group.owners = Counted(std::move(sources.group.owners),
                                 CallCounter(metrics, "daemons", "list"));
  return sources;
}

}  // namespace anvilridge
