#ifndef ANVILRIDGE_CALLER_REQUEST_FEED_H_
#define ANVILRIDGE_CALLER_REQUEST_FEED_H_

#include <QByteArray>
#include <QHttpServerRequest>
#include <QTcpSocket>
#include <functional>
#include <memory>

#include "caller/caller_port.h"
#include "caller/request_scanner.h"

namespace anvilridge {

/// The socket that Qt's HTTP server reads: it holds one whole request at a
/// time, already framed and bounded, and touches no network. Qt 6.4 bounds
/// neither header fields nor bodies, and would start a pipelined request
/// while the one before it is being answered.
class request_feed : public QTcpSocket {
 public:
  request_feed();
  ~request_feed() override;

  /// Has Qt's server parse the head of `request`. Returns it as parsed, with
  /// its body and without the address of its caller, or `malformed_request`
  /// when the server does not take it.
  absl::StatusOr<inbound_request> Parse(scanned_request request);

  /// Called by the server with the parsed request.
  void SetParsed(const QHttpServerRequest& request);

  qint64 bytesAvailable() const override;
  bool canReadLine() const override;
  void disconnectFromHost() override;
  void close() override;

 protected:
  qint64 readData(char* data, qint64 max_size) override;
  qint64 readLineData(char* data, qint64 max_size) override;
  qint64 skipData(qint64 max_size) override;
  qint64 writeData(const char* data, qint64 size) override;

 private:
  QByteArray bytes_;
  bool parsed_ = false;
  inbound_request result_;
};

/// Qt's HTTP server of one traffic thread. All connections share one feed: Qt
/// keeps the last request of each, which would add up over resting connections.
class feed_server {
 public:
  feed_server();
  ~feed_server();

  /// Returns `request` as parsed, without the address of its caller, or
  /// `malformed_request` when Qt's server does not take it.
  absl::StatusOr<inbound_request> Parse(scanned_request request);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_REQUEST_FEED_H_
