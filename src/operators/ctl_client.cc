#include "operators/ctl_client.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/ids.h"
#include "upstreams/sse_parser.h"

namespace anvilridge {
namespace {

// A stream that has been followed, and what else its answer held.
struct followed_stream {
  sse_parser parser;
  int http_status = 0;
  std::string refusal;
};

std::string ChangeLine(const sse_event& event, bool json) {
  if (json) return event.data;
  const QJsonObject change =
      QJsonDocument::fromJson(QByteArray::fromStdString(event.data)).object();
  return absl::StrCat(change["time"].toString().toStdString(), "  ",
                      change["text"].toString().toStdString());
}

}  // namespace

void RunLine(http_client& client, const ctl_settings& settings,
             const std::string& line, std::function<void(ctl_answer)> done) {
  const std::string id = NewId();
  http_handler handler;
  handler.on_done = [line, id, json = settings.json,
                     done = std::move(done)](const http_result& result) {
    done(ReadAnswer(result, line, id, json));
  };
  client.Start(CallFor(settings, line, id), std::move(handler));
}

void FollowChanges(http_client& client, const ctl_settings& settings,
                   std::function<void(std::string)> on_change,
                   std::function<void(ctl_answer)> done) {
  constexpr int kHttpOk = 200;
  constexpr absl::Duration kStall = absl::Seconds(60);
  http_call call = CallFor(settings, "follow", "");
  call.target = "/api/v1/follow";
  call.timeout = absl::InfiniteDuration();
  call.stall_timeout = kStall;
  const auto stream = std::make_shared<followed_stream>();
  const bool json = settings.json;
  http_handler handler;
  handler.on_headers = [stream](int http_status, const http_headers&) {
    stream->http_status = http_status;
  };
  handler.on_data = [stream, json,
                     on_change = std::move(on_change)](absl::string_view data) {
    if (stream->http_status != kHttpOk) {
      absl::StrAppend(&stream->refusal, data);
      return;
    }
    (void)FeedSse(stream->parser, data, [&](const sse_event& event) {
      on_change(ChangeLine(event, json));
    });
  };
  handler.on_done = [stream, json, done = std::move(done)](http_result result) {
    if (result.status.ok() && result.http_status == kHttpOk) {
      return done({ctl_exit::ok, "", "the server ended the stream"});
    }
    result.body = stream->refusal;
    done(ReadAnswer(result, "follow", "", json));
  };
  client.Start(std::move(call), std::move(handler));
}

}  // namespace anvilridge
