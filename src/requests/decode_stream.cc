#include "requests/decode_stream.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "log/decision_log.h"
#include "upstreams/engine_client.h"

namespace anvilridge {
namespace {

// A decode stream without a token for this long is stalled.
constexpr absl::Duration kDecodeStall = absl::Seconds(2);
// Fruitless attachments before the engine is given up; a stall weighs as two,
// since it has already cost its time.
constexpr int kMaxFruitless = 4;
constexpr int kStallWeight = 2;
constexpr absl::Duration kFirstAttachPause = absl::Milliseconds(50);

// One message of an engine's decode stream.
struct decode_message {
  enum class kinds { token, done, fenced, foreign, malformed };
  kinds kind = kinds::malformed;
  int index = 0;
  std::string token;
};

decode_message ParseDecodeMessage(const sse_event& event,
                                  absl::string_view request_id) {
  decode_message message;
  const QJsonObject object =
      QJsonDocument::fromJson(QByteArray::fromStdString(event.data)).object();
  const QJsonValue id = object["request_id"];
  if (id.isString() && id.toString() != QtText(request_id)) {
    message.kind = decode_message::kinds::foreign;
  } else if (object["fenced"].toBool()) {
    message.kind = decode_message::kinds::fenced;
  } else if (object["done"].toBool()) {
    message.kind = decode_message::kinds::done;
    message.index = object["tokens"].toInt(-1);
  } else if (const int index = object["index"].toInt(-1);
             object["token"].isString() && index >= 0) {
    message.kind = decode_message::kinds::token;
    message.index = index;
    message.token = object["token"].toString().toStdString();
  }
  return message;
}

}  // namespace

decode_stream::decode_stream(flow_context& context, decode_source source,
                             decode_listener listener)
    : context_(context),
      source_(std::move(source)),
      listener_(std::make_shared<const decode_listener>(std::move(listener))) {}

void decode_stream::Attach(int next_index) {
  next_index_ = next_index;
  Connect();
}

void decode_stream::Detach() {
  listener_ = nullptr;
  if (call_ != 0) context_.client->Cancel(call_);
  call_ = 0;
}

void decode_stream::Connect() {
  if (!listener_) return;
  progressed_ = false;
  last_token_ = MonotonicNow();
  parser_ = sse_parser();
  call_ = StartDecode(
      *context_.client, source_.engine.address, source_.request_id,
      source_.owner, next_index_, kDecodeStall,
      [self = shared_from_this()](absl::string_view bytes) {
        self->TakeBytes(bytes);
      },
      [self = shared_from_this()](const absl::Status& ended) {
        self->call_ = 0;
        self->TakeBreak(
            ended.ok() ? MakeError(error_kind::upstream_failed,
                                   "the stream ended before its last token")
                       : ended);
      });
}

void decode_stream::TakeBytes(absl::string_view bytes) {
  // Events behind one that ended the attachment belong to it no more.
  const http_client::call_id call = call_;
  const absl::Status fed =
      FeedSse(parser_, bytes, [this, call](const sse_event& event) {
        if (listener_ && call_ == call) TakeEvent(event);
      });
  if (call_ != call) return;
  if (!fed.ok()) return Break(fed);
  // Bytes alone, such as comments that keep a connection, are no progress.
  if (MonotonicNow() - last_token_ < kDecodeStall) return;
  Break(MakeError(error_kind::upstream_stalled, "the stream made no token"));
}

void decode_stream::TakeEvent(const sse_event& event) {
  const decode_message message = ParseDecodeMessage(event, source_.request_id);
  using kinds = decode_message::kinds;
  switch (message.kind) {
    case kinds::token:
      return TakeToken(message.index, message.token);
    case kinds::done:
      return TakeDone(message.index);
    case kinds::fenced:
      return End(MakeError(error_kind::resume_fenced,
                           "a later connection took this stream over"));
    case kinds::foreign:
    case kinds::malformed:
      break;
  }
  LogEvent(log_level::warn, "foreign_answer_dropped",
           {{"request_id", QtText(source_.request_id)},
            {"upstream", QtText(source_.engine.name)}});
  if (message.kind == kinds::foreign) {
    Break(MakeError(error_kind::upstream_failed,
                    "the stream carries another request's answer"));
  }
}

void decode_stream::TakeToken(int index, const std::string& token) {
  if (index < next_index_) return;
  if (index > next_index_) {
    return Break(MakeError(error_kind::upstream_failed,
                           absl::StrCat("token ", index, " arrived where ",
                                        next_index_, " was due")));
  }
  ++next_index_;
  progressed_ = true;
  last_token_ = MonotonicNow();
  const std::shared_ptr<const decode_listener> listener = listener_;
  listener->on_token(index, token);
}

void decode_stream::TakeDone(int tokens) {
  if (tokens == next_index_) return End(absl::OkStatus());
  const absl::Status why =
      MakeError(error_kind::upstream_failed,
                absl::StrCat("the engine ended after ", tokens, " tokens, ",
                             next_index_, " arrived"));
  if (tokens < next_index_) return End(why);
  Break(why);
}

void decode_stream::Break(const absl::Status& why) {
  if (call_ != 0) context_.client->Cancel(call_);
  call_ = 0;
  TakeBreak(why);
}

void decode_stream::TakeBreak(const absl::Status& why) {
  if (!listener_) return;
  if (progressed_) fruitless_ = 0;
  const bool stalled = KindOf(why) == error_kind::upstream_stalled;
  if (stalled) {
    context_.services->report(source_.engine.name, call_result::stalled);
  }
  fruitless_ += stalled ? kStallWeight : 1;
  const bool refused = KindOf(why) == error_kind::upstream_refused;
  if (refused || fruitless_ > kMaxFruitless) return End(why);
  // With jitter, so that the streams of one engine don't come back in step.
  const double share =
      std::uniform_real_distribution<double>(0.5, 1)(context_.random);
  RunAfter(context_.thread, share * kFirstAttachPause * (1 << fruitless_),
           [self = shared_from_this()] { self->Connect(); });
}

void decode_stream::End(const absl::Status& why) {
  const std::shared_ptr<const decode_listener> listener = listener_;
  Detach();
  listener->on_end(why);
}

}  // namespace anvilridge
