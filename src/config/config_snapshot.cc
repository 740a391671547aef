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
#include "upstreams/json_reader.h"

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

std::string ToText(const QJsonValue& value) {
  return value.toString().toStdString();
}

// Returns the first member that was found wrong, as a part of `of`.
absl::Status Check(const json_reader& members, absl::string_view of) {
  if (members.status.ok()) return absl::OkStatus();
  return Invalid(absl::StrCat(of, ": ", ProblemOf(members)));
}

template <typename E>
absl::Status ReadEnum(json_reader& members, const char* name, E& value) {
  const auto named = EnumNamed<E>(ReadText(members, name));
  if (!named) {
    return Invalid(absl::StrCat(name, ": expected ", AlternativesOf<E>()));
  }
  value = *named;
  return absl::OkStatus();
}

QJsonObject EncodeOrder(const upstream_order& order) {
  return {
      {"order", ToQt(NameOf(order.kind))},    {"model", ToQt(order.model)},
      {"version", ToQt(order.model_version)}, {"adapter", ToQt(order.adapter)},
      {"role", ToQt(NameOf(order.role))},     {"fence", ToJson(order.fence)}};
}

absl::StatusOr<upstream_order> DecodeOrder(const QJsonValue& json) {
  json_reader members = ReaderOf(json);
  upstream_order order;
  order.model = ReadText(members, "model");
  order.model_version = ReadText(members, "version");
  order.adapter = ReadText(members, "adapter");
  order.fence = ReadInteger(members, "fence");
  absl::Status check = Check(members, "order");
  check.Update(ReadEnum(members, "order", order.kind));
  check.Update(ReadEnum(members, "role", order.role));
  if (!check.ok()) return check;
  return order;
}

template <typename T>
void EncodeRest(const T&, QJsonObject&) {}

void EncodeRest(const upstream_config& upstream, QJsonObject& json) {
  QJsonArray orders;
  for (const auto& order : upstream.orders) orders.append(EncodeOrder(order));
  json.insert("orders", orders);
}

template <typename T>
absl::Status DecodeRest(json_reader&, T&) {
  return absl::OkStatus();
}

absl::Status DecodeRest(json_reader& members, upstream_config& upstream) {
  for (const QJsonValue row : ReadArray(members, "orders")) {
    auto order = DecodeOrder(row);
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
absl::Status DecodeObject(const QJsonValue& json, T& object) {
  json_reader members = ReaderOf(json);
  object.version = ReadInteger(members, "version");
  const QJsonObject fields = ReadObject(members, "fields");
  if (auto check = Check(members, object.name); !check.ok()) return check;
  if (object.version == 0) {
    return Invalid(absl::StrCat(object.name, ": version: expected one"));
  }
  for (const auto& field : FieldsOf<T>()) {
    const QJsonValue value = fields[ToQt(field.name)];
    if (!value.isString() || !field.set(object, ToText(value))) {
      return Invalid(absl::StrCat(object.name, ": ", field.name, ": expected ",
                                  field.expected));
    }
  }
  if (auto rest = DecodeRest(members, object); !rest.ok()) return rest;
  return Check(members, object.name);
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
    auto decoded = DecodeObject(row.value(), object);
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

// A command that was rejected for its form, or that another version of the
// daemon wrote, is in the history all the same.
absl::StatusOr<config_command> DecodeOutline(const QJsonObject& json) {
  json_reader members = ReaderOf(json);
  config_command command;
  command.id = ReadText(members, "id");
  command.author = ReadText(members, "author");
  command.reason = ReadText(members, "reason");
  command.name = ReadText(members, "name");
  command.time = absl::FromUnixMillis(ReadInteger(members, "time_ms"));
  if (auto check = Check(members, "command"); !check.ok()) return check;
  return command;
}

absl::StatusOr<history_entry> DecodeEntry(const QJsonValue& json) {
  json_reader members = ReaderOf(json);
  history_entry entry;
  entry.offset = ReadInteger(members, "offset");
  entry.recorded = absl::FromUnixMillis(ReadInteger(members, "recorded_ms"));
  entry.detail = ReadText(members, "detail");
  const QJsonObject object = ReadObject(members, "command");
  absl::Status check = Check(members, "history");
  check.Update(ReadEnum(members, "outcome", entry.outcome));
  if (!check.ok()) return check;
  auto command = DecodeCommand(object);
  if (!command.ok()) command = DecodeOutline(object);
  if (!command.ok()) return command.status();
  entry.command = *std::move(command);
  return entry;
}

absl::StatusOr<request_cancel> DecodeCancel(const QJsonValue& json) {
  json_reader members = ReaderOf(json);
  request_cancel cancel;
  cancel.request_id = ReadText(members, "request");
  cancel.offset = ReadInteger(members, "offset");
  if (auto check = Check(members, "cancels"); !check.ok()) return check;
  return cancel;
}

absl::Status DecodeCancels(const QJsonArray& rows, config_state& state) {
  for (const QJsonValue row : rows) {
    auto cancel = DecodeCancel(row);
    if (!cancel.ok()) return cancel.status();
    state.cancels.push_back(*std::move(cancel));
  }
  return absl::OkStatus();
}

absl::Status DecodeHistory(const QJsonArray& rows, config_state& state) {
  for (const QJsonValue row : rows) {
    auto entry = DecodeEntry(row);
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
  json_reader members = ReaderOf(json);
  config_state state;
  state.applied_offset = ReadInteger(members, "applied_offset");
  const QJsonArray cancels = ReadArray(members, "cancels");
  const QJsonArray history = ReadArray(members, "history");
  absl::Status decoded = Check(members, "state");
  for (const object_kind kind : kKinds) {
    WithObjects(state, kind, [&](auto& objects) {
      decoded.Update(DecodeObjects(json[ToQt(NameOf(kind))], objects));
    });
  }
  decoded.Update(DecodeCancels(cancels, state));
  decoded.Update(DecodeHistory(history, state));
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
