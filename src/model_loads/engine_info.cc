#include "model_loads/engine_info.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "upstreams/json_reader.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kInfoTimeout = absl::Seconds(2);
constexpr int kHttpOk = 200;

absl::StatusOr<engine_info> ParseInfo(const http_result& result) {
  if (!result.status.ok()) return result.status;
  if (result.http_status != kHttpOk) {
    return MakeError(
        error_kind::upstream_failed,
        absl::StrCat("GET /v1/info returned HTTP status ", result.http_status));
  }
  absl::StatusOr<json_reader> reader = ParseJson(result.body);
  if (!reader.ok()) return reader.status();
  engine_info info;
  info.model = ReadText(*reader, "model");
  info.version = ReadText(*reader, "version");
  info.role = ReadText(*reader, "role");
  if (!reader->status.ok()) return reader->status;
  return info;
}

}  // namespace

http_client::call_id GetEngineInfo(http_client& client,
                                   absl::string_view address,
                                   engine_callback<engine_info> done) {
  http_call call;
  call.address = std::string(address);
  call.target = "/v1/info";
  call.repeatable = true;
  call.timeout = kInfoTimeout;
  http_handler handler;
  handler.on_done = [done = std::move(done)](const http_result& result) {
    done(ParseInfo(result));
  };
  return client.Start(std::move(call), std::move(handler));
}

}  // namespace anvilridge
