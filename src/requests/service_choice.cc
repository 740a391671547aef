#include "requests/service_choice.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "base/qt_text.h"
#include "log/decision_log.h"
#include "upstreams/return_share.h"

namespace anvilridge {
namespace {

using upstream_list = std::vector<const upstream_config*>;

upstream_list Candidates(const flow_context& context,
                         const config_state& config, const route_config& route,
                         absl::Span<const std::string> tried) {
  upstream_list candidates;
  for (const auto& [name, upstream] : config.upstreams) {
    if (upstream.pool != route.service_pool || upstream.draining) continue;
    if (!context.services->healthy(name)) continue;
    if (std::find(tried.begin(), tried.end(), name) != tried.end()) continue;
    candidates.push_back(&upstream);
  }
  return candidates;
}

// Two choices at random, the one with fewer calls in progress.
const upstream_config& FewerCalls(flow_context& context,
                                  upstream_list& candidates) {
  std::shuffle(candidates.begin(), candidates.end(), context.random);
  const upstream_config& first = *candidates.front();
  if (candidates.size() == 1) return first;
  const upstream_config& second = *candidates[1];
  const bool fewer =
      context.service_calls[second.name] < context.service_calls[first.name];
  return fewer ? second : first;
}

}  // namespace

std::optional<upstream_config> ChooseService(
    flow_context& context, const route_config& route,
    absl::string_view request_id, absl::Span<const std::string> tried) {
  const std::shared_ptr<const config_state> config = context.services->config();
  upstream_list candidates = Candidates(context, *config, route, tried);
  if (candidates.empty()) return std::nullopt;
  candidates = ThinReturning(std::move(candidates), context.services->health(),
                             context.random);
  const upstream_config& chosen = FewerCalls(context, candidates);
  LogEvent(log_level::info, "routing",
           {{"request_id", QtText(request_id)},
            {"route", QtText(route.name)},
            {"considered", static_cast<int>(candidates.size())},
            {"chosen", QtText(chosen.name)},
            {"why", "fewer calls in progress of two sampled"},
            {"attempt", static_cast<int>(tried.size()) + 1}});
  return chosen;
}

}  // namespace anvilridge
