#include "dispatch/kv_lease.h"

#include <QJsonObject>
#include <utility>

#include "base/clock.h"
#include "base/qt_text.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Part of a handle's lifetime in which it is sent to a decode engine. An older
// one could expire before the engine has fetched the cache.
constexpr double kUsableTtlShare = 0.8;
// Timeout of the call that frees a handle. If the call fails, the engine drops
// the handle by itself at the end of its lifetime.
constexpr absl::Duration kReleaseTimeout = absl::Seconds(1);

}  // namespace

kv_lease MakeLease(const fleet_upstream& engine, std::string handle,
                   absl::Duration ttl) {
  return {engine, std::move(handle), MonotonicNow() + ttl * kUsableTtlShare};
}

bool IsUsable(const kv_lease& lease, absl::Time now) {
  return !lease.handle.empty() && now < lease.usable_until;
}

void ReleaseLease(dispatch_state& state, absl::string_view request_id,
                  kv_lease& lease) {
  if (lease.handle.empty()) return;
  if (AbsenceOf(state.absences, lease.engine, MonotonicNow()) ==
      absence_reason::paused) {
    // The engine drops the handle by itself at the end of its lifetime.
    lease.handle.clear();
    return;
  }
  http_call call =
      state.protocol.build_release_call(lease.engine, lease.handle);
  lease.handle.clear();
  call.connect_timeout = kUpstreamConnectTimeout;
  call.timeout = kReleaseTimeout;
  call.max_body_bytes = kMaxControlResponseBytes;
  http_handler handler;
  handler.on_done = [id = std::string(request_id)](const http_result& result) {
    if (result.status.ok()) return;
    LogEvent(
        log_level::info, "handle_not_released",
        {{"request", QtText(id)}, {"why", QtText(result.status.message())}});
  };
  StartUpstreamCall(state, lease.engine, "release", std::move(call),
                    std::move(handler));
}

}  // namespace anvilridge
