#include "common/json_http_server.h"

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QJsonDocument>
#include <QMetaEnum>
#include <QPointer>
#include <QTcpSocket>
#include <cstdio>
#include <fstream>
#include <map>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/event_loop.h"

namespace anvilridge {
namespace {

constexpr char kStandinPrefix[] = "/standin/";

QByteArray MethodName(QHttpServerRequest::Method method) {
  static const QMetaEnum kMethods =
      QMetaEnum::fromType<QHttpServerRequest::Method>();
  return QByteArray(kMethods.valueToKey(static_cast<int>(method))).toUpper();
}

http_request ParseRequest(const QHttpServerRequest& raw) {
  http_request request;
  request.method = MethodName(raw.method());
  request.path = raw.url().path();
  request.query = QUrlQuery(raw.url());
  for (const auto& [name, value] : raw.headers()) {
    request.headers.emplace_back(name, value);
  }
  request.body = raw.body();
  request.json = QJsonDocument::fromJson(request.body).object();
  return request;
}

bool WantsClose(const http_request& request) {
  return RequestHeader(request, "connection").toLower() == "close";
}

QJsonObject FaultContext(const http_request& request) {
  return {{"path", request.path},
          {"method", QString::fromLatin1(request.method)}};
}

// Decides once, when the request arrives, what happens to its answer.
answer_faults TakeAnswerFaults(fault_table& table, const QJsonObject& context) {
  answer_faults taken;
  taken.close =
      TakeFault(table, "close_after_run", context).has_value() ||
      TakeFault(table, "lose_answer_after_effect", context).has_value();
  taken.silent = TakeFault(table, "lose_answer", context).has_value();
  if (const auto late = TakeFault(table, "late_answer", context)) {
    taken.late = FaultDelay(*late, absl::Seconds(1));
  }
  return taken;
}

absl::Duration TakeDelay(fault_table& table, const QJsonObject& context) {
  auto delay = TakeFault(table, "delay", context);
  if (!delay) delay = TakeFault(table, "slow", context);
  return delay ? FaultDelay(*delay, absl::Seconds(1)) : absl::ZeroDuration();
}

}  // namespace

struct json_http_server::impl : QAbstractHttpServer {
  struct route {
    QByteArray method;
    QString path;
    handler handle;
  };

  explicit impl(fault_table& table) : faults(table) {}

  fault_table& faults;
  std::vector<route> routes;
  handler rest;
  std::function<void()> faults_changed;
  std::map<QString, qint64> calls;

  bool handleRequest(const QHttpServerRequest& raw,
                     QTcpSocket* socket) override {
    const http_request request = ParseRequest(raw);
    if (request.path.startsWith(kStandinPrefix)) {
      Dispatch(request, std::make_shared<http_exchange>(
                            socket, WantsClose(request), answer_faults{}));
      return true;
    }
    ++calls[QString::fromLatin1(request.method) + " " + request.path];
    ServeUnderFaults(request, socket);
    return true;
  }

  void missingHandler(const QHttpServerRequest&, QTcpSocket* socket) override {
    socket->disconnectFromHost();
  }

  void ServeUnderFaults(const http_request& request, QTcpSocket* socket) {
    const QJsonObject context = FaultContext(request);
    if (TakeFault(faults, "close_after_read", context)) {
      http_exchange(socket, true, {}).Cut();
      return;
    }
    if (TakeFault(faults, "error_500", context)) {
      http_exchange(socket, WantsClose(request), {})
          .Answer(500, {{"error", "internal"}});
      return;
    }
    const auto exchange = std::make_shared<http_exchange>(
        socket, WantsClose(request), TakeAnswerFaults(faults, context));
    const absl::Duration delay = TakeDelay(faults, context);
    if (delay <= absl::ZeroDuration()) return Dispatch(request, exchange);
    RunAfter(this, delay,
             [this, request, exchange] { Dispatch(request, exchange); });
  }

  void Dispatch(const http_request& request, const exchange_ptr& exchange) {
    for (const route& entry : routes) {
      if (entry.method != request.method) continue;
      const bool matches = entry.path.endsWith('/')
                               ? request.path.startsWith(entry.path)
                               : request.path == entry.path;
      if (matches) return entry.handle(request, exchange);
    }
    if (rest && !request.path.startsWith(kStandinPrefix)) {
      return rest(request, exchange);
    }
    exchange->Answer(404, {{"error", "no_such_path"}});
  }

  void AddFaultRoutes() {
    const QString path = "/standin/faults";
    routes.push_back({"POST", path, [this](const auto& request, auto exchange) {
                        PostFault(request, exchange);
                      }});
    routes.push_back({"GET", path, [this](const auto&, auto exchange) {
                        exchange->Answer(200, FaultsJson(faults));
                      }});
    routes.push_back({"DELETE", path, [this](const auto&, auto exchange) {
                        faults.faults.clear();
                        if (faults_changed) faults_changed();
                        exchange->Answer(200, FaultsJson(faults));
                      }});
    routes.push_back(
        {"GET", "/standin/calls", [this](const auto&, auto exchange) {
           QJsonObject counts;
           for (const auto& [call, count] : calls) counts[call] = count;
           exchange->Answer(200, counts);
         }});
  }

  void PostFault(const http_request& request, const exchange_ptr& exchange) {
    const absl::Status added = AddFault(faults, request.json);
    if (!added.ok()) {
      exchange->Answer(400, {{"error", std::string(added.message()).c_str()}});
      return;
    }
    if (faults_changed) faults_changed();
    exchange->Answer(200, FaultsJson(faults));
  }
};

json_http_server::json_http_server(fault_table& faults)
    : impl_(std::make_unique<impl>(faults)) {
  impl_->AddFaultRoutes();
}

json_http_server::~json_http_server() = default;

void json_http_server::Handle(const QByteArray& method, const QString& path,
                              handler handle) {
  impl_->routes.push_back({method, path, std::move(handle)});
}

void json_http_server::HandleRest(handler handle) {
  impl_->rest = std::move(handle);
}

void json_http_server::OnFaultsChanged(std::function<void()> listener) {
  impl_->faults_changed = std::move(listener);
}

absl::Status json_http_server::Listen(uint16_t port) {
  if (impl_->listen(QHostAddress::LocalHost, port) != 0) {
    return absl::OkStatus();
  }
  return MakeError(error_kind::internal,
                   absl::StrCat("port ", port, " can't be listened on"));
}

uint16_t json_http_server::Port() const { return impl_->serverPorts().at(0); }

bool ListenAndAnnounce(json_http_server& server, uint16_t port,
                       const std::string& ports_file) {
  const absl::Status listening = server.Listen(port);
  if (!listening.ok()) {
    std::fprintf(stderr, "%s\n", std::string(listening.message()).c_str());
    return false;
  }
  if (!ports_file.empty()) {
    std::ofstream(ports_file) << "[ports]\nhttp=" << server.Port() << "\n";
  }
  std::printf("listening %d\n", server.Port());
  std::fflush(stdout);
  return true;
}

}  // namespace anvilridge
