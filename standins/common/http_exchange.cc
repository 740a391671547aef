#include "common/http_exchange.h"

#include <QJsonDocument>
#include <QPointer>
#include <QTcpSocket>

#include "base/event_loop.h"

namespace anvilridge {
namespace {

constexpr qint64 kMaxUnsentBytes = 1 << 20;

struct reason_phrase {
  int status;
  const char* text;
};

constexpr reason_phrase kReasons[] = {{200, "OK"},
                                      {201, "Created"},
                                      {202, "Accepted"},
                                      {400, "Bad Request"},
                                      {404, "Not Found"},
                                      {405, "Method Not Allowed"},
                                      {409, "Conflict"},
                                      {412, "Precondition Failed"},
                                      {429, "Too Many"},
                                      {500, "Internal Server Error"},
                                      {502, "Bad Gateway"},
                                      {503, "Service Unavailable"},
                                      {504, "Gateway Timeout"}};

QByteArray Reason(int status) {
  for (const reason_phrase& reason : kReasons) {
    if (reason.status == status) return reason.text;
  }
  return "Status";
}

QByteArray Head(int status, const header_list& headers) {
  QByteArray head =
      "HTTP/1.1 " + QByteArray::number(status) + " " + Reason(status) + "\r\n";
  for (const auto& [name, value] : headers) {
    head += name + ": " + value + "\r\n";
  }
  return head;
}

}  // namespace

QByteArray RequestHeader(const http_request& request, const QByteArray& name) {
  for (const auto& [key, value] : request.headers) {
    if (key.compare(name, Qt::CaseInsensitive) == 0) return value;
  }
  return {};
}

struct http_exchange::impl : std::enable_shared_from_this<impl> {
  QPointer<QTcpSocket> socket;
  bool close_after = false;
  bool answered = false;
  answer_faults faults;
  QMetaObject::Connection gone;

  bool Open() const {
    return socket && socket->state() == QAbstractSocket::ConnectedState;
  }

  void Send(const QByteArray& bytes) {
    if (Open()) socket->write(bytes);
  }

  void Finish(bool close) {
    QObject::disconnect(gone);
    if (close && Open()) socket->disconnectFromHost();
  }

  // Deferred, because the server may still be inside its read of the socket.
  void Cut() {
    answered = true;
    QObject::disconnect(gone);
    if (!socket) return;
    QTcpSocket* target = socket;
    PostTo(target, [target] { target->abort(); });
  }

  // Sends `bytes` as the faults of this answer allow; `then` follows.
  void Deliver(const QByteArray& bytes, bool finish) {
    if (faults.close) return Cut();
    if (faults.silent || !socket) return;
    auto write = [self = shared_from_this(), bytes, finish] {
      self->Send(bytes);
      if (finish) self->Finish(self->close_after);
    };
    if (faults.late <= absl::ZeroDuration()) return write();
    RunAfter(socket, faults.late, write);
  }
};

http_exchange::http_exchange(QTcpSocket* socket, bool close_after,
                             answer_faults faults)
    : impl_(std::make_shared<impl>()) {
  impl_->socket = socket;
  impl_->close_after = close_after;
  impl_->faults = faults;
}

http_exchange::~http_exchange() { QObject::disconnect(impl_->gone); }

void http_exchange::Answer(int status, const QJsonObject& body,
                           const header_list& headers) {
  AnswerBytes(status, QJsonDocument(body).toJson(QJsonDocument::Compact),
              headers);
}

void http_exchange::AnswerBytes(int status, const QByteArray& body,
                                const header_list& headers) {
  if (impl_->answered) return;
  impl_->answered = true;
  QByteArray bytes = Head(status, headers);
  bytes += "Content-Type: application/json\r\nContent-Length: ";
  bytes += QByteArray::number(body.size()) + "\r\n";
  if (impl_->close_after) bytes += "Connection: close\r\n";
  impl_->Deliver(bytes + "\r\n" + body, true);
}

void http_exchange::BeginEvents(const header_list& headers) {
  impl_->answered = true;
  QByteArray head = Head(200, headers);
  head += "Content-Type: text/event-stream\r\nCache-Control: no-store\r\n";
  head += "Transfer-Encoding: chunked\r\n\r\n";
  impl_->Deliver(head, false);
}

void http_exchange::SendEvent(const QByteArray& id, const QJsonObject& data) {
  QByteArray event;
  if (!id.isEmpty()) event += "id: " + id + "\n";
  event += "data: " + QJsonDocument(data).toJson(QJsonDocument::Compact);
  event += "\n\n";
  const QByteArray size = QByteArray::number(event.size(), 16);
  impl_->Deliver(size + "\r\n" + event + "\r\n", false);
  if (Open() && impl_->socket->bytesToWrite() > kMaxUnsentBytes) Cut();
}

void http_exchange::EndEvents(bool close) {
  impl_->close_after = impl_->close_after || close;
  impl_->Deliver("0\r\n\r\n", true);
}

void http_exchange::Cut() { impl_->Cut(); }

bool http_exchange::Open() const { return impl_->Open(); }

void http_exchange::OnGone(std::function<void()> gone) {
  if (!impl_->socket) return;
  impl_->gone = QObject::connect(impl_->socket, &QTcpSocket::disconnected,
                                 impl_->socket, std::move(gone));
}

}  // namespace anvilridge
