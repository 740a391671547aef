#include "infrastructure/weight_store.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "upstreams/json_reader.h"

namespace anvilridge {
namespace {

/// Includes the time in the store's queue.
constexpr absl::Duration kFetchTimeout = absl::Minutes(15);
constexpr int kHttpOk = 200;

absl::Status FetchEnd(const http_result& result) {
  if (!result.status.ok()) return result.status;
  if (result.http_status == kHttpOk) return absl::OkStatus();
  const std::string detail =
      absl::StrCat("the weight store answered http ", result.http_status);
  const bool server_error = result.http_status >= 500;
  return MakeError(
      server_error ? error_kind::upstream_failed : error_kind::upstream_refused,
      detail);
}

}  // namespace

http_client::call_id FetchWeights(
    http_client& client, absl::string_view address, absl::string_view model,
    absl::string_view version, absl::string_view adapter,
    absl::string_view engine, std::function<void(absl::Status)> done) {
  const QJsonObject body = {{"model", ToQString(model)},
                            {"version", ToQString(version)},
                            {"adapter", ToQString(adapter)},
                            {"engine", ToQString(engine)}};
  http_call call;
  call.method = "POST";
  call.address = std::string(address);
  call.target = "/weights/fetch";
  call.headers = {{"content-type", "application/json"}};
  call.body = JsonText(body);
  call.timeout = kFetchTimeout;
  http_handler handler;
  handler.on_done = [done = std::move(done)](const http_result& result) {
    done(FetchEnd(result));
  };
  return client.Start(std::move(call), std::move(handler));
}

}  // namespace anvilridge
