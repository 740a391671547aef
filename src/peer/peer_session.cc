#include "peer/peer_session.h"

#include <utility>

#include "base/clock.h"
#include "base/control_traffic.h"
#include "base/event_loop.h"

namespace anvilridge {
namespace {

/// Bytes handed to the socket that it has not sent yet.
constexpr qsizetype kMaxUnsentBytes = 1 << 20;
/// How long a side that refused a key waits for the other to close, so that
/// the refusal is read before the connection is reset.
constexpr absl::Duration kLinger = absl::Seconds(1);

}  // namespace

struct peer_session::impl {
  std::unique_ptr<peer_socket> socket;
  std::function<void()> on_connected;
  std::function<void(const std::string& reason)> on_broken;
  peer_http2 http2;
  absl::Time last_received = MonotonicNow();
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
  bool flush_queued = false;
  bool lingering = false;
  bool broken = false;
  QObject context;

  impl(peer_side side, std::unique_ptr<peer_socket> socket,
       peer_session_events events);

  void ListenToSocket();
  void Receive(const QByteArray& bytes);
  void QueueFlush();
  void Flush();
  void CloseIfOver();
  void Close(const std::string& reason);
};

peer_session::impl::impl(peer_side side, std::unique_ptr<peer_socket> socket,
                         peer_session_events events)
    : socket(std::move(socket)),
      on_connected(std::move(events.on_connected)),
      on_broken(std::move(events.on_broken)),
      http2(side, std::move(events.http2)) {
  ListenToSocket();
  if (this->socket->Connected()) QueueFlush();
}

void peer_session::impl::ListenToSocket() {
  peer_socket_events told;
  told.on_connected = [this] {
    QueueFlush();
    if (on_connected) on_connected();
  };
  told.on_bytes = [this](const QByteArray& bytes) { Receive(bytes); };
  told.on_sent = [this] {
    if (http2.WantsToSend() || http2.IsOver()) QueueFlush();
  };
  told.on_gone = [this](const std::string& reason) { Close(reason); };
  socket->Listen(std::move(told));
}

void peer_session::impl::Receive(const QByteArray& bytes) {
  if (broken) return;
  CountControlBytes(control_channel::peers, traffic_direction::received,
                    bytes.size());
  last_received = MonotonicNow();
  bytes_received += static_cast<uint64_t>(bytes.size());
  const absl::Status status = http2.Receive(bytes);
  if (!status.ok()) return Close(std::string(status.message()));
  QueueFlush();
}

void peer_session::impl::QueueFlush() {
  if (flush_queued || broken) return;
  flush_queued = true;
  PostTo(&context, [this] { Flush(); });
}

void peer_session::impl::Flush() {
  flush_queued = false;
  if (broken || !socket->Connected()) return;
  const QByteArray output =
      http2.TakeOutput(kMaxUnsentBytes - socket->Unsent());
  if (!output.isEmpty()) {
    bytes_sent += static_cast<uint64_t>(output.size());
    CountControlBytes(control_channel::peers, traffic_direction::sent,
                      output.size());
    socket->Write(output);
  }
  CloseIfOver();
}

void peer_session::impl::CloseIfOver() {
  if (broken) return;
  if (http2.Refused()) {
    // The other side closes as soon as it knows.
    if (std::exchange(lingering, true)) return;
    return RunAfter(&context, kLinger,
                    [this] { Close("the key was refused"); });
  }
  const bool over = http2.IsOver() && socket->Unsent() == 0;
  if (over) Close("the connection has ended");
}

void peer_session::impl::Close(const std::string& reason) {
  if (broken) return;
  broken = true;
  http2.Close();
  socket->Close();
  if (on_broken) on_broken(reason);
}

peer_session::peer_session(peer_side side, std::unique_ptr<peer_socket> socket,
                           peer_session_events events)
    : impl_(
          std::make_unique<impl>(side, std::move(socket), std::move(events))) {}

peer_session::~peer_session() = default;

absl::StatusOr<int32_t> peer_session::SubmitCall(const peer_request& request,
                                                 absl::string_view key) {
  impl_->QueueFlush();
  return impl_->http2.SubmitCall(request, key);
}

void peer_session::SubmitAnswer(int32_t stream, peer_answer answer) {
  impl_->http2.SubmitAnswer(stream, std::move(answer));
  impl_->QueueFlush();
}

void peer_session::Reset(int32_t stream) {
  impl_->http2.Reset(stream);
  impl_->QueueFlush();
}

void peer_session::Ping() {
  impl_->http2.Ping();
  impl_->QueueFlush();
}

void peer_session::Close(const std::string& reason) { impl_->Close(reason); }

absl::Time peer_session::LastReceived() const { return impl_->last_received; }
uint64_t peer_session::BytesSent() const { return impl_->bytes_sent; }
uint64_t peer_session::BytesReceived() const { return impl_->bytes_received; }
bool peer_session::Authorized() const { return impl_->http2.Authorized(); }
size_t peer_session::OpenStreams() const { return impl_->http2.OpenStreams(); }

}  // namespace anvilridge
