#include "upstreams/http_client.h"

#include <curl/curl.h>

#include <QObject>
#include <QSocketNotifier>
#include <QTimer>
#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/deadline_queue.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "upstreams/curl_transfer.h"
#include "upstreams/kept_bytes.h"

namespace anvilridge {
namespace {

/// Connections kept for repeatable calls.
constexpr long kMaxIdleConnections = 1024;  // NOLINT(google-runtime-int)

/// A call past its deadline is given this long to be read to its end.
constexpr absl::Duration kOverdueGrace = absl::Milliseconds(20);

void InitCurlOnce() {
  static const CURLcode kInitialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)kInitialised;
}

absl::Time DeadlineOf(const curl_transfer& transfer) {
  return std::min(transfer.started + transfer.call.timeout,
                  transfer.last_progress + transfer.call.stall_timeout);
}

absl::Status StallError(const curl_transfer& transfer) {
  const bool over = transfer.started + transfer.call.timeout <= MonotonicNow();
  const absl::string_view what =
      over ? "no whole answer in time" : "no byte of the answer in time";
  return MakeError(error_kind::upstream_stalled,
                   absl::StrCat(transfer.call.address, ": ", what),
                   TransferRunState(transfer));
}

/// Deletes a Qt object from the event loop, since it may be the sender of the
/// signal being handled.
struct delete_later {
  void operator()(QSocketNotifier* notifier) const {
    notifier->setEnabled(false);
    notifier->deleteLater();
  }
};
using notifier_ptr = std::unique_ptr<QSocketNotifier, delete_later>;

struct socket_watch {
  notifier_ptr read;
  notifier_ptr write;
};

}  // namespace

// Handlers run only outside libcurl: its callbacks collect bytes in the
// transfers, and `Deliver` hands them over after libcurl has returned. So
// handlers may add and remove transfers at any time.
struct http_client::impl {
  CURLM* multi = nullptr;
  call_id last_id = 0;
  absl::flat_hash_map<call_id, std::unique_ptr<curl_transfer>> transfers;
  absl::flat_hash_map<curl_socket_t, socket_watch> sockets;
  std::deque<call_id> progressed;
  deadline_queue deadlines{[this](call_id id) { CheckDeadline(id); }};
  std::shared_ptr<kept_bytes> kept = std::make_shared<kept_bytes>();
  QTimer curl_timer;
  QObject context;

  impl();
  ~impl();

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* user,
                      void* socket_data);
  // NOLINTNEXTLINE(google-runtime-int): the type that libcurl calls with.
  static int OnTimer(CURLM* multi, long timeout_ms, void* user);

  void Watch(curl_socket_t socket, int what);
  void Act(curl_socket_t socket, int events);
  void CollectFinished(std::deque<std::pair<call_id, CURLcode>>& finished);
  void Deliver();
  void DeliverProgress(call_id id);
  void Finish(call_id id, absl::Status status);
  void CheckDeadline(call_id id);
  std::unique_ptr<curl_transfer> Take(call_id id);
};

http_client::impl::impl() {
  InitCurlOnce();
  multi = curl_multi_init();
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &impl::OnSocket);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &impl::OnTimer);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_timer.setSingleShot(true);
  curl_timer.setTimerType(Qt::PreciseTimer);
  QObject::connect(&curl_timer, &QTimer::timeout, &context,
                   [this] { Act(CURL_SOCKET_TIMEOUT, 0); });
}

http_client::impl::~impl() {
  while (!transfers.empty()) Take(transfers.begin()->first);
  curl_multi_cleanup(multi);
  sockets.clear();
}

int http_client::impl::OnSocket(CURL*, curl_socket_t socket, int what,
                                void* user, void*) {
  static_cast<impl*>(user)->Watch(socket, what);
  return 0;
}

// NOLINTNEXTLINE(google-runtime-int)
int http_client::impl::OnTimer(CURLM*, long timeout_ms, void* user) {
  auto& self = *static_cast<impl*>(user);
  if (timeout_ms < 0) {
    self.curl_timer.stop();
  } else {
    self.curl_timer.start(std::chrono::milliseconds(timeout_ms));
  }
  return 0;
}

void http_client::impl::Watch(curl_socket_t socket, int what) {
  if (what == CURL_POLL_REMOVE) {
    sockets.erase(socket);
    return;
  }
  socket_watch& watch = sockets[socket];
  const auto make = [&](QSocketNotifier::Type type, int events) {
    notifier_ptr notifier(new QSocketNotifier(socket, type, &context));
    QObject::connect(notifier.get(), &QSocketNotifier::activated, &context,
                     [this, socket, events] { Act(socket, events); });
    return notifier;
  };
  if (!watch.read) watch.read = make(QSocketNotifier::Read, CURL_CSELECT_IN);
  if (!watch.write) {
    watch.write = make(QSocketNotifier::Write, CURL_CSELECT_OUT);
  }
  watch.read->setEnabled((what & CURL_POLL_IN) != 0);
  watch.write->setEnabled((what & CURL_POLL_OUT) != 0);
}

void http_client::impl::Act(curl_socket_t socket, int events) {
  int running = 0;
  curl_multi_socket_action(multi, socket, events, &running);
  std::deque<std::pair<call_id, CURLcode>> finished;
  CollectFinished(finished);
  Deliver();
  for (const auto& [id, code] : finished) {
    const auto found = transfers.find(id);
    // A handler called just before may have cancelled it.
    if (found == transfers.end()) continue;
    Finish(id, TransferError(*found->second, code));
  }
}

void http_client::impl::CollectFinished(
    std::deque<std::pair<call_id, CURLcode>>& finished) {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
    if (message->msg != CURLMSG_DONE) continue;
    curl_transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    finished.emplace_back(transfer->id, message->data.result);
  }
}

void http_client::impl::Deliver() {
  std::deque<call_id> ids;
  ids.swap(progressed);
  for (const call_id id : ids) DeliverProgress(id);
}

void http_client::impl::DeliverProgress(call_id id) {
  auto found = transfers.find(id);
  if (found == transfers.end()) return;
  curl_transfer& transfer = *found->second;
  transfer.last_progress = MonotonicNow();
  if (transfer.headers_complete && !transfer.headers_delivered) {
    transfer.headers_delivered = true;
    // Copied, since the handler may cancel the call and so destroy itself.
    const auto on_headers = transfer.handler.on_headers;
    const http_headers headers = transfer.result.headers;
    if (on_headers) on_headers(transfer.result.http_status, headers);
  }
  found = transfers.find(id);
  if (found == transfers.end()) return;
  std::string bytes;
  bytes.swap(found->second->undelivered);
  if (bytes.empty()) return;
  const auto on_data = found->second->handler.on_data;
  on_data(bytes);
}

void http_client::impl::Finish(call_id id, absl::Status status) {
  const std::unique_ptr<curl_transfer> transfer = Take(id);
  transfer->result.status = std::move(status);
  if (!transfer->headers_complete) {
    transfer->result.http_status = 0;
    transfer->result.headers.clear();
  }
  if (!transfer->handler.on_done) return;
  transfer->handler.on_done(std::move(transfer->result));
}

void http_client::impl::CheckDeadline(call_id id) {
  const auto found = transfers.find(id);
  if (found == transfers.end()) return;
  curl_transfer& transfer = *found->second;
  const absl::Time now = MonotonicNow();
  const absl::Time deadline = DeadlineOf(transfer);
  // Bytes that arrived since have moved the deadline.
  if (deadline > now) {
    transfer.overdue = false;
    return deadlines.Set(id, deadline);
  }
  // After a pause of this process the answer may be there, but not read yet.
  if (!std::exchange(transfer.overdue, true)) {
    return deadlines.Set(id, now + kOverdueGrace);
  }
  Finish(id, StallError(transfer));
}

std::unique_ptr<curl_transfer> http_client::impl::Take(call_id id) {
  const auto found = transfers.find(id);
  if (found == transfers.end()) return nullptr;
  std::unique_ptr<curl_transfer> transfer = std::move(found->second);
  transfers.erase(found);
  deadlines.Remove(id);
  curl_multi_remove_handle(multi, transfer->easy.get());
  return transfer;
}

http_client::http_client() : impl_(std::make_unique<impl>()) {}

http_client::~http_client() = default;

http_client::call_id http_client::Start(http_call call, http_handler handler) {
  const call_id id = ++impl_->last_id;
  const absl::Status valid = CheckCall(call);
  auto owned = std::make_unique<curl_transfer>();
  curl_transfer& transfer = *owned;
  transfer.id = id;
  transfer.call = std::move(call);
  transfer.handler = std::move(handler);
  transfer.kept =
      std::make_unique<kept_share>(impl_->kept, transfer.call.address);
  transfer.on_progress = [this, id] {
    if (impl_->progressed.empty() || impl_->progressed.back() != id) {
      impl_->progressed.push_back(id);
    }
  };
  PrepareTransfer(transfer);
  transfer.started = MonotonicNow();
  transfer.last_progress = transfer.started;
  impl_->transfers.emplace(id, std::move(owned));
  if (!valid.ok()) {
    PostTo(&impl_->context, [this, id, valid] {
      if (impl_->transfers.contains(id)) impl_->Finish(id, valid);
    });
    return id;
  }
  impl_->deadlines.Set(id, DeadlineOf(transfer));
  curl_multi_add_handle(impl_->multi, transfer.easy.get());
  return id;
}

void http_client::Cancel(call_id id) { impl_->Take(id); }

size_t http_client::ActiveCalls() const { return impl_->transfers.size(); }

absl::string_view HeaderValue(const http_headers& headers,
                              absl::string_view name) {
  for (const auto& [field, value] : headers) {
    if (field == name) return value;
  }
  return "";
}

}  // namespace anvilridge
