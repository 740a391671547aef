#include "dispatch/kv_lease.h"

#include <QJsonObject>
#include <utility>

#include "base/clock.h"
#include "base/qt_text.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// A handle that was given this part of its life ago is not sent any more.
constexpr double kHandleLifeShare = 0.8;
// Time for the answer when a handle is freed; the engine drops it by itself.
constexpr absl::Duration kReleaseTime = absl::Seconds(1);

}  // namespace

kv_lease MakeLease(const fleet_upstream& engine, std::string handle,
                   absl::Duration life) {
  return {engine, std::move(handle), MonotonicNow() + life * kHandleLifeShare};
}

void ReleaseLease(dispatch_state& state, absl::string_view request_id,
                  kv_lease& lease) {
  if (lease.handle.empty()) return;
  http_call call = state.speaker.write_release(lease.engine, lease.handle);
  lease.handle.clear();
  call.connect_timeout = kUpstreamConnectTimeout;
  call.timeout = kReleaseTime;
  http_handler handler;
  handler.on_done = [id = std::string(request_id)](const http_result& result) {
    if (result.status.ok()) return;
    LogEvent(
        log_level::info, "handle_not_released",
        {{"request", QtText(id)}, {"why", QtText(result.status.message())}});
  };
  state.client.Start(std::move(call), std::move(handler));
}

}  // namespace anvilridge
