#include "soak/fault_proxy.h"

#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <list>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "base/event_loop.h"
#include "settings/settings_values.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

// Longer than a round trip between regions, shorter than most time limits.
constexpr absl::Duration kDelay = absl::Milliseconds(200);
constexpr int kBacklog = 512;

struct proxied_connection {
  QPointer<QTcpSocket> client;
  QPointer<QTcpSocket> server;
  bool silent = false;
  bool deaf = false;
  // Pieces under way to the client and to the server.
  int to_client = 0;
  int to_server = 0;
};

void Reset(const QPointer<QTcpSocket>& socket) {
  if (socket) raw_server::Reset(*socket);
}

}  // namespace

struct fault_proxy::impl {
  endpoint target;
  link_fault fault = link_fault::none;
  QTcpServer server;
  uint16_t port = 0;
  std::list<std::shared_ptr<proxied_connection>> connections;

  using connection_ptr = std::shared_ptr<proxied_connection>;

  void Apply(proxied_connection& connection) const {
    if (fault == link_fault::reset || fault == link_fault::down) {
      Reset(connection.client);
      Reset(connection.server);
    }
    if (fault == link_fault::silence) connection.silent = true;
    if (fault == link_fault::lose_answers) connection.deaf = true;
  }

  // Carries what has come from `from` over to the other side.
  void Forward(const connection_ptr& connection, bool from_client) {
    const QPointer<QTcpSocket> from =
        from_client ? connection->client : connection->server;
    const QPointer<QTcpSocket> to =
        from_client ? connection->server : connection->client;
    if (!from || !from->isOpen()) return;
    const QByteArray bytes = from->readAll();
    if (connection->silent || (connection->deaf && !from_client)) return;
    After(connection, from_client, [to, bytes] {
      if (to && to->isOpen()) to->write(bytes);
    });
  }

  void Close(const connection_ptr& connection, bool by_client) {
    const QPointer<QTcpSocket> other =
        by_client ? connection->server : connection->client;
    if (connection->silent) return;
    if (by_client && fault == link_fault::hide_close) return;
    After(connection, by_client, [other] {
      if (other) other->disconnectFromHost();
    });
  }

  // What is under way keeps its order, also when the delay ends.
  void After(const connection_ptr& connection, bool to_server,
             std::function<void()> task) {
    int& under_way = to_server ? connection->to_server : connection->to_client;
    if (fault != link_fault::delay && under_way == 0) return task();
    ++under_way;
    RunAfter(&server, kDelay, [connection, &under_way, task = std::move(task)] {
      --under_way;
      task();
    });
  }

  void Accept(QTcpSocket* client) {
    const auto connection = std::make_shared<proxied_connection>();
    auto* upstream = new QTcpSocket(client);
    connection->client = client;
    connection->server = upstream;
    Apply(*connection);
    if (fault == link_fault::reset || fault == link_fault::down) return;
    connections.push_back(connection);
    QObject::connect(client, &QTcpSocket::readyRead,
                     [this, connection] { Forward(connection, true); });
    QObject::connect(upstream, &QTcpSocket::readyRead,
                     [this, connection] { Forward(connection, false); });
    QObject::connect(client, &QTcpSocket::disconnected,
                     [this, connection] { Close(connection, true); });
    QObject::connect(upstream, &QTcpSocket::disconnected, [this, connection] {
      Forward(connection, false);
      Close(connection, false);
    });
    QObject::connect(upstream, &QTcpSocket::errorOccurred,
                     [connection](QAbstractSocket::SocketError error) {
                       if (error == QAbstractSocket::RemoteHostClosedError) {
                         return;
                       }
                       Reset(connection->client);
                     });
    upstream->connectToHost(QString::fromStdString(target.address),
                            target.port);
  }
};

fault_proxy::fault_proxy(absl::string_view target)
    : impl_(std::make_unique<impl>()) {
  impl_->target = ParseEndpoint(target).value();
  impl_->server.setListenBacklogSize(kBacklog);
  impl_->server.listen(QHostAddress::LocalHost);
  impl_->port = impl_->server.serverPort();
  QObject::connect(&impl_->server, &QTcpServer::newConnection, [this] {
    while (QTcpSocket* client = impl_->server.nextPendingConnection()) {
      impl_->Accept(client);
    }
  });
}

fault_proxy::~fault_proxy() {
  // Its sockets tell of their end while the server is destroyed.
  for (const auto& connection : impl_->connections) {
    for (QTcpSocket* socket :
         {connection->client.data(), connection->server.data()}) {
      if (socket != nullptr) socket->disconnect();
    }
  }
}

std::string fault_proxy::Address() const {
  return absl::StrCat("127.0.0.1:", impl_->port);
}

void fault_proxy::SetFault(link_fault fault) {
  impl_->fault = fault;
  if (fault == link_fault::down) {
    impl_->server.close();
  } else if (!impl_->server.isListening()) {
    impl_->server.listen(QHostAddress::LocalHost, impl_->port);
  }
  const std::list<impl::connection_ptr> all = impl_->connections;
  for (const auto& connection : all) impl_->Apply(*connection);
}

}  // namespace anvilridge
