#include "orphans/canceller.h"

#include <QObject>
#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "log/decision_log.h"
#include "upstreams/engine_client.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryDelay = absl::Seconds(5);
// Time after which a cancel is no longer repeated. An engine that can't be
// reached for this long has lost its requests, or its home cancels them when
// the engine is back.
constexpr absl::Duration kMaxCancelTime = absl::Minutes(2);

// Cancel that the engine has not confirmed yet.
struct pending_cancel {
  engine_cancel cancel;
  absl::Time started_at;
  absl::Duration retry_delay = kInitialRetryDelay;
};

// Identifies a pending cancel. The owner is part of the key because a request
// may have to be cancelled for two owners, if it is unknown which of them holds
// it.
struct cancel_key {
  std::string engine;
  std::string request_id;
  std::string owner;

  friend bool operator<(const cancel_key& a, const cancel_key& b) {
    return std::tie(a.engine, a.request_id, a.owner) <
           std::tie(b.engine, b.request_id, b.owner);
  }
};

}  // namespace

struct canceller::impl {
  http_client& client;
  QObject context;
  std::map<cancel_key, pending_cancel> pending;
  // Expires with this object, which makes callbacks that outlive it do nothing.
  std::shared_ptr<char> alive = std::make_shared<char>();

  explicit impl(http_client& http) : client(http) {}

  void Send(const cancel_key& key) {
    const auto it = pending.find(key);
    if (it == pending.end()) return;
    const engine_cancel& cancel = it->second.cancel;
    const std::weak_ptr<char> guard = alive;
    CancelEngineRequest(client, cancel.address, cancel.request_id, cancel.owner,
                        [this, guard, key](const absl::StatusOr<bool>& done) {
                          if (guard.expired()) return;
                          if (done.ok()) return Verify(key);
                          RetryLater(key);
                        });
  }

  // Ends the cancel if the engine no longer lists the request, else retries it.
  void Verify(const cancel_key& key) {
    const auto it = pending.find(key);
    if (it == pending.end()) return;
    const std::weak_ptr<char> guard = alive;
    ListEngineRequests(
        client, it->second.cancel.address,
        [this, guard,
         key](const absl::StatusOr<std::vector<engine_request>>& listed) {
          if (guard.expired()) return;
          if (listed.ok() && !IsListed(*listed, key)) {
            pending.erase(key);
            return;
          }
          RetryLater(key);
        });
  }

  // Returns whether `listed` has the request with the owner of `key`. A request
  // that another owner has adopted doesn't count: it must not be cancelled.
  bool IsListed(const std::vector<engine_request>& listed,
                const cancel_key& key) const {
    return std::any_of(
        listed.begin(), listed.end(), [&](const engine_request& row) {
          return row.request_id == key.request_id && row.owner == key.owner;
        });
  }

  // Sends the cancel again after a delay that doubles each time, unless
  // `kMaxCancelTime` is over.
  void RetryLater(const cancel_key& key) {
    const auto it = pending.find(key);
    if (it == pending.end()) return;
    pending_cancel& entry = it->second;
    if (MonotonicNow() - entry.started_at > kMaxCancelTime) {
      LogEvent(log_level::warn, "cancel_given_up",
               {{"request_id", QString::fromStdString(key.request_id)},
                {"upstream", QString::fromStdString(key.engine)}});
      pending.erase(it);
      return;
    }
    const absl::Duration retry_delay = entry.retry_delay;
    entry.retry_delay = std::min(retry_delay * 2, kMaxRetryDelay);
    RunAfter(&context, retry_delay, [this, key] { Send(key); });
  }
};

canceller::canceller(http_client& client)
    : impl_(std::make_unique<impl>(client)) {}

canceller::~canceller() = default;

void canceller::Cancel(const engine_cancel& cancel) {
  const cancel_key key{cancel.engine, cancel.request_id, cancel.owner};
  const auto [it, inserted] =
      impl_->pending.try_emplace(key, pending_cancel{cancel, MonotonicNow()});
  if (inserted) impl_->Send(key);
}

size_t canceller::Pending() const { return impl_->pending.size(); }

}  // namespace anvilridge
