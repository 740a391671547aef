#include "metrics/health_port.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/ids.h"
#include "caller/caller_port.h"

namespace anvilridge {
namespace {

/// Bytes that a port keeps for all its callers, which send small requests. The
/// longest answers are the metrics.
constexpr int64_t kMaxHeldBytes = 4 << 20;

/// Bounds for pollers and scrapers, which send small requests and take their
/// answers at once. Others must not keep the connections from them.
limit_settings HealthLimits() {
  limit_settings limits;
  limits.max_body_bytes = 1 << 10;
  limits.max_header_bytes = 8 << 10;
  limits.max_connections = 256;
  limits.max_requests = 256;
  limits.request_timeout = absl::Seconds(2);
  return limits;
}

void RespondReadiness(inbound_exchange& exchange, const absl::Status& status) {
  if (status.ok()) {
    exchange.Respond(200, {{"content-type", "text/plain"}}, "ready\n");
    return;
  }
  // Whatever the reason's own kind is, pollers are told that it may pass.
  RespondProblem(exchange, MakeError(error_kind::not_ready, status.message()),
                 NewId());
}

// Lifts the quarantine of the part that ends the path of `request`.
void LiftQuarantine(const health_sources& sources, const health_paths& paths,
                    const inbound_request& request,
                    inbound_exchange& exchange) {
  const absl::string_view part =
      absl::string_view(request.path).substr(paths.quarantine.size() + 1);
  if (sources.lift_quarantine(part)) {
    return exchange.Respond(200, {{"content-type", "text/plain"}}, "lifted\n");
  }
  RespondProblem(exchange,
                 MakeError(error_kind::not_found,
                           absl::StrCat("no part ", part, " is quarantined")),
                 NewId());
}

void Handle(const health_sources& sources, const health_paths& paths,
            const inbound_request& request, inbound_exchange& exchange) {
  if (request.method == "DELETE" && sources.lift_quarantine &&
      absl::StartsWith(request.path, paths.quarantine + "/")) {
    return LiftQuarantine(sources, paths, request, exchange);
  }
  if (request.method != "GET" && request.method != "HEAD") {
    RespondProblem(exchange,
                   MakeError(error_kind::method_not_allowed, "GET, HEAD"),
                   NewId());
  } else if (request.path == paths.alive) {
    exchange.Respond(200, {{"content-type", "text/plain"}}, "ok\n");
  } else if (request.path == paths.ready) {
    RespondReadiness(exchange, sources.readiness());
  } else if (request.path == paths.metrics) {
    exchange.Respond(200, {{"content-type", "text/plain; version=0.0.4"}},
                     sources.metrics_text());
  } else if (sources.quarantine_text && request.path == paths.quarantine) {
    exchange.Respond(200, {{"content-type", "application/json"}},
                     sources.quarantine_text());
  } else {
    RespondProblem(exchange,
                   MakeError(error_kind::unknown_route,
                             absl::StrCat("routes are ", paths.alive, ", ",
                                          paths.ready, " and ", paths.metrics)),
                   NewId());
  }
}

}  // namespace

struct health_port::impl {
  health_sources sources;
  health_paths paths;
  caller_port port;
};

health_port::health_port(port_settings port, QObject* context,
                         health_sources sources, health_paths paths)
    : impl_(new impl{std::move(sources), std::move(paths),
                     caller_port(std::move(port), HealthLimits(), {context})}) {
  impl_->port.SetMaxHeldBytes(kMaxHeldBytes);
}

health_port::~health_port() = default;

absl::Status health_port::Listen() {
  return impl_->port.Listen([this](size_t) {
    return [this](const inbound_request& request,
                  const std::shared_ptr<inbound_exchange>& exchange) {
      Handle(impl_->sources, impl_->paths, request, *exchange);
    };
  });
}

uint16_t health_port::Port() const { return impl_->port.Port(); }

}  // namespace anvilridge
