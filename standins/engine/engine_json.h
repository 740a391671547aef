#ifndef ANVILRIDGE_STANDINS_ENGINE_ENGINE_JSON_H_
#define ANVILRIDGE_STANDINS_ENGINE_ENGINE_JSON_H_

#include <QJsonObject>
#include <string>

#include "engine/engine_model.h"
#include "engine/request_changes.h"

namespace anvilridge {

/// Returns `{error: ...}`.
QJsonObject ErrorJson(absl::string_view error);

/// Returns the HTTP status of `refusal`.
int StatusFor(engine_refusal refusal);

/// Returns the text member `key` of `object`, or "".
std::string TextOf(const QJsonObject& object, const char* key);

/// Parses the body of a prefill or import.
request_terms ParseTerms(const QJsonObject& body);

/// Parses the body of an order.
engine_order ParseOrder(const QJsonObject& body);

/// Whether the body names a request and an owner.
bool HasRequestAndOwner(const QJsonObject& body);

QJsonObject InfoJson(const engine_settings& settings);

/// `time_scale` turns times of the engine's clock into real ones.
QJsonObject LoadJson(const engine_settings& settings, const load_sample& load,
                     absl::Time now, double time_scale);
QJsonObject RequestsJson(const engine_state& state, absl::Time now,
                         double time_scale);
/// The list for a caller that knows the version `since`, if any.
QJsonObject ChangesJson(const engine_state& state,
                        const request_changes& changes, absl::string_view since,
                        absl::Time now, double time_scale);
QJsonObject CacheEventsJson(const visible_events& visible);
QJsonObject TotalsJson(const engine_totals& totals);
QJsonObject OrdersJson(const engine_state& state);

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_ENGINE_ENGINE_JSON_H_
