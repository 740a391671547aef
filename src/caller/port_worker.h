#ifndef ANVILRIDGE_CALLER_PORT_WORKER_H_
#define ANVILRIDGE_CALLER_PORT_WORKER_H_

#include <QObject>
#include <memory>
#include <optional>

#include "caller/caller_connection.h"

namespace anvilridge {

/// A socket descriptor that is closed unless it is released.
class owned_descriptor {
 public:
  explicit owned_descriptor(int descriptor) : descriptor_(descriptor) {}
  ~owned_descriptor();
  owned_descriptor(const owned_descriptor&) = delete;
  owned_descriptor& operator=(const owned_descriptor&) = delete;

  int Release();

 private:
  int descriptor_;
};

/// The part of a port that lives on one traffic thread: Qt's HTTP server and
/// the connections handed to it. Made, used and destroyed on that thread.
class port_worker : public QObject {
 public:
  port_worker(const limit_settings& limits,
              std::optional<QSslConfiguration> tls, inbound_handler handler,
              std::shared_ptr<port_counters> counters);
  ~port_worker() override;

  /// Serves a new connection, already counted; with `refuse` only to answer
  /// that there are too many.
  void Adopt(int descriptor, bool refuse);

  /// Changes the limits of all connections.
  void SetLimits(const limit_settings& limits);

  /// Closes every connection behind its answer in progress.
  void CloseWhenDone();

  /// Also closes idle connections soon, and refuses requests that don't arrive
  /// whole soon.
  void BeginClose();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_PORT_WORKER_H_
