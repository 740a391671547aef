#ifndef ANVILRIDGE_CALLER_CALLER_EXCHANGE_H_
#define ANVILRIDGE_CALLER_CALLER_EXCHANGE_H_

#include <QObject>
#include <QPointer>
#include <functional>
#include <string>

#include "caller/caller_port.h"

namespace anvilridge {

class caller_connection;

/// The answer to the request that a connection has in progress. Outlives the
/// connection when its holder wants to; it then ignores what is written.
class caller_exchange final : public inbound_exchange {
 public:
  /// How the caller takes the answer.
  struct form {
    bool head_only = false;
    /// HTTP/1.0 callers get an answer that ends with the connection.
    bool chunked = true;
  };

  caller_exchange(caller_connection* connection, QObject* thread, form answer);
  ~caller_exchange() override;

  void Respond(int http_status, const http_headers& headers,
               absl::string_view body) override;
  void Begin(int http_status, const http_headers& headers) override;
  void Write(absl::string_view bytes) override;
  void End() override;
  void Abort() override;
  int64_t UnsentBytes() const override;
  bool Closed() const override { return lost_; }
  void OnClosed(std::function<void()> listener) override;

  /// Tells the exchange that its connection is gone. With `at_once` the
  /// listener is called here, otherwise from the event loop.
  void ConnectionLost(bool at_once);

 private:
  enum class stage { waiting, streaming, ended };

  std::string Head(int http_status, const http_headers& headers) const;
  void CutSlowReader();
  void Finish();

  /// Null once the answer has ended or the connection is gone.
  caller_connection* connection_;
  QPointer<QObject> thread_;
  form form_;
  stage stage_ = stage::waiting;
  bool lost_ = false;
  std::function<void()> listener_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_CALLER_EXCHANGE_H_
