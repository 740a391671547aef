#ifndef ANVILRIDGE_STANDINS_COMMON_HTTP_FETCH_H_
#define ANVILRIDGE_STANDINS_COMMON_HTTP_FETCH_H_

#include <QJsonObject>
#include <QString>
#include <functional>
#include <memory>

namespace anvilridge {

/// One GET of a JSON answer over a connection of its own. Destroying it closes
/// the connection; `done` is then not called.
class http_fetch {
 public:
  /// `done` gets the status and body; status 0 means that no whole answer came.
  using done_callback = std::function<void(int status, QJsonObject body)>;

  /// Gets `target` from `address` (`a.b.c.d:port`).
  http_fetch(const QString& address, const QString& target, done_callback done);
  ~http_fetch();
  http_fetch(const http_fetch&) = delete;
  http_fetch& operator=(const http_fetch&) = delete;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_COMMON_HTTP_FETCH_H_
