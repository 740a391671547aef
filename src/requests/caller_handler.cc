#include "requests/caller_handler.h"

#include <string>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/ids.h"
#include "requests/caller_identity.h"
#include "requests/completion_flow.h"
#include "requests/service_flow.h"

namespace anvilridge {
namespace {

constexpr char kCompletionsPath[] = "/v1/completions";

using exchange_ptr = std::shared_ptr<inbound_exchange>;

absl::StatusOr<route_config> RouteForModel(const config_state& config,
                                           absl::string_view model) {
  for (const auto& [name, route] : config.routes) {
    if (!route.model.empty() && absl::string_view(route.model) == model) {
      return route;
    }
  }
  return MakeError(error_kind::unknown_route,
                   absl::StrCat("no route serves model ", model));
}

// The route with the longest path that the request's path begins with.
absl::StatusOr<route_config> RouteForPath(const config_state& config,
                                          absl::string_view path) {
  const route_config* best = nullptr;
  for (const auto& [name, route] : config.routes) {
    if (route.path.empty() || !absl::StartsWith(path, route.path)) continue;
    if (best == nullptr || route.path.size() > best->path.size()) {
      best = &route;
    }
  }
  if (best == nullptr) {
    return MakeError(error_kind::unknown_route,
                     absl::StrCat("no route begins with ", path));
  }
  return *best;
}

absl::Status Resume(flow_context& context, const config_state& config,
                    completion_request request, absl::string_view event_id,
                    const exchange_ptr& exchange) {
  const absl::StatusOr<resume_token> token = ParseResumeToken(
      event_id, request.caller.team, context.services->deployment_key);
  if (!token.ok()) return token.status();
  const auto upstream = config.upstreams.find(token->engine);
  if (upstream == config.upstreams.end()) {
    return MakeError(error_kind::resume_gone, "its engine is gone");
  }
  for (const auto& [name, route] : config.routes) {
    if (route.decode_pool == upstream->second.pool) request.route = name;
    if (route.decode_pool == upstream->second.pool) {
      request.body.model = route.model;
    }
  }
  request.body.stream = true;
  ResumeCompletion(context, std::move(request), *token, exchange);
  return absl::OkStatus();
}

absl::Status HandleCompletion(flow_context& context, const config_state& config,
                              const inbound_request& inbound,
                              completion_request request,
                              const exchange_ptr& exchange) {
  const absl::string_view event_id =
      HeaderValue(inbound.headers, "last-event-id");
  const bool resumes = !event_id.empty();
  const bool allowed =
      inbound.method == "POST" || (resumes && inbound.method == "GET");
  if (!allowed) {
    return MakeError(error_kind::method_not_allowed, "GET, POST");
  }
  if (resumes) {
    return Resume(context, config, std::move(request), event_id, exchange);
  }
  absl::StatusOr<completion_body> body = ParseCompletionBody(inbound.body);
  if (!body.ok()) return body.status();
  const absl::StatusOr<route_config> route = RouteForModel(config, body->model);
  if (!route.ok()) return route.status();
  request.route = route->name;
  request.body = *std::move(body);
  StartCompletion(context, std::move(request), exchange);
  return absl::OkStatus();
}

absl::Status HandleServiceCall(flow_context& context,
                               const config_state& config,
                               const inbound_request& inbound,
                               service_request request,
                               const exchange_ptr& exchange) {
  absl::StatusOr<route_config> route = RouteForPath(config, inbound.path);
  if (!route.ok()) return route.status();
  request.route = *std::move(route);
  request.inbound = inbound;
  StartServiceCall(context, std::move(request), exchange);
  return absl::OkStatus();
}

absl::Status Dispatch(flow_context& context, const inbound_request& inbound,
                      const std::string& request_id,
                      const exchange_ptr& exchange) {
  const std::shared_ptr<const config_state> config = context.services->config();
  if (!config) {
    return MakeError(error_kind::not_ready, "no configuration in force yet");
  }
  const absl::StatusOr<caller_identity> caller =
      Authenticate(*config, inbound.headers);
  if (!caller.ok()) return caller.status();
  if (inbound.path == kCompletionsPath) {
    return HandleCompletion(context, *config, inbound,
                            {request_id, *caller, {}, {}}, exchange);
  }
  return HandleServiceCall(context, *config, inbound,
                           {request_id, *caller, {}, {}}, exchange);
}

// A refusal before the claim says nothing of earlier attempts with the same
// key, through this daemon or another.
absl::Status Honest(const inbound_request& inbound, const absl::Status& error) {
  const bool keyed = !HeaderValue(inbound.headers, "idempotency-key").empty() &&
                     inbound.path != kCompletionsPath;
  return keyed ? WithoutNotRun(error) : error;
}

}  // namespace

inbound_handler MakeCallerHandler(flow_context& context) {
  return
      [&context](const inbound_request& inbound, const exchange_ptr& exchange) {
        const std::string request_id = NewId();
        const absl::Status started =
            Dispatch(context, inbound, request_id, exchange);
        if (started.ok()) return;
        const absl::Status error = Honest(inbound, started);
        CountFailure(context.services->metrics, "", error);
        RespondProblem(*exchange, error, request_id);
      };
}

}  // namespace anvilridge
