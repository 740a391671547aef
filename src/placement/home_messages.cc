#include "placement/home_messages.h"

#include <QString>
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

constexpr int kMaxTokens = 10'000'000;
constexpr int64_t kMaxMicroseconds = 3'600'000'000;

QString ToQt(const std::string& text) { return QString::fromStdString(text); }

// Reads the fields of one message and remembers the first that is wrong.
class field_reader {
 public:
  explicit field_reader(const QCborMap& map) : map_(map) {}

  std::string Text(const char* key) {
    const QCborValue value = map_.value(QLatin1String(key));
    if (!value.isString() || value.toString().isEmpty()) Fail(key);
    return value.toString().toStdString();
  }

  int Count(const char* key) {
    return static_cast<int>(Integer(key, kMaxTokens));
  }

  absl::Duration Time(const char* key) {
    return absl::Microseconds(Integer(key, kMaxMicroseconds));
  }

  bool Flag(const char* key) {
    const QCborValue value = map_.value(QLatin1String(key));
    if (!value.isBool()) Fail(key);
    return value.toBool();
  }

  template <typename T>
  absl::StatusOr<T> Finish(T message) const {
    if (wrong_.empty()) return message;
    return MakeError(error_kind::malformed_request,
                     absl::StrCat("peer message: field ", wrong_));
  }

 private:
  int64_t Integer(const char* key, int64_t most) {
    const QCborValue value = map_.value(QLatin1String(key));
    const int64_t number = value.toInteger(-1);
    if (number < 0 || number > most) Fail(key);
    return number;
  }

  void Fail(const char* key) {
    if (wrong_.empty()) wrong_ = key;
  }

  const QCborMap& map_;
  std::string wrong_;
};

qint64 Microseconds(absl::Duration duration) {
  const int64_t count = absl::ToInt64Microseconds(duration);
  return std::min(std::max<int64_t>(count, 0), kMaxMicroseconds);
}

}  // namespace

QCborMap ToCbor(const decode_ask_message& message) {
  return {{QLatin1String("engine"), ToQt(message.engine)},
          {QLatin1String("id"), ToQt(message.ask.request_id)},
          {QLatin1String("owner"), ToQt(message.ask.owner)},
          {QLatin1String("pieces"), message.ask.pieces},
          {QLatin1String("needed"), Microseconds(message.ask.needed_in)},
          {QLatin1String("use"), Microseconds(message.ask.expected_use)},
          {QLatin1String("wait"), Microseconds(message.ask.may_wait)},
          {QLatin1String("team"), ToQt(message.ask.team)}};
}

QCborMap ToCbor(const prefill_ask_message& message) {
  return {{QLatin1String("engine"), ToQt(message.engine)},
          {QLatin1String("id"), ToQt(message.ask.request_id)},
          {QLatin1String("owner"), ToQt(message.ask.owner)},
          {QLatin1String("tokens"), message.ask.tokens},
          {QLatin1String("wait"), Microseconds(message.ask.longest_wait)}};
}

QCborMap ToCbor(const release_message& message) {
  return {{QLatin1String("engine"), ToQt(message.engine)},
          {QLatin1String("id"), ToQt(message.request_id)},
          {QLatin1String("tokens"), message.prefill_tokens},
          {QLatin1String("time"), Microseconds(message.prefill_time)},
          {QLatin1String("finished"), message.finished}};
}

QCborMap ToCbor(const decode_answer& answer) {
  return {{QLatin1String("granted"), answer.granted},
          {QLatin1String("slots"), answer.free_slots},
          {QLatin1String("pieces"), answer.free_pieces},
          {QLatin1String("free_in"), Microseconds(answer.free_in)}};
}

QCborMap ToCbor(const prefill_answer& answer) {
  return {{QLatin1String("granted"), answer.granted},
          {QLatin1String("wait"), Microseconds(answer.wait)},
          {QLatin1String("work"), Microseconds(answer.work)}};
}

absl::StatusOr<decode_ask_message> ParseDecodeAsk(const QCborMap& map) {
  field_reader fields(map);
  decode_ask_message message;
  message.engine = fields.Text("engine");
  message.ask.request_id = fields.Text("id");
  message.ask.owner = fields.Text("owner");
  message.ask.pieces = fields.Count("pieces");
  message.ask.needed_in = fields.Time("needed");
  message.ask.expected_use = fields.Time("use");
  message.ask.may_wait = fields.Time("wait");
  // Absent from daemons of the version before.
  message.ask.team = map.value(QLatin1String("team")).toString().toStdString();
  return fields.Finish(std::move(message));
}

absl::StatusOr<prefill_ask_message> ParsePrefillAsk(const QCborMap& map) {
  field_reader fields(map);
  prefill_ask_message message;
  message.engine = fields.Text("engine");
  message.ask.request_id = fields.Text("id");
  message.ask.owner = fields.Text("owner");
  message.ask.tokens = fields.Count("tokens");
  message.ask.longest_wait = fields.Time("wait");
  return fields.Finish(std::move(message));
}

absl::StatusOr<release_message> ParseRelease(const QCborMap& map) {
  field_reader fields(map);
  release_message message;
  message.engine = fields.Text("engine");
  message.request_id = fields.Text("id");
  message.prefill_tokens = fields.Count("tokens");
  message.prefill_time = fields.Time("time");
  message.finished = fields.Flag("finished");
  return fields.Finish(std::move(message));
}

absl::StatusOr<decode_answer> ParseDecodeAnswer(const QCborMap& map) {
  field_reader fields(map);
  decode_answer answer;
  answer.granted = fields.Flag("granted");
  answer.free_slots = fields.Count("slots");
  answer.free_pieces = fields.Count("pieces");
  answer.free_in = fields.Time("free_in");
  return fields.Finish(answer);
}

absl::StatusOr<prefill_answer> ParsePrefillAnswer(const QCborMap& map) {
  field_reader fields(map);
  prefill_answer answer;
  answer.granted = fields.Flag("granted");
  answer.wait = fields.Time("wait");
  answer.work = fields.Time("work");
  return fields.Finish(answer);
}

}  // namespace anvilridge
