#include "common/http_fetch.h"

#include <QHostAddress>
#include <QJsonDocument>
#include <QTcpSocket>
#include <utility>

namespace anvilridge {
namespace {

int StatusOf(const QByteArray& answer) {
  constexpr int kStatusAt = 9;
  constexpr int kStatusLength = 3;
  return answer.mid(kStatusAt, kStatusLength).toInt();
}

}  // namespace

struct http_fetch::impl {
  QTcpSocket* socket = new QTcpSocket;
  QByteArray answer;
  done_callback done;

  // The server was asked to close, so the end of the connection ends the body.
  void Finish() {
    if (!done) return;
    answer += socket->readAll();
    const qsizetype body_at = answer.indexOf("\r\n\r\n");
    const bool whole = body_at > 0;
    const int status = whole ? StatusOf(answer) : 0;
    const QByteArray body = whole ? answer.mid(body_at + 4) : QByteArray();
    auto finished = std::exchange(done, nullptr);
    finished(status, QJsonDocument::fromJson(body).object());
  }
};

http_fetch::http_fetch(const QString& address, const QString& target,
                       done_callback done)
    : impl_(std::make_unique<impl>()) {
  impl* state = impl_.get();
  state->done = std::move(done);
  QTcpSocket* socket = state->socket;
  QObject::connect(socket, &QTcpSocket::connected, [socket, address, target] {
    socket->write("GET " + target.toUtf8() + " HTTP/1.1\r\nHost: " +
                  address.toUtf8() + "\r\nConnection: close\r\n\r\n");
  });
  QObject::connect(socket, &QTcpSocket::readyRead,
                   [state] { state->answer += state->socket->readAll(); });
  QObject::connect(socket, &QTcpSocket::errorOccurred,
                   [state] { state->Finish(); });
  const QStringList parts = address.split(':');
  socket->connectToHost(QHostAddress(parts.value(0)),
                        parts.value(1).toUShort());
}

http_fetch::~http_fetch() {
  impl_->socket->disconnect();
  impl_->socket->abort();
  impl_->socket->deleteLater();
}

}  // namespace anvilridge
