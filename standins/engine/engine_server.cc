#include "engine/engine_server.h"

#include <QTimer>
#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "common/http_fetch.h"
#include "engine/decode_streams.h"
#include "engine/engine_json.h"
#include "engine/engine_model.h"

namespace anvilridge {
namespace {

/// The clock is read at least this often.
constexpr absl::Duration kLongestWait = absl::Milliseconds(200);
/// A longer gap means that the process was stopped, and its time with it.
constexpr absl::Duration kLongestGap = absl::Seconds(1);
constexpr absl::Duration kStallWithoutEnd = absl::Hours(1);
constexpr char kExportPath[] = "/v1/kv/";

QString Text(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

/// An import whose KV cache is on its way.
struct pending_import {
  exchange_ptr exchange;
  std::unique_ptr<http_fetch> fetch;
  std::unique_ptr<QTimer> timeout;
  std::unique_ptr<QTimer> stall;
};

struct pending_export {
  exchange_ptr exchange;
  QJsonObject answer;
};

}  // namespace

struct engine_server::impl {
  impl(const engine_settings& settings, const engine_server_settings& serving)
      : serving(serving),
        state(MakeEngine(settings)),
        http(state.faults),
        real_time(MonotonicNow()) {
    changes.run = absl::StrCat(absl::ToUnixNanos(WallNow()));
  }

  engine_server_settings serving;
  engine_state state;
  request_changes changes;
  json_http_server http;
  /// The engine's clock, and the real time at which it was read.
  absl::Time engine_time = absl::UnixEpoch();
  absl::Time real_time;
  QTimer wake;
  std::map<std::string, exchange_ptr> prefills;
  std::map<std::string, pending_export> exports;
  std::map<std::string, pending_import> imports;
  decode_streams streams;

  absl::Time Now() {
    const absl::Time now = MonotonicNow();
    const absl::Duration gap = std::min(now - real_time, kLongestGap);
    engine_time += gap * serving.time_scale;
    real_time = now;
    return engine_time;
  }

  absl::Duration RealTime(absl::Duration engine_time) const {
    return engine_time / serving.time_scale;
  }

  void CatchUp() {
    for (const engine_event& event : Advance(state, Now())) Deliver(event);
  }

  void ScheduleWake() {
    const absl::Duration wait =
        std::min(RealTime(NextWake(state) - Now()), kLongestWait);
    const int64_t ms = absl::ToInt64Milliseconds(absl::Ceil(
        std::max(wait, absl::ZeroDuration()), absl::Milliseconds(1)));
    wake.start(std::chrono::milliseconds(ms));
  }

  // Runs `step` on a state that is up to date and plans what comes next.
  template <typename Step>
  void Run(const Step& step) {
    CatchUp();
    step();
    ScheduleWake();
  }

  void Deliver(const engine_event& event) {
    switch (event.what) {
      case engine_event::kind::prefilled:
        return AnswerPrefill(event.request_id);
      case engine_event::kind::exported:
        return AnswerExport(event.request_id);
      case engine_event::kind::token:
      case engine_event::kind::finished:
        return PumpStream(streams, state, event.request_id);
      case engine_event::kind::evicted:
        return;
    }
  }

  // Returns the id to answer with: another one under the fault for it.
  QString AnswerId(const std::string& id, const char* path) {
    const QJsonObject context = {{"path", path}, {"request_id", Text(id)}};
    const bool crossed =
        TakeFault(state.faults, "wrong_id", context).has_value();
    return Text(crossed ? absl::StrCat("crossed-", id) : id);
  }

  void StartPrefillCall(const http_request& request,
                        const exchange_ptr& exchange) {
    if (!HasRequestAndOwner(request.json)) {
      return exchange->Answer(400, ErrorJson("malformed"));
    }
    const request_terms terms = ParseTerms(request.json);
    if (TakeFault(state.faults, "refuse_prefill",
                  {{"request_id", Text(terms.request_id)}})) {
      return exchange->Answer(503, ErrorJson("queue_full"));
    }
    const engine_refusal refusal = StartPrefill(state, terms, Now());
    if (refusal != engine_refusal::none) {
      return exchange->Answer(StatusFor(refusal),
                              ErrorJson(RefusalName(refusal)));
    }
    prefills[terms.request_id] = exchange;
  }

  void AnswerPrefill(const std::string& id) {
    const auto waiting = prefills.extract(id);
    const auto held = state.requests.find(id);
    if (waiting.empty() || held == state.requests.end()) return;
    const held_request& request = held->second;
    const absl::Duration expires = RealTime(request.evicted_at - Now());
    waiting.mapped()->Answer(
        200, {{"request_id", AnswerId(id, "/v1/prefill")},
              {"kv_handle", Text(request.kv_handle)},
              {"prompt_tokens", request.prompt_tokens},
              {"cached_tokens", request.cached_tokens},
              {"pieces", request.pieces},
              {"expires_in_ms",
               std::max<qint64>(0, absl::ToInt64Milliseconds(expires))}});
  }

  void StartExportCall(const http_request& request,
                       const exchange_ptr& exchange) {
    const std::string handle =
        request.path.mid(QString(kExportPath).size()).toStdString();
    const std::string domain =
        request.query.queryItemValue("failure_domain").toStdString();
    const held_request* held = BeginExport(state, handle, domain, Now());
    if (held == nullptr) return exchange->Answer(404, ErrorJson("evicted"));
    exports[held->id] = {exchange,
                         {{"kv_handle", Text(handle)},
                          {"pieces", held->pieces},
                          {"prompt_tokens", held->prompt_tokens}}};
    exchange->OnGone([this, id = held->id, handle] {
      Run([&] {
        exports.erase(id);
        AbandonExport(state, handle, Now());
      });
    });
  }

  void AnswerExport(const std::string& id) {
    const auto waiting = exports.extract(id);
    if (waiting.empty()) return;
    waiting.mapped().exchange->Answer(200, waiting.mapped().answer);
  }

  void StartImportCall(const http_request& request,
                       const exchange_ptr& exchange) {
    const QJsonObject& body = request.json;
    if (!HasRequestAndOwner(body) || TextOf(body, "source").empty()) {
      return exchange->Answer(400, ErrorJson("malformed"));
    }
    const request_terms terms = ParseTerms(body);
    const QJsonObject context = {{"request_id", Text(terms.request_id)}};
    if (const auto fault = TakeFault(state.faults, "refuse_import", context)) {
      return exchange->Answer(
          503, {{"error", fault->value("error").toString("no_slot")}});
    }
    const engine_refusal refusal = BeginImport(state, terms, Now());
    if (refusal != engine_refusal::none) {
      return exchange->Answer(StatusFor(refusal),
                              ErrorJson(RefusalName(refusal)));
    }
    BeginFetch(terms.request_id, body, exchange);
  }

  void BeginFetch(const std::string& id, const QJsonObject& body,
                  const exchange_ptr& exchange) {
    pending_import& pending = imports[id];
    pending.exchange = exchange;
    pending.timeout = RunEvery(RealTime(serving.import_timeout), [this, id] {
      Run([&] { FailImport(id, 504, "stalled"); });
    });
    const auto fetch = [this, id, body] {
      const QString target =
          kExportPath + body.value("kv_handle").toString() +
          "?failure_domain=" + Text(state.settings.failure_domain);
      imports.at(id).fetch = std::make_unique<http_fetch>(
          body.value("source").toString(), target,
          [this, id](int status, const QJsonObject&) { EndFetch(id, status); });
    };
    const auto stall =
        TakeFault(state.faults, "stall_transfer", {{"request_id", Text(id)}});
    if (!stall) return fetch();
    pending.stall =
        RunEvery(FaultDelay(*stall, kStallWithoutEnd), [this, id, fetch] {
          imports.at(id).stall->stop();
          fetch();
        });
  }

  // Deferred, because the fetch that calls must not be destroyed meanwhile.
  void EndFetch(const std::string& id, int status) {
    PostTo(&wake, [this, id, status] {
      Run([&] {
        if (status != 200) {
          return status == 404 ? FailImport(id, 404, "evicted")
                               : FailImport(id, 504, "stalled");
        }
        const auto pending = imports.extract(id);
        if (pending.empty()) return;
        FinishImport(state, id, Now());
        pending.mapped().exchange->Answer(
            200, {{"request_id", AnswerId(id, "/v1/import")}});
      });
    });
  }

  void FailImport(const std::string& id, int status, const char* error) {
    auto pending = imports.extract(id);
    if (pending.empty()) return;
    DropRequest(state, id, Now());
    pending.mapped().exchange->Answer(status, ErrorJson(error));
    // The timer that calls must outlive its own signal.
    pending.mapped().timeout.release()->deleteLater();
  }

  void StartDecodeCall(const http_request& request,
                       const exchange_ptr& exchange) {
    const std::string id = TextOf(request.json, "request_id");
    if (!MayDecode(state, id, TextOf(request.json, "owner"))) {
      return exchange->Answer(409, ErrorJson("not_owner"));
    }
    if (!StartDecode(state, id, Now())) {
      return exchange->Answer(404, ErrorJson("unknown_request"));
    }
    const int from = std::max(0, request.json.value("from").toInt());
    exchange->OnGone([this, id, gone = exchange.get()] {
      DetachStream(streams, state, id, gone);
    });
    AttachStream(streams, state, id, from, exchange);
  }

  void CancelCall(const http_request& request, const exchange_ptr& exchange) {
    const std::string id = TextOf(request.json, "request_id");
    const std::string owner = TextOf(request.json, "owner");
    const QJsonObject context = {{"request_id", Text(id)}};
    if (const auto lost = TakeFault(state.faults, "lose_cancel", context)) {
      if (lost->value("answered").toBool(true)) {
        return exchange->Answer(200, {{"cancelled", true}});
      }
      return exchange->Cut();
    }
    const bool cancelled = CancelRequest(state, id, owner, Now());
    if (cancelled) EndCallsOf(id);
    exchange->Answer(200, {{"cancelled", cancelled}});
  }

  // Answers whoever waits for a request that was cancelled.
  void EndCallsOf(const std::string& id) {
    if (auto call = prefills.extract(id)) {
      call.mapped()->Answer(409, ErrorJson("cancelled"));
    }
    if (auto call = exports.extract(id)) {
      call.mapped().exchange->Answer(404, ErrorJson("evicted"));
    }
    if (auto call = imports.extract(id)) {
      call.mapped().exchange->Answer(409, ErrorJson("cancelled"));
    }
    EndCancelledStream(streams, id);
  }

  void AdoptCall(const http_request& request, const exchange_ptr& exchange) {
    const QJsonObject& body = request.json;
    switch (AdoptRequest(state, TextOf(body, "request_id"),
                         TextOf(body, "owner"), TextOf(body, "new_owner"))) {
      case adopt_result::adopted:
        return exchange->Answer(200, {{"adopted", true}});
      case adopt_result::not_owner:
        return exchange->Answer(409, ErrorJson("not_owner"));
      case adopt_result::unknown:
        return exchange->Answer(404, ErrorJson("unknown_request"));
    }
  }

  void OrderCall(const http_request& request, const exchange_ptr& exchange) {
    const engine_refusal refusal =
        TakeOrder(state, ParseOrder(request.json), Now());
    if (refusal == engine_refusal::none) {
      return exchange->Answer(202, {{"accepted", true}});
    }
    QJsonObject answer = ErrorJson(RefusalName(refusal));
    if (refusal == engine_refusal::stale_fence) {
      answer["fence"] = static_cast<qint64>(state.highest_fence);
    }
    exchange->Answer(StatusFor(refusal), answer);
  }

  using call = void (impl::*)(const http_request&, const exchange_ptr&);

  void AddCall(const char* method, const char* path, call handle) {
    http.Handle(method, path,
                [this, handle](const auto& request, const auto& exchange) {
                  Run([&] { (this->*handle)(request, exchange); });
                });
  }

  template <typename Query>
  void AddQuery(const char* path, Query query) {
    http.Handle("GET", path,
                [this, query](const http_request& request,
                              const exchange_ptr& exchange) {
                  Run([&] { exchange->Answer(200, query(request)); });
                });
  }

  void AddRoutes() {
    AddCall("POST", "/v1/prefill", &impl::StartPrefillCall);
    AddCall("GET", kExportPath, &impl::StartExportCall);
    AddCall("POST", "/v1/import", &impl::StartImportCall);
    AddCall("POST", "/v1/decode", &impl::StartDecodeCall);
    AddCall("POST", "/v1/cancel", &impl::CancelCall);
    AddCall("POST", "/v1/adopt", &impl::AdoptCall);
    AddCall("POST", "/v1/orders", &impl::OrderCall);
    const double scale = serving.time_scale;
    AddQuery("/v1/info",
             [this](const auto&) { return InfoJson(state.settings); });
    AddQuery("/v1/load", [this, scale](const auto&) {
      return LoadJson(state.settings, LaggedLoad(state, Now()), Now(), scale);
    });
    AddQuery("/v1/requests", [this, scale](const http_request& request) {
      if (!request.query.hasQueryItem("since")) {
        return RequestsJson(state, Now(), scale);
      }
      const std::string since =
          request.query.queryItemValue("since").toStdString();
      NoteChanges(changes, state);
      return ChangesJson(state, changes, since, Now(), scale);
    });
    AddQuery("/v1/cache/events", [this](const http_request& request) {
      const qint64 after = request.query.queryItemValue("after").toLongLong();
      return CacheEventsJson(EventsAfter(state.cache, after, Now()));
    });
    AddQuery("/standin/totals",
             [this](const auto&) { return TotalsJson(state.totals); });
    AddQuery("/standin/orders",
             [this](const auto&) { return OrdersJson(state); });
  }

  void StartClock() {
    wake.setSingleShot(true);
    wake.setTimerType(Qt::PreciseTimer);
    QObject::connect(&wake, &QTimer::timeout, [this] { Run([] {}); });
    ScheduleWake();
  }
};

engine_server::engine_server(const engine_settings& settings,
                             const engine_server_settings& serving)
    : impl_(std::make_unique<impl>(settings, serving)) {
  impl_->AddRoutes();
  impl_->http.OnFaultsChanged([state = impl_.get()] { state->Run([] {}); });
  impl_->StartClock();
}

engine_server::~engine_server() = default;

json_http_server& engine_server::Http() { return impl_->http; }

}  // namespace anvilridge
