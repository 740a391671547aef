#ifndef ANVILRIDGE_TESTS_SOAK_FAULT_PROXY_H_
#define ANVILRIDGE_TESTS_SOAK_FAULT_PROXY_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// What a proxy does to its connections.
enum class link_fault {
  none,
  /// Each way takes some hundred ms longer.
  delay,
  /// All are reset, new ones too.
  reset,
  /// All are reset, and new ones refused.
  down,
  /// Those that exist or are opened meanwhile carry nothing any more, for good.
  silence,
  /// As `silence`, for what the server sends only.
  lose_answers,
  /// The server never learns that a client has closed its connection.
  hide_close,
};

/// A loopback TCP proxy in front of one server. Used on one thread with a Qt
/// event loop.
class fault_proxy {
 public:
  /// @param target `a.b.c.d:port` of the server.
  explicit fault_proxy(absl::string_view target);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  /// Returns `a.b.c.d:port`.
  std::string Address() const;

  void SetFault(link_fault fault);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_SOAK_FAULT_PROXY_H_
