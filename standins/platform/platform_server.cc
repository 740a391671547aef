#include "platform/platform_server.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QObject>
#include <algorithm>
#include <deque>
#include <list>

#include "base/clock.h"
#include "base/event_loop.h"

namespace anvilridge {
namespace {

constexpr char kLogPath[] = "/log/";
constexpr int kDefaultLimit = 100;
constexpr int kMaxLimit = 10000;
constexpr qint64 kMaxWaitMs = 60000;

QJsonObject RecordJson(const stored_record& record) {
  return {{"offset", static_cast<qint64>(record.offset)},
          {"time_ms", static_cast<qint64>(absl::ToUnixMillis(record.time))},
          {"id", QString::fromStdString(record.id)},
          {"data", record.data}};
}

QJsonObject PageJson(const stored_page& page) {
  QJsonArray records;
  for (const stored_record& record : page.records) {
    records.append(RecordJson(record));
  }
  return {{"records", records},
          {"next", static_cast<qint64>(page.next)},
          {"oldest", static_cast<qint64>(page.oldest)},
          {"complete_since_ms",
           static_cast<qint64>(absl::ToUnixMillis(page.complete_since))}};
}

std::vector<new_record> ParseRecords(const QJsonObject& body) {
  std::vector<new_record> records;
  const QJsonArray list = body.value("records").toArray();
  for (const QJsonValue row : list) {
    records.push_back({row["id"].toString().toStdString(), row["data"]});
  }
  return records;
}

/// A read that waits for a record.
struct waiting_read {
  std::string stream;
  int64_t from = 1;
  int limit = kDefaultLimit;
  exchange_ptr exchange;
  /// Tells this read from all others.
  uint64_t ticket = 0;
};

/// The VM list from some time on.
struct vm_list_version {
  absl::Time shown_at;
  QJsonArray vms;
};

}  // namespace

struct platform_server::impl {
  explicit impl(const platform_standin_settings& settings)
      : settings(settings), http(faults) {
    log.settings = settings.log;
    faults.known = {"outage",    "slow",       "lose_answer_after_effect",
                    "half_page", "freeze_vms", "late_answer"};
  }

  platform_standin_settings settings;
  fault_table faults;
  json_http_server http;
  QObject timers;
  log_store log;
  std::list<waiting_read> waiting;
  uint64_t last_ticket = 0;
  std::deque<vm_list_version> vm_lists;
  QJsonArray frozen_vms;
  bool vms_are_frozen = false;
  absl::Time weights_free_at = absl::InfinitePast();
  QJsonArray deliveries;

  // Answers 503 when an outage covers `what`.
  bool RefusedByOutage(const char* what, const std::string& stream,
                       const exchange_ptr& exchange) {
    const QJsonObject context = {{"what", what},
                                 {"stream", QString::fromStdString(stream)}};
    if (!TakeFault(faults, "outage", context)) return false;
    exchange->Answer(503, {{"error", "unavailable"}});
    return true;
  }

  void Append(const http_request& request, const exchange_ptr& exchange) {
    const std::string stream = StreamOf(request);
    if (RefusedByOutage("append", stream, exchange)) return;
    if (!request.json.value("records").isArray()) {
      return exchange->Answer(400, {{"error", "malformed"}});
    }
    if (!TakeAppend(log, MonotonicNow())) {
      return exchange->Answer(429, {{"error", "rate"}}, {{"Retry-After", "1"}});
    }
    const std::vector<new_record> records = ParseRecords(request.json);
    const int64_t first = AppendRecords(log, stream, records, WallNow());
    exchange->Answer(200, AppendedJson(first, records.size()));
    WakeReaders(stream);
  }

  static QJsonObject AppendedJson(int64_t first, size_t count) {
    QJsonArray offsets;
    const int64_t next = first + static_cast<int64_t>(count);
    for (int64_t offset = first; offset < next; ++offset) {
      offsets.append(static_cast<qint64>(offset));
    }
    return {{"offsets", offsets}, {"next", static_cast<qint64>(next)}};
  }

  static std::string StreamOf(const http_request& request) {
    return request.path.mid(QString(kLogPath).size()).toStdString();
  }

  void Read(const http_request& request, const exchange_ptr& exchange) {
    waiting_read read;
    read.stream = StreamOf(request);
    read.exchange = exchange;
    if (RefusedByOutage("read", read.stream, exchange)) return;
    const QUrlQuery& query = request.query;
    read.from = std::max<qint64>(1, query.queryItemValue("from").toLongLong());
    const int limit = query.queryItemValue("limit").toInt();
    if (limit > 0) read.limit = std::min(limit, kMaxLimit);
    const qint64 wait_ms = query.queryItemValue("wait_ms").toLongLong();
    const bool at_end = read.from >= log.streams[read.stream].next;
    if (!at_end || wait_ms <= 0) return AnswerRead(read);
    Wait(std::move(read), std::min(wait_ms, kMaxWaitMs));
  }

  void Wait(waiting_read read, qint64 wait_ms) {
    const uint64_t ticket = ++last_ticket;
    read.ticket = ticket;
    read.exchange->OnGone([this, ticket] { TakeTicket(ticket); });
    waiting.push_back(std::move(read));
    RunAfter(&timers, absl::Milliseconds(wait_ms), [this, ticket] {
      for (const waiting_read& ended : TakeTicket(ticket)) AnswerRead(ended);
    });
  }

  std::vector<waiting_read> TakeTicket(uint64_t ticket) {
    return TakeWaiting(
        [ticket](const auto& entry) { return entry.ticket == ticket; });
  }

  template <typename Predicate>
  std::vector<waiting_read> TakeWaiting(const Predicate& taken) {
    std::vector<waiting_read> result;
    for (auto it = waiting.begin(); it != waiting.end();) {
      const bool take = taken(*it);
      if (take) result.push_back(*it);
      it = take ? waiting.erase(it) : std::next(it);
    }
    return result;
  }

  void WakeReaders(const std::string& stream) {
    const int64_t next = log.streams[stream].next;
    for (const waiting_read& read : TakeWaiting([&](const auto& entry) {
           return entry.stream == stream && entry.from < next;
         })) {
      AnswerRead(read);
    }
  }

  void AnswerRead(const waiting_read& read) {
    const stored_page page =
        ReadRecords(log, read.stream, read.from, read.limit, WallNow());
    const QByteArray body =
        QJsonDocument(PageJson(page)).toJson(QJsonDocument::Compact);
    const QJsonObject context = {
        {"stream", QString::fromStdString(read.stream)}};
    const bool half = TakeFault(faults, "half_page", context).has_value();
    read.exchange->AnswerBytes(200, half ? body.left(body.size() / 2) : body);
  }

  // An outage ends the reads that wait.
  void ApplyOutageToWaiting() {
    for (const waiting_read& read : TakeWaiting([&](const auto& entry) {
           return FaultIsOn(faults, "outage",
                            {{"what", "read"},
                             {"stream", QString::fromStdString(entry.stream)}});
         })) {
      read.exchange->Answer(503, {{"error", "unavailable"}});
    }
  }

  QJsonArray ShownVms() const {
    QJsonArray shown;
    const absl::Time now = MonotonicNow();
    for (const vm_list_version& version : vm_lists) {
      if (version.shown_at <= now) shown = version.vms;
    }
    return shown;
  }

  void PutVms(const http_request& request, const exchange_ptr& exchange) {
    const bool immediate = request.json.value("immediate").toBool();
    const absl::Duration lag =
        immediate ? absl::ZeroDuration() : settings.vms_lag;
    if (immediate) vm_lists.clear();
    vm_lists.push_back(
        {MonotonicNow() + lag, request.json.value("vms").toArray()});
    exchange->Answer(
        200,
        {{"shown_in_ms", static_cast<qint64>(absl::ToInt64Milliseconds(lag))}});
  }

  void GetVms(const http_request&, const exchange_ptr& exchange) {
    if (RefusedByOutage("vms", "", exchange)) return;
    exchange->Answer(200, {{"vms", vms_are_frozen ? frozen_vms : ShownVms()}});
  }

  void ApplyFreezeOfVms() {
    const bool freeze = FaultIsOn(faults, "freeze_vms");
    if (freeze && !vms_are_frozen) frozen_vms = ShownVms();
    vms_are_frozen = freeze;
  }

  void FetchWeights(const http_request& request, const exchange_ptr& exchange) {
    if (RefusedByOutage("weights", "", exchange)) return;
    const absl::Time now = MonotonicNow();
    weights_free_at = std::max(weights_free_at, now) + settings.weights_time;
    RunAfter(&timers, weights_free_at - now,
             [this, exchange, wanted = request.json] {
               deliveries.append(wanted);
               QJsonObject answer = wanted;
               answer["delivered"] = true;
               exchange->Answer(200, answer);
             });
  }

  QJsonObject TotalsJson() const {
    return {{"appends", static_cast<qint64>(log.appends)},
            {"appends_refused", static_cast<qint64>(log.appends_refused)},
            {"waiting_reads", static_cast<qint64>(waiting.size())},
            {"weights", deliveries}};
  }

  using call = void (impl::*)(const http_request&, const exchange_ptr&);

  void AddCall(const char* method, const char* path, call handle) {
    http.Handle(method, path,
                [this, handle](const auto& request, const auto& exchange) {
                  (this->*handle)(request, exchange);
                });
  }

  void AddRoutes() {
    AddCall("POST", kLogPath, &impl::Append);
    AddCall("GET", kLogPath, &impl::Read);
    AddCall("GET", "/vms", &impl::GetVms);
    AddCall("PUT", "/standin/vms", &impl::PutVms);
    AddCall("POST", "/weights/fetch", &impl::FetchWeights);
    http.Handle("GET", "/standin/totals",
                [this](const auto&, const auto& exchange) {
                  exchange->Answer(200, TotalsJson());
                });
    http.OnFaultsChanged([this] {
      ApplyOutageToWaiting();
      ApplyFreezeOfVms();
    });
  }
};

platform_server::platform_server(const platform_standin_settings& settings)
    : impl_(std::make_unique<impl>(settings)) {
  impl_->AddRoutes();
}

platform_server::~platform_server() = default;

json_http_server& platform_server::Http() { return impl_->http; }

}  // namespace anvilridge
