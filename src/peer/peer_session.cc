#include "peer/peer_session.h"

#include <utility>

#include "base/clock.h"
#include "base/control_traffic.h"
#include "base/event_loop.h"

namespace anvilridge {
namespace {

/// Bytes handed to the socket that it has not sent yet.
constexpr qint64 kMaxUnsentBytes = 1 << 20;
/// How long a side that refused a key waits for the other to close, so that
/// the refusal is read before the connection is reset.
constexpr absl::Duration kLinger = absl::Seconds(1);

}  // namespace

struct peer_session::impl {
  std::unique_ptr<QTcpSocket> socket;
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

  impl(peer_side side, std::unique_ptr<QTcpSocket> socket,
       peer_session_events events);
  ~impl();

  void ConnectSignals();
  void OnConnected();
  void Receive();
  void QueueFlush();
  void Flush();
  void CloseIfOver();
  void Close(const std::string& reason);
};

peer_session::impl::impl(peer_side side, std::unique_ptr<QTcpSocket> socket,
                         peer_session_events events)
    : socket(std::move(socket)),
      on_connected(std::move(events.on_connected)),
      on_broken(std::move(events.on_broken)),
      http2(side, std::move(events.http2)) {
  ConnectSignals();
  if (side == peer_side::server) OnConnected();
}

peer_session::impl::~impl() {
  QObject::disconnect(socket.get(), nullptr, &context, nullptr);
}

void peer_session::impl::ConnectSignals() {
  QTcpSocket* source = socket.get();
  QObject::connect(source, &QTcpSocket::connected, &context, [this] {
    OnConnected();
    if (on_connected) on_connected();
  });
  QObject::connect(source, &QTcpSocket::readyRead, &context,
                   [this] { Receive(); });
  QObject::connect(source, &QTcpSocket::bytesWritten, &context, [this] {
    if (http2.WantsToSend() || http2.IsOver()) QueueFlush();
  });
  QObject::connect(source, &QTcpSocket::disconnected, &context,
                   [this] { Close("the peer closed the connection"); });
  QObject::connect(source, &QTcpSocket::errorOccurred, &context,
                   [this] { Close(socket->errorString().toStdString()); });
}

void peer_session::impl::OnConnected() {
  socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  socket->setSocketOption(QAbstractSocket::KeepAliveOption, 1);
  QueueFlush();
}

void peer_session::impl::Receive() {
  if (broken) return;
  const QByteArray bytes = socket->readAll();
  CountControlBytes(bytes.size());
  if (bytes.isEmpty()) return;
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
  if (broken || socket->state() != QAbstractSocket::ConnectedState) return;
  const QByteArray output =
      http2.TakeOutput(kMaxUnsentBytes - socket->bytesToWrite());
  if (!output.isEmpty()) {
    bytes_sent += static_cast<uint64_t>(output.size());
    CountControlBytes(output.size());
    socket->write(output);
    socket->flush();
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
  const bool over = http2.IsOver() && socket->bytesToWrite() == 0;
  if (over) Close("the connection has ended");
}

void peer_session::impl::Close(const std::string& reason) {
  if (broken) return;
  broken = true;
  http2.Close();
  socket->disconnectFromHost();
  if (on_broken) on_broken(reason);
}

peer_session::peer_session(peer_side side, std::unique_ptr<QTcpSocket> socket,
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
