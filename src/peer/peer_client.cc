#include "peer/peer_client.h"

#include <QHostAddress>
#include <QTimer>
#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/clock.h"
#include "base/deadline_queue.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "peer/peer_message.h"
#include "peer/peer_session.h"
#include "settings/daemon_settings.h"

namespace anvilridge {
namespace {

using call_done = std::function<void(absl::StatusOr<QCborMap>)>;

struct pending_call {
  call_done done;
  uint64_t connection = 0;
  int32_t stream = 0;
};

struct client_connection {
  std::string address;
  std::unique_ptr<peer_session> session;
  bool connected = false;
  /// When a call was last sent while none was outstanding.
  absl::Time busy_since;
  /// When a ping was sent that nothing has followed yet.
  absl::Time pinged = absl::InfiniteFuture();
  absl::flat_hash_map<int32_t, uint64_t> calls;
};

std::optional<endpoint> ParseAddress(absl::string_view address) {
  const std::vector<std::string> parts = absl::StrSplit(address, ':');
  uint32_t port = 0;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[1], &port)) return {};
  if (port == 0 || port > UINT16_MAX) return {};
  if (QHostAddress(QString::fromStdString(parts[0])).isNull()) return {};
  return endpoint{parts[0], static_cast<uint16_t>(port)};
}

}  // namespace

struct peer_client::impl {
  std::string key;
  peer_timing timing;
  /// Outlives the connections.
  socket_poller poller;
  uint64_t last_id = 0;
  absl::flat_hash_map<uint64_t, pending_call> calls;
  absl::flat_hash_map<uint64_t, std::shared_ptr<client_connection>> connections;
  /// The connection of each peer that takes new calls.
  absl::flat_hash_map<std::string, uint64_t> by_address;
  uint64_t closed_bytes_sent = 0;
  uint64_t closed_bytes_received = 0;
  QObject context;
  deadline_queue deadlines{[this](uint64_t call) { TimeOut(call); }};
  std::unique_ptr<QTimer> check_timer;

  uint64_t Open(const std::string& address, const endpoint& peer);
  absl::Status Send(uint64_t call, const std::string& address,
                    const peer_request& request);
  absl::Status SendOn(uint64_t connection, uint64_t call,
                      const peer_request& request);
  void Finish(uint64_t connection, int32_t stream,
              const absl::StatusOr<QCborMap>& answer);
  void End(uint64_t call, const absl::StatusOr<QCborMap>& answer);
  void TimeOut(uint64_t call);
  void Break(uint64_t connection, const std::string& reason);
  void CheckConnections();
  void CheckConnection(client_connection& peer) const;
};

uint64_t peer_client::impl::Open(const std::string& address,
                                 const endpoint& peer) {
  const uint64_t id = ++last_id;
  auto socket = std::make_unique<peer_socket>(poller, peer);
  const auto connection = std::make_shared<client_connection>();
  peer_session_events events;
  events.on_connected = [this, id] { connections.at(id)->connected = true; };
  events.http2.on_answer = [this, id](int32_t stream,
                                      const peer_answer& answer) {
    Finish(id, stream, DecodePeerAnswer(answer));
  };
  events.http2.on_reset = [this, id](int32_t stream, run_state ran) {
    Finish(
        id, stream,
        MakeError(error_kind::upstream_failed, "the peer ended the call", ran));
  };
  events.on_broken = [this, id](const std::string& reason) {
    Break(id, reason);
  };
  connection->address = address;
  connection->session = std::make_unique<peer_session>(
      peer_side::client, std::move(socket), std::move(events));
  connections[id] = connection;
  by_address[address] = id;
  RunAfter(&context, timing.connect_timeout, [this, id] {
    const auto found = connections.find(id);
    if (found == connections.end() || found->second->connected) return;
    found->second->session->Close("no connection in time");
  });
  return id;
}

absl::Status peer_client::impl::SendOn(uint64_t connection, uint64_t call,
                                       const peer_request& request) {
  client_connection& peer = *connections.at(connection);
  const absl::StatusOr<int32_t> stream = peer.session->SubmitCall(request, key);
  if (!stream.ok()) return stream.status();
  if (peer.calls.empty()) peer.busy_since = MonotonicNow();
  peer.calls[*stream] = call;
  calls[call].connection = connection;
  calls[call].stream = *stream;
  return absl::OkStatus();
}

absl::Status peer_client::impl::Send(uint64_t call, const std::string& address,
                                     const peer_request& request) {
  const auto open = by_address.find(address);
  // A connection that is ending finishes its calls and takes no more.
  if (open != by_address.end() && SendOn(open->second, call, request).ok()) {
    return absl::OkStatus();
  }
  const std::optional<endpoint> peer = ParseAddress(address);
  if (!peer) {
    return MakeError(error_kind::upstream_failed, "malformed peer address",
                     run_state::not_run);
  }
  const uint64_t opened = Open(address, *peer);
  return SendOn(opened, call, request);
}

void peer_client::impl::Finish(uint64_t connection, int32_t stream,
                               const absl::StatusOr<QCborMap>& answer) {
  client_connection& peer = *connections.at(connection);
  const auto found = peer.calls.find(stream);
  if (found == peer.calls.end()) return;
  const uint64_t call = found->second;
  peer.calls.erase(found);
  End(call, answer);
}

void peer_client::impl::End(uint64_t call,
                            const absl::StatusOr<QCborMap>& answer) {
  const auto found = calls.find(call);
  if (found == calls.end()) return;
  const call_done done = std::move(found->second.done);
  calls.erase(found);
  deadlines.Remove(call);
  done(answer);
}

void peer_client::impl::TimeOut(uint64_t call) {
  const pending_call& pending = calls.at(call);
  client_connection& peer = *connections.at(pending.connection);
  const run_state ran =
      peer.connected ? run_state::unknown : run_state::not_run;
  peer.calls.erase(pending.stream);
  peer.session->Reset(pending.stream);
  End(call, MakeError(error_kind::upstream_stalled,
                      absl::StrCat(peer.address, ": no answer in time"), ran));
}

void peer_client::impl::Break(uint64_t connection, const std::string& reason) {
  const auto found = connections.find(connection);
  if (found == connections.end()) return;
  const std::shared_ptr<client_connection> peer = found->second;
  connections.erase(found);
  const auto current = by_address.find(peer->address);
  if (current != by_address.end() && current->second == connection) {
    by_address.erase(current);
  }
  closed_bytes_sent += peer->session->BytesSent();
  closed_bytes_received += peer->session->BytesReceived();
  // Told from inside the session, so it must outlive this call.
  PostTo(&context, [peer] {});
  const run_state ran =
      peer->connected ? run_state::unknown : run_state::not_run;
  const absl::Status error =
      MakeError(error_kind::upstream_failed,
                absl::StrCat(peer->address, ": ", reason), ran);
  for (const auto& [stream, call] : peer->calls) End(call, error);
}

void peer_client::impl::CheckConnections() {
  std::vector<std::shared_ptr<client_connection>> open;
  for (const auto& [id, connection] : connections) open.push_back(connection);
  for (const auto& peer : open) CheckConnection(*peer);
}

void peer_client::impl::CheckConnection(client_connection& peer) const {
  const absl::Time now = MonotonicNow();
  const absl::Time received = peer.session->LastReceived();
  const absl::Duration silence = now - std::max(received, peer.busy_since);
  if (received >= peer.pinged) peer.pinged = absl::InfiniteFuture();
  // Silence alone proves nothing: this process may have been paused. The peer
  // is given up only if it leaves a ping unanswered.
  if (now - peer.pinged > timing.pong_timeout) {
    return peer.session->Close("the peer is silent");
  }
  if (peer.calls.empty()) {
    if (silence > timing.client_idle) peer.session->Close("idle");
    return;
  }
  if (silence > timing.ping_after && peer.pinged > now) {
    peer.pinged = now;
    peer.session->Ping();
  }
}

peer_client::peer_client(std::string peer_key, const peer_timing& timing)
    : impl_(std::make_unique<impl>()) {
  impl_->key = std::move(peer_key);
  impl_->timing = timing;
  impl_->check_timer = RunEvery(
      timing.check_period, [self = impl_.get()] { self->CheckConnections(); });
}

peer_client::~peer_client() = default;

void peer_client::Call(absl::string_view address, absl::string_view method,
                       const QCborMap& request, absl::Duration timeout,
                       std::function<void(absl::StatusOr<QCborMap>)> done) {
  const uint64_t call = ++impl_->last_id;
  impl_->calls[call].done = std::move(done);
  const peer_request encoded = EncodePeerRequest(method, request);
  const absl::Status sent =
      encoded.body.size() > kMaxPeerBodyBytes
          ? MakeError(error_kind::body_too_large, "the call is too long")
          : impl_->Send(call, std::string(address), encoded);
  if (sent.ok()) return impl_->deadlines.Set(call, MonotonicNow() + timeout);
  PostTo(&impl_->context,
         [self = impl_.get(), call, sent] { self->End(call, sent); });
}

uint64_t peer_client::BytesSent() const {
  uint64_t total = impl_->closed_bytes_sent;
  for (const auto& [id, connection] : impl_->connections) {
    total += connection->session->BytesSent();
  }
  return total;
}

uint64_t peer_client::BytesReceived() const {
  uint64_t total = impl_->closed_bytes_received;
  for (const auto& [id, connection] : impl_->connections) {
    total += connection->session->BytesReceived();
  }
  return total;
}

}  // namespace anvilridge
