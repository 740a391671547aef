#ifndef ANVILRIDGE_STANDINS_COMMON_JSON_HTTP_SERVER_H_
#define ANVILRIDGE_STANDINS_COMMON_JSON_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "common/fault_table.h"
#include "common/http_exchange.h"

namespace anvilridge {

/// An HTTP server on the loopback address for a stand-in. It serves
/// `/standin/faults` and `/standin/calls` itself and applies the faults that
/// are common to all stand-ins; see standins/README.md.
class json_http_server {
 public:
  using handler = std::function<void(const http_request&, const exchange_ptr&)>;

  /// `faults` must outlive this object.
  explicit json_http_server(fault_table& faults);
  ~json_http_server();

  /// Requests of `method` for `path` go to `handle`; a path that ends in `/`
  /// stands for all that begin with it.
  void Handle(const QByteArray& method, const QString& path, handler handle);

  /// Requests that no other handler takes go to `handle`.
  void HandleRest(handler handle);

  /// Calls `listener` after a fault was switched on or all were cleared.
  void OnFaultsChanged(std::function<void()> listener);

  /// Listens on `port`, or on one that the system chooses for 0.
  absl::Status Listen(uint16_t port);

  uint16_t Port() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Listens on `port` and announces the port: on the first line of stdout as
/// `listening PORT`, and in `ports_file` as `[ports] http=PORT` unless empty.
/// Returns false, with a line on stderr, when the port is taken.
bool ListenAndAnnounce(json_http_server& server, uint16_t port,
                       const std::string& ports_file);

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_COMMON_JSON_HTTP_SERVER_H_
