#include "harness/refusal_scene.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

// Longer than any answer of a daemon.
constexpr absl::Duration kAnswerBound = absl::Seconds(20);

// Sizes past the daemon's limits as set here.
constexpr int kMaxBodyBytes = 2048;
constexpr int kMaxHeaderBytes = 4096;

}  // namespace

fleet_options OneDaemon() {
  fleet_options options;
  options.daemons = 1;
  options.services = 1;
  options.platform_options = {"--max-records=64"};
  options.settings = {{"limits",
                       {{"max_body_bytes", absl::StrCat(kMaxBodyBytes)},
                        {"max_header_bytes", absl::StrCat(kMaxHeaderBytes)},
                        {"max_requests", absl::StrCat(kMaxRequests)},
                        {"max_connections", absl::StrCat(kMaxConnections)}}}};
  return options;
}

int Executions(const fleet& fleet) {
  int sum = 0;
  for (const standin& service : fleet.services) {
    if (!service.process->Running()) continue;
    const QJsonObject counts = Get(service.port, "/standin/counts").Json();
    sum += counts["total"].toInt() + counts["reads"].toInt();
  }
  for (const auto* engines : {&fleet.prefill, &fleet.decode}) {
    for (const standin& engine : *engines) {
      if (!engine.process->Running()) continue;
      const QJsonObject started =
          Get(engine.port, "/standin/totals").Json()["started"].toObject();
      for (const QJsonValue count : started) sum += count.toInt();
    }
  }
  return sum;
}

test_request Posting(const scene& on, const std::string& key) {
  test_request request;
  request.method = "POST";
  request.port = on.Port();
  request.target = kPostingPath;
  request.headers =
      on.deployment.Caller({{"Content-Type", "application/json"}});
  if (!key.empty()) request.headers.emplace_back("Idempotency-Key", key);
  request.body = BodyText({{"fee", 12}});
  request.timeout = kAnswerBound;
  return request;
}

test_request Keyed(const scene& on) { return Posting(on, on.key); }

test_request Unkeyed(const scene& on) { return Posting(on, ""); }

test_request Balance(const scene& on) {
  test_request request;
  request.port = on.Port();
  request.target = kBalancePath;
  request.headers = on.deployment.Caller();
  request.timeout = kAnswerBound;
  return request;
}

test_request Completion(const scene& on) {
  test_request request = Unkeyed(on);
  request.target = "/v1/completions";
  request.body = BodyText(fleet::Completion("Summarise the season.", 4));
  return request;
}

test_request Without(test_request request) {
  std::erase_if(request.headers, [](const auto& field) {
    return field.first == "Authorization";
  });
  return request;
}

test_request WithUnknownKey(test_request request) {
  request = Without(std::move(request));
  request.headers.emplace_back("Authorization", "Bearer nobody");
  return request;
}

test_request WithLargeBody(test_request request) {
  request.body = std::string(kMaxBodyBytes + 1, ' ');
  return request;
}

test_request WithLargeHeader(test_request request) {
  request.headers.emplace_back("X-Large", std::string(kMaxHeaderBytes, 'x'));
  return request;
}

test_request Elsewhere(const scene& on) {
  test_request request = Unkeyed(on);
  request.target = "/nowhere";
  return request;
}

test_request OtherModel(const scene& on) {
  test_request request = Completion(on);
  request.body = BodyText({{"model", "none"}, {"prompt", "x"}});
  return request;
}

test_request WrongMethod(const scene& on) {
  test_request request = Completion(on);
  request.method = "DELETE";
  return request;
}

test_request MalformedCompletion(const scene& on) {
  test_request request = Completion(on);
  request.body = "{\"model\": ";
  return request;
}

}  // namespace anvilridge
