#include "config/config_snapshot.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QString>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "config/check_references.h"
#include "config/config_names.h"
#include "config/object_fields.h"

namespace anvilridge {
namespace {

constexpr int kFormat = 1;

absl::Status Invalid(absl::string_view detail) {
  return MakeError(error_kind::config_invalid,
                   absl::StrCat("snapshot: ", detail));
}

QString ToQt(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

QJsonValue ToJson(int64_t number) { return static_cast<double>(number); }

int64_t ToInteger(const QJsonValue& value) {
  return static_cast<int64_t>(value.toDouble());
}

std::string ToText(const QJsonValue& value) {
  return value.toString().toStdString();
}

QJsonObject EncodeOrder(const upstream_order& order) {
  return {
      {"order", ToQt(NameOf(order.kind))},    {"model", ToQt(order.model)},
      {"version", ToQt(order.model_version)}, {"adapter", ToQt(order.adapter)},
      {"role", ToQt(NameOf(order.role))},     {"fence", ToJson(order.fence)}};
}

absl::StatusOr<upstream_order> DecodeOrder(const QJsonObject& json) {
  const auto kind = EnumNamed<order_kind>(ToText(json["order"]));
  const auto role = EnumNamed<pool_role>(ToText(json["role"]));
  if (!kind || !role) return Invalid("unknown order");
  return upstream_order{*kind,
                        ToText(json["model"]),
                        ToText(json["version"]),
                        ToText(json["adapter"]),
                        *role,
                        ToInteger(json["fence"])};
}

template <typename T>
void EncodeRest(const T&, QJsonObject&) {}

void EncodeRest(const upstream_config& upstream, QJsonObject& json) {
  QJsonArray orders;
  for (const auto& order : upstream.orders) orders.append(EncodeOrder(order));
  json.insert("orders", orders);
}

template <typename T>
absl::Status DecodeRest(const QJsonObject&, T&) {
  return absl::OkStatus();
}

absl::Status DecodeRest(const QJsonObject& json, upstream_config& upstream) {
  for (const QJsonValue row : json["orders"].toArray()) {
    auto order = DecodeOrder(row.toObject());
    if (!order.ok()) return order.status();
    upstream.orders.push_back(*std::move(order));
  }
  return absl::OkStatus();
}

template <typename T>
QJsonObject EncodeObject(const T& object) {
  QJsonObject fields;
  for (const auto& field : FieldsOf<T>()) {
    fields.insert(ToQt(field.name), ToQt(field.get(object)));
  }
  QJsonObject json{{"version", ToJson(object.version)}, {"fields", fields}};
  EncodeRest(object, json);
  return json;
}

template <typename T>
absl::Status DecodeObject(const QJsonObject& json, T& object) {
  object.version = ToInteger(json["version"]);
  if (object.version <= 0) return Invalid("an object has no version");
  const QJsonObject fields = json["fields"].toObject();
  for (const auto& field : FieldsOf<T>()) {
    const QJsonValue value = fields[ToQt(field.name)];
    if (!value.isString() || !field.set(object, ToText(value))) {
      return Invalid(absl::StrCat(object.name, ": ", field.name, ": expected ",
                                  field.expected));
    }
  }
  return DecodeRest(json, object);
}

constexpr object_kind kKinds[] = {object_kind::pool,  object_kind::upstream,
                                  object_kind::route, object_kind::team,
                                  object_kind::key,   object_kind::link};

template <typename Objects>
QJsonObject EncodeObjects(const Objects& objects) {
  QJsonObject json;
  for (const auto& [name, object] : objects) {
    json.insert(ToQt(name), EncodeObject(object));
  }
  return json;
}

template <typename Objects>
absl::Status DecodeObjects(const QJsonValue& value, Objects& objects) {
  if (!value.isObject()) return Invalid("a kind of objects is missing");
  const QJsonObject json = value.toObject();
  for (auto row = json.begin(); row != json.end(); ++row) {
    typename Objects::mapped_type object;
    object.name = row.key().toStdString();
    auto decoded = DecodeObject(row.value().toObject(), object);
    if (!decoded.ok()) return decoded;
    objects.emplace(object.name, std::move(object));
  }
  return absl::OkStatus();
}

QJsonObject EncodeEntry(const history_entry& entry) {
  return {{"offset", ToJson(entry.offset)},
          {"recorded_ms", ToJson(absl::ToUnixMillis(entry.recorded))},
          {"outcome", ToQt(NameOf(entry.outcome))},
          {"detail", ToQt(entry.detail)},
          {"command", EncodeCommand(entry.command)}};
}

// A command that was rejected for its form is in the history all the same.
config_command DecodeAnyCommand(const QJsonObject& json) {
  if (auto command = DecodeCommand(json); command.ok()) return *command;
  config_command command;
  command.id = ToText(json["id"]);
  command.author = ToText(json["author"]);
  command.reason = ToText(json["reason"]);
  command.name = ToText(json["name"]);
  command.time = absl::FromUnixMillis(ToInteger(json["time_ms"]));
  return command;
}

absl::StatusOr<history_entry> DecodeEntry(const QJsonObject& json) {
  const auto outcome = EnumNamed<command_outcome>(ToText(json["outcome"]));
  if (!outcome) return Invalid("unknown outcome");
  history_entry entry;
  entry.offset = ToInteger(json["offset"]);
  entry.recorded = absl::FromUnixMillis(ToInteger(json["recorded_ms"]));
  entry.outcome = *outcome;
  entry.detail = ToText(json["detail"]);
  entry.command = DecodeAnyCommand(json["command"].toObject());
  return entry;
}

absl::Status DecodeHistory(const QJsonValue& value, config_state& state) {
  if (!value.isArray()) return Invalid("history: expected an array");
  for (const QJsonValue row : value.toArray()) {
    auto entry = DecodeEntry(row.toObject());
    if (!entry.ok()) return entry.status();
    state.history.push_back(
        std::make_shared<const history_entry>(*std::move(entry)));
  }
  return absl::OkStatus();
}

}  // namespace

QJsonObject EncodeSnapshot(const config_state& state) {
  QJsonObject json{{"format", kFormat},
                   {"applied_offset", ToJson(state.applied_offset)}};
  for (const object_kind kind : kKinds) {
    WithObjects(state, kind, [&](const auto& objects) {
      json.insert(ToQt(NameOf(kind)), EncodeObjects(objects));
    });
  }
  QJsonArray cancels;
  for (const request_cancel& cancel : state.cancels) {
    cancels.append(QJsonObject{{"request", ToQt(cancel.request_id)},
                               {"offset", ToJson(cancel.offset)}});
  }
  QJsonArray history;
  for (const auto& entry : state.history) history.append(EncodeEntry(*entry));
  json.insert("cancels", cancels);
  json.insert("history", history);
  return json;
}

absl::StatusOr<config_state> DecodeSnapshot(const QJsonObject& json) {
  if (json["format"].toInt() != kFormat) return Invalid("unknown format");
  config_state state;
  state.applied_offset = ToInteger(json["applied_offset"]);
  if (state.applied_offset < 0) return Invalid("negative offset");
  absl::Status decoded;
  for (const object_kind kind : kKinds) {
    WithObjects(state, kind, [&](auto& objects) {
      decoded.Update(DecodeObjects(json[ToQt(NameOf(kind))], objects));
    });
  }
  for (const QJsonValue row : json["cancels"].toArray()) {
    state.cancels.push_back({ToText(row["request"]), ToInteger(row["offset"])});
  }
  decoded.Update(DecodeHistory(json["history"], state));
  // Objects refer to each other, so they are checked once all are there.
  decoded.Update(CheckAllObjects(state));
  if (!decoded.ok()) return decoded;
  return state;
}

std::string SnapshotText(const config_state& state) {
  return QJsonDocument(EncodeSnapshot(state))
      .toJson(QJsonDocument::Compact)
      .toStdString();
}

absl::StatusOr<config_state> ParseSnapshot(absl::string_view text) {
  const auto document = QJsonDocument::fromJson(
      QByteArray(text.data(), static_cast<qsizetype>(text.size())));
  if (!document.isObject()) return Invalid("expected a JSON object");
  return DecodeSnapshot(document.object());
}

}  // namespace anvilridge
