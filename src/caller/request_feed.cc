#include "caller/request_feed.h"

#include <QAbstractHttpServer>
#include <QHostAddress>
#include <QTcpServer>
#include <algorithm>
#include <array>
#include <cstring>
#include <deque>
#include <string>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

/// Fields that describe the connection; the scanner has dealt with them.
bool IsConnectionField(absl::string_view name) {
  constexpr std::array kNames = {
      absl::string_view("connection"),
      absl::string_view("upgrade"),
      absl::string_view("content-length"),
      absl::string_view("expect"),
      absl::string_view("transfer-encoding"),
      absl::string_view("keep-alive"),
      absl::string_view("te"),
      absl::string_view("trailer"),
  };
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

// Returns the head of `request`. Its body is framed already, and Qt's server
// would copy it several times.
std::string Serialized(const scanned_request& request) {
  std::string text =
      absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
  for (const auto& [name, value] : request.headers) {
    if (IsConnectionField(name)) continue;
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  absl::StrAppend(&text, "\r\n");
  return text;
}

/// Splits an origin-form target; both parts stay percent-encoded.
void SetTarget(absl::string_view target, inbound_request& request) {
  const size_t mark = target.find('?');
  request.path = std::string(target.substr(0, mark));
  if (mark != absl::string_view::npos) {
    request.query = std::string(target.substr(mark + 1));
  }
}

class parsing_server : public QAbstractHttpServer {
 protected:
  bool handleRequest(const QHttpServerRequest& request,
                     QTcpSocket* socket) override {
    static_cast<request_feed*>(socket)->SetParsed(request);
    return true;
  }
  void missingHandler(const QHttpServerRequest&, QTcpSocket*) override {}
};

/// Gives feeds to Qt's server as if they had been accepted. The queue is its
/// own because QTcpServer warns when one is used without listening.
class feed_source : public QTcpServer {
 public:
  void Add(request_feed* feed) {
    pending_.push_back(feed);
    QMetaObject::invokeMethod(this, "pendingConnectionAvailable",
                              Qt::DirectConnection);
  }
  bool hasPendingConnections() const override { return !pending_.empty(); }
  QTcpSocket* nextPendingConnection() override {
    if (pending_.empty()) return nullptr;
    request_feed* feed = pending_.front();
    pending_.pop_front();
    return feed;
  }

 private:
  std::deque<request_feed*> pending_;
};

}  // namespace

request_feed::request_feed() {
  setSocketState(QAbstractSocket::ConnectedState);
  setOpenMode(QIODevice::ReadWrite);
}

request_feed::~request_feed() {
  setSocketState(QAbstractSocket::UnconnectedState);
}

absl::StatusOr<inbound_request> request_feed::Parse(scanned_request request) {
  parsed_ = false;
  result_ = {};
  const std::string text = Serialized(request);
  bytes_ = QByteArray(text.data(), static_cast<qsizetype>(text.size()));
  Q_EMIT readyRead();
  bytes_.clear();
  if (!parsed_) {
    return MakeError(error_kind::malformed_request,
                     "the request can't be parsed");
  }
  result_.method = std::move(request.method);
  SetTarget(request.target, result_);
  result_.headers.emplace_back("content-length",
                               absl::StrCat(request.body.size()));
  result_.body = std::move(request.body);
  return std::move(result_);
}

void request_feed::SetParsed(const QHttpServerRequest& request) {
  parsed_ = true;
  for (const auto& [name, value] : request.headers()) {
    result_.headers.emplace_back(absl::AsciiStrToLower(name.toStdString()),
                                 value.toStdString());
  }
}

qint64 request_feed::bytesAvailable() const {
  return bytes_.size() + QTcpSocket::bytesAvailable();
}

bool request_feed::canReadLine() const {
  return bytes_.contains('\n') || QIODevice::canReadLine();
}

void request_feed::disconnectFromHost() { bytes_.clear(); }

void request_feed::close() { bytes_.clear(); }

qint64 request_feed::readData(char* data, qint64 max_size) {
  const qint64 size = std::min<qint64>(max_size, bytes_.size());
  std::memcpy(data, bytes_.constData(), size);
  bytes_.remove(0, size);
  return size;
}

qint64 request_feed::readLineData(char* data, qint64 max_size) {
  const qsizetype end = bytes_.indexOf('\n');
  const qint64 line = end < 0 ? bytes_.size() : end + 1;
  return readData(data, std::min(max_size, line));
}

qint64 request_feed::skipData(qint64 max_size) {
  const qint64 size = std::min<qint64>(max_size, bytes_.size());
  bytes_.remove(0, size);
  return size;
}

/// Answers are written by the connection, never through the feed.
qint64 request_feed::writeData(const char*, qint64 size) { return size; }

struct feed_server::impl {
  // Owned by `server`, which takes it over in bind().
  feed_source* source = new feed_source;
  parsing_server server;
  // Last, as it must be deleted before the server.
  std::unique_ptr<request_feed> feed;
};

feed_server::feed_server() : impl_(std::make_unique<impl>()) {
  // bind() warns about a server that does not listen; this one never needs to.
  impl_->source->listen(QHostAddress::LocalHost);
  impl_->server.bind(impl_->source);
  impl_->source->close();
}

feed_server::~feed_server() = default;

absl::StatusOr<inbound_request> feed_server::Parse(scanned_request request) {
  if (!impl_->feed) {
    impl_->feed = std::make_unique<request_feed>();
    impl_->source->Add(impl_->feed.get());
  }
  auto parsed = impl_->feed->Parse(std::move(request));
  // Qt may not go on behind a request that it has rejected.
  if (!parsed.ok()) impl_->feed.reset();
  return parsed;
}

}  // namespace anvilridge
