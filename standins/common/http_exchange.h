#ifndef ANVILRIDGE_STANDINS_COMMON_HTTP_EXCHANGE_H_
#define ANVILRIDGE_STANDINS_COMMON_HTTP_EXCHANGE_H_

#include <QByteArray>
#include <QJsonObject>
#include <QUrlQuery>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

class QTcpSocket;

namespace anvilridge {

using header_list = std::vector<std::pair<QByteArray, QByteArray>>;

/// One request as it arrived.
struct http_request {
  QByteArray method;
  QString path;
  QUrlQuery query;
  header_list headers;
  QByteArray body;
  /// The body as a JSON object; empty when it is not one.
  QJsonObject json;
};

/// Returns the value of the first header field `name`, in any case, or "".
QByteArray RequestHeader(const http_request& request, const QByteArray& name);

/// What faults do to an answer after the request has taken effect.
struct answer_faults {
  /// Closes the connection in place of the answer.
  bool close = false;
  /// Never answers and leaves the connection open.
  bool silent = false;
  /// Delays the answer.
  absl::Duration late;
};

/// The answer to one request: one JSON body, or a stream of events. Calls on an
/// exchange whose connection is gone do nothing.
class http_exchange {
 public:
  http_exchange(QTcpSocket* socket, bool close_after, answer_faults faults);
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  /// Answers with `body`, once.
  void Answer(int status, const QJsonObject& body,
              const header_list& headers = {});

  /// Answers with bytes that need not be whole JSON.
  void AnswerBytes(int status, const QByteArray& body,
                   const header_list& headers = {});

  /// Begins a stream of server-sent events.
  void BeginEvents(const header_list& headers = {});

  /// Sends one event; `id` may be empty. A reader that lets too much pile up
  /// is cut off.
  void SendEvent(const QByteArray& id, const QJsonObject& data);

  /// Ends the stream, and closes the connection if `close`.
  void EndEvents(bool close);

  /// Closes the connection without another byte.
  void Cut();

  /// Whether the connection is open.
  bool Open() const;

  /// Calls `gone` when the connection closes before the answer has ended.
  void OnGone(std::function<void()> gone);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

using exchange_ptr = std::shared_ptr<http_exchange>;

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_COMMON_HTTP_EXCHANGE_H_
