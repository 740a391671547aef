#include "engine/engine_json.h"

#include <QJsonArray>
#include <optional>
#include <set>

#include "base/clock.h"

namespace anvilridge {
namespace {

constexpr int kDefaultPriority = 5;
constexpr int kDefaultMaxTokens = 16;

QString Text(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

qint64 RealMilliseconds(absl::Duration engine_time, double time_scale) {
  return absl::ToInt64Milliseconds(engine_time / time_scale);
}

QJsonObject RequestJson(const held_request& request, absl::Time now,
                        double time_scale) {
  return {{"request_id", Text(request.id)},
          {"owner", Text(request.owner)},
          {"phase", Text(PhaseName(request.phase))},
          {"pieces", request.pieces},
          {"prompt_tokens", request.prompt_tokens},
          {"generated", request.generated},
          {"max_tokens", request.max_tokens},
          {"age_ms", RealMilliseconds(now - request.arrived, time_scale)},
          {"attached", request.attached}};
}

// Rows of the requests in `wanted`; of all when it is null.
QJsonArray RowsJson(const engine_state& state,
                    const std::set<std::string>* wanted, absl::Time now,
                    double time_scale) {
  QJsonArray rows;
  for (const auto& [id, request] : state.requests) {
    const bool skipped = wanted != nullptr && wanted->count(id) == 0;
    if (!skipped) rows.append(RequestJson(request, now, time_scale));
  }
  return rows;
}

}  // namespace

QJsonObject ErrorJson(absl::string_view error) {
  return {{"error", Text(error)}};
}

int StatusFor(engine_refusal refusal) {
  switch (refusal) {
    case engine_refusal::queue_full:
    case engine_refusal::no_slot:
    case engine_refusal::no_pieces:
      return 503;
    case engine_refusal::unknown_order:
      return 400;
    default:
      return 409;
  }
}

std::string TextOf(const QJsonObject& object, const char* key) {
  return object.value(QLatin1String(key)).toString().toStdString();
}

request_terms ParseTerms(const QJsonObject& body) {
  request_terms terms;
  terms.request_id = TextOf(body, "request_id");
  terms.owner = TextOf(body, "owner");
  terms.model = TextOf(body, "model");
  terms.prompt = TextOf(body, "prompt");
  terms.max_tokens = body.value("max_tokens").toInt(kDefaultMaxTokens);
  terms.priority = body.value("priority").toInt(kDefaultPriority);
  terms.pieces = body.value("pieces").toInt();
  terms.prompt_tokens = body.value("prompt_tokens").toInt();
  terms.generated_tokens = body.value("generated_tokens").toInt();
  return terms;
}

engine_order ParseOrder(const QJsonObject& body) {
  engine_order order;
  order.order = TextOf(body, "order");
  order.model = TextOf(body, "model");
  order.version = TextOf(body, "version");
  order.adapter = TextOf(body, "adapter");
  order.role = TextOf(body, "role");
  order.fence = body.value("fence").toInteger();
  return order;
}

bool HasRequestAndOwner(const QJsonObject& body) {
  return !TextOf(body, "request_id").empty() && !TextOf(body, "owner").empty();
}

QJsonObject InfoJson(const engine_settings& settings) {
  return {{"id", Text(settings.id)},
          {"model", Text(settings.model)},
          {"version", Text(settings.version)},
          {"role", Text(settings.role)},
          {"failure_domain", Text(settings.failure_domain)},
          {"slots", settings.slots},
          {"pieces", settings.pieces},
          {"checks_fencing", settings.checks_fencing}};
}

QJsonObject LoadJson(const engine_settings& settings, const load_sample& load,
                     absl::Time now, double time_scale) {
  const qint64 real_now = absl::ToUnixMillis(WallNow());
  return {
      {"as_of_ms", real_now - RealMilliseconds(now - load.time, time_scale)},
      {"slots", settings.slots},
      {"slots_used", load.slots_used},
      {"pieces", settings.pieces},
      {"pieces_used", load.pieces_used},
      {"queued", load.queued},
      {"queued_tokens", load.queued_tokens}};
}

QJsonObject ChangesJson(const engine_state& state,
                        const request_changes& changes, absl::string_view since,
                        absl::Time now, double time_scale) {
  const std::optional<changed_requests> changed = ChangesSince(changes, since);
  QJsonObject answer{{"version", Text(VersionText(changes))}};
  if (!changed) {
    answer["requests"] = RowsJson(state, nullptr, now, time_scale);
    return answer;
  }
  QJsonArray gone;
  for (const std::string& id : changed->gone) gone.append(Text(id));
  answer["since"] = Text(since);
  answer["requests"] = RowsJson(state, &changed->changed, now, time_scale);
  answer["gone"] = gone;
  return answer;
}

QJsonObject RequestsJson(const engine_state& state, absl::Time now,
                         double time_scale) {
  QJsonArray requests = RowsJson(state, nullptr, now, time_scale);
  QJsonArray finished;
  for (const auto& [id, request] : state.finished) {
    finished.append(QJsonObject{{"request_id", Text(id)},
                                {"generated", request.generated}});
  }
  return {{"requests", requests}, {"finished", finished}};
}

QJsonObject CacheEventsJson(const visible_events& visible) {
  QJsonArray events;
  constexpr int kHexDigits = 16;
  constexpr int kHexBase = 16;
  for (const prefix_event& event : visible.events) {
    events.append(QJsonObject{
        {"seq", static_cast<qint64>(event.seq)},
        {"op", event.stored ? "stored" : "evicted"},
        {"prefix", QString("%1").arg(static_cast<qulonglong>(event.prefix),
                                     kHexDigits, kHexBase, QChar('0'))}});
  }
  return {{"events", events},
          {"last_seq", static_cast<qint64>(visible.last_seq)}};
}

QJsonObject TotalsJson(const engine_totals& totals) {
  QJsonObject started;
  for (const auto& [id, count] : totals.started) started[Text(id)] = count;
  return {{"prefilled_tokens", static_cast<qint64>(totals.prefilled_tokens)},
          {"exported_tokens", static_cast<qint64>(totals.exported_tokens)},
          {"evicted_results", static_cast<qint64>(totals.evicted_results)},
          {"evicted_tokens", static_cast<qint64>(totals.evicted_tokens)},
          {"cancelled_tokens", static_cast<qint64>(totals.cancelled_tokens)},
          {"generated_tokens", static_cast<qint64>(totals.generated_tokens)},
          {"finished_requests", static_cast<qint64>(totals.finished_requests)},
          {"started", started}};
}

QJsonObject OrdersJson(const engine_state& state) {
  QJsonArray orders;
  for (const engine_order& order : state.orders) {
    orders.append(QJsonObject{{"order", Text(order.order)},
                              {"model", Text(order.model)},
                              {"version", Text(order.version)},
                              {"adapter", Text(order.adapter)},
                              {"role", Text(order.role)},
                              {"fence", static_cast<qint64>(order.fence)}});
  }
  return {{"orders", orders},
          {"highest_fence", static_cast<qint64>(state.highest_fence)}};
}

}  // namespace anvilridge
