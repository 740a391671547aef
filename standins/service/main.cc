#include <QCoreApplication>
#include <cstdio>
#include <cxxopts.hpp>

#include "base/clock.h"
#include "base/event_loop.h"
#include "common/json_http_server.h"
#include "service/service_model.h"

namespace anvilridge {
namespace {

struct service_options {
  uint16_t port = 0;
  std::string ports_file;
  std::string id;
  bool checks_fencing = false;
  absl::Duration latency;
};

service_options ParseOptions(const cxxopts::ParseResult& parsed) {
  service_options options;
  options.port = parsed["port"].as<uint16_t>();
  options.ports_file = parsed["ports-file"].as<std::string>();
  options.id = parsed["id"].as<std::string>();
  options.checks_fencing = parsed.count("checks-fencing") > 0;
  options.latency = absl::Milliseconds(parsed["latency-ms"].as<double>());
  return options;
}

service_call ParseCall(const http_request& request) {
  service_call call;
  call.idempotency_key =
      RequestHeader(request, "idempotency-key").toStdString();
  const QByteArray fence = RequestHeader(request, "x-fencing-number");
  if (!fence.isEmpty()) call.fencing_number = fence.toLongLong();
  const QByteArray expires = RequestHeader(request, "x-fencing-expires-ms");
  if (!expires.isEmpty()) {
    call.fence_expires = absl::FromUnixMillis(expires.toLongLong());
  }
  return call;
}

QJsonObject CountsJson(const service_state& state) {
  QJsonObject keys;
  for (const auto& [key, count] : state.executions) {
    keys[QString::fromStdString(key)] = static_cast<qint64>(count);
  }
  return {{"total", static_cast<qint64>(state.total)},
          {"refused", static_cast<qint64>(state.refused)},
          {"reads", static_cast<qint64>(state.reads)},
          {"keys", keys}};
}

// The same for every read of a path.
int BalanceOf(const QString& path) {
  constexpr int kBalances = 100000;
  return static_cast<int>(qHash(path, 0) % kBalances);
}

QJsonObject BalanceJson(const QString& id, const QString& path) {
  return {{"service", id}, {"path", path}, {"balance", BalanceOf(path)}};
}

/// Serves one plain service over HTTP.
class service_server {
 public:
  explicit service_server(const service_options& options) : options_(options) {
    state_.checks_fencing = options.checks_fencing;
    state_.faults.known = {
        "close_after_read", "close_after_run", "delay",
        "late_answer",      "error_500",       "lose_answer"};
    http_.Handle("GET", "/standin/counts",
                 [this](const auto&, const auto& exchange) {
                   exchange->Answer(200, CountsJson(state_));
                 });
    http_.HandleRest([this](const auto& request, const auto& exchange) {
      Serve(request, exchange);
    });
  }

  json_http_server& Http() { return http_; }

 private:
  void Serve(const http_request& request, const exchange_ptr& exchange) {
    if (request.method == "GET" || request.method == "HEAD") {
      ++state_.reads;
      return AnswerLater(
          exchange, 200,
          BalanceJson(QString::fromStdString(options_.id), request.path));
    }
    const service_call call = ParseCall(request);
    const service_outcome outcome = Execute(state_, call, WallNow());
    if (outcome.refused) {
      return AnswerLater(exchange, 412, {{"error", "stale_fence"}});
    }
    AnswerLater(exchange, 201,
                {{"service", QString::fromStdString(options_.id)},
                 {"path", request.path},
                 {"key", QString::fromStdString(call.idempotency_key)},
                 {"executions", static_cast<qint64>(outcome.executions)},
                 {"receipt", static_cast<qint64>(state_.total)}});
  }

  void AnswerLater(const exchange_ptr& exchange, int status,
                   const QJsonObject& body) {
    if (options_.latency <= absl::ZeroDuration()) {
      return exchange->Answer(status, body);
    }
    RunAfter(&timers_, options_.latency,
             [exchange, status, body] { exchange->Answer(status, body); });
  }

  service_options options_;
  service_state state_;
  QObject timers_;
  json_http_server http_{state_.faults};
};

cxxopts::Options DescribeOptions() {
  cxxopts::Options options("standin_service", "Stand-in for a plain service");
  auto add = options.add_options();
  add("help", "Show this text");
  add("port", "0 to choose one",
      cxxopts::value<uint16_t>()->default_value("0"));
  add("ports-file", "Also write the port here",
      cxxopts::value<std::string>()->default_value(""));
  add("id", "Name", cxxopts::value<std::string>()->default_value("service"));
  add("checks-fencing", "Refuse calls with an old fencing number");
  add("latency-ms", "Time from execution to answer",
      cxxopts::value<double>()->default_value("0"));
  return options;
}

int RunService(int argc, char** argv) {
  QCoreApplication application(argc, argv);
  cxxopts::Options described = DescribeOptions();
  const cxxopts::ParseResult parsed = described.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::puts(described.help().c_str());
    return 0;
  }
  const service_options options = ParseOptions(parsed);
  service_server server(options);
  if (!ListenAndAnnounce(server.Http(), options.port, options.ports_file)) {
    return 1;
  }
  return QCoreApplication::exec();
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  try {
    return anvilridge::RunService(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
