#ifndef ANVILRIDGE_UPSTREAMS_TESTING_RAW_SERVER_H_
#define ANVILRIDGE_UPSTREAMS_TESTING_RAW_SERVER_H_

#include <sys/socket.h>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace anvilridge {

/// One request as its bytes arrived.
struct raw_request {
  std::string method;
  std::string target;
  /// Status line and header fields.
  std::string head;
  std::string body;
};

/// An HTTP/1.1 server whose answers are bytes that the test writes itself.
class raw_server {
 public:
  using handler = std::function<void(QTcpSocket& socket, const raw_request&)>;

  explicit raw_server(handler on_request) : on_request_(std::move(on_request)) {
    QObject::connect(&server_, &QTcpServer::newConnection, [this] {
      while (QTcpSocket* socket = server_.nextPendingConnection()) {
        ++connections_;
        QObject::connect(socket, &QTcpSocket::readyRead,
                         [this, socket] { Read(*socket); });
      }
    });
    server_.setListenBacklogSize(kBacklog);
    server_.listen(QHostAddress::LocalHost);
  }

  std::string Address() const {
    return absl::StrCat("127.0.0.1:", server_.serverPort());
  }
  int Connections() const { return connections_; }
  const std::vector<raw_request>& Requests() const { return requests_; }
  /// Requests that arrived, whole, with `method`.
  int Count(absl::string_view method) const {
    int count = 0;
    for (const raw_request& request : requests_) {
      if (request.method == method) ++count;
    }
    return count;
  }

  /// Returns a handler that gives every request the same answer.
  static handler Always(int status, std::string body) {
    return [status, body = std::move(body)](QTcpSocket& socket,
                                            const raw_request&) {
      Answer(socket, status, body);
    };
  }
  static void Answer(QTcpSocket& socket, int status, const std::string& body) {
    const std::string text =
        absl::StrCat("HTTP/1.1 ", status, " X\r\nContent-Length: ", body.size(),
                     "\r\n\r\n", body);
    socket.write(text.data(), static_cast<qint64>(text.size()));
  }
  static void Chunk(QTcpSocket& socket, const std::string& bytes) {
    const std::string text =
        absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
    socket.write(text.data(), static_cast<qint64>(text.size()));
  }
  /// Breaks the connection by a reset, behind what was written.
  static void Reset(QTcpSocket& socket) {
    socket.flush();
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &at_once, sizeof(at_once));
    socket.abort();
  }
  static void BeginChunked(QTcpSocket& socket) {
    socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  }

 private:
  /// Connections that a burst may open before the event loop accepts them.
  static constexpr int kBacklog = 256;

  void Read(QTcpSocket& socket) {
    std::string& input = inputs_[&socket];
    input += socket.readAll().toStdString();
    raw_request request;
    while (TakeRequest(input, request)) {
      requests_.push_back(request);
      on_request_(socket, request);
    }
  }

  static bool TakeRequest(std::string& input, raw_request& request) {
    const size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    request.head = input.substr(0, end);
    size_t length = 0;
    for (absl::string_view line : absl::StrSplit(request.head, "\r\n")) {
      if (absl::StartsWithIgnoreCase(line, "content-length:")) {
        (void)absl::SimpleAtoi(line.substr(line.find(':') + 1), &length);
      }
    }
    const size_t body = end + 4;
    if (input.size() < body + length) return false;
    const std::vector<std::string> words = absl::StrSplit(request.head, ' ');
    request.method = words[0];
    request.target = words.size() > 1 ? words[1] : "";
    request.body = input.substr(body, length);
    input.erase(0, body + length);
    return true;
  }

  handler on_request_;
  QTcpServer server_;
  int connections_ = 0;
  std::vector<raw_request> requests_;
  std::map<QTcpSocket*, std::string> inputs_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_TESTING_RAW_SERVER_H_
