#ifndef ANVILRIDGE_TESTS_SOAK_SOAK_DAEMON_H_
#define ANVILRIDGE_TESTS_SOAK_SOAK_DAEMON_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "harness/child_process.h"
#include "soak/fault_proxy.h"

namespace anvilridge {

/// One daemon of the soak: its settings, its process, which may be started
/// again and again, and its way to the store. Used on one thread with a Qt
/// event loop; nothing here blocks it.
class soak_daemon {
 public:
  soak_daemon(int index, std::string program,
              std::vector<std::string> arguments,
              absl::string_view store_address, int slack, double ratio,
              int machine_mb);
  ~soak_daemon();
  soak_daemon(const soak_daemon&) = delete;
  soak_daemon& operator=(const soak_daemon&) = delete;

  /// Starts a new process; an earlier one must have ended.
  void Start();
  /// How often it has been started.
  int Starts() const;
  child_process& Process();

  /// Port for callers; 0 until the process has said which.
  uint16_t CallerPort();
  uint16_t ReadyPort();

  /// Rewrites the settings file with another slack of the send budget.
  void ChangeSettings(int slack);

  fault_proxy& StoreLink();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_SOAK_SOAK_DAEMON_H_
