#ifndef ANVILRIDGE_TESTS_HARNESS_CHILD_PROCESS_H_
#define ANVILRIDGE_TESTS_HARNESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "harness/temp_folder.h"

namespace anvilridge {

/// A program started by a test. Destroying it kills and reaps the process; the
/// process also ends with the thread that started it.
class child_process {
 public:
  /// Starts `program`, a path or a name in the build folder.
  child_process(absl::string_view program, std::vector<std::string> arguments);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  pid_t Pid() const { return pid_; }

  /// Returns what the process has written so far.
  std::string Out() const;
  std::string Err() const;

  /// Waits for a line `listening PORT` on stdout and returns the port; 0 when
  /// it did not come in time or the process ended.
  uint16_t WaitForPort(absl::Duration bound = absl::Seconds(10)) const;

  /// Whether the process has not ended.
  bool Running();

  /// Sends `signal`, such as SIGTERM; the process may live on.
  void Signal(int signal);

  /// Sends SIGKILL and reaps the process.
  void Kill();

  /// Stops the process by SIGSTOP, and returns once it has stopped.
  void Freeze();

  /// Lets a frozen process go on.
  void Thaw();

  /// Waits for the end and returns the exit code, or 128 + the signal that
  /// ended the process; nothing when it still runs after `bound`.
  std::optional<int> WaitForExit(absl::Duration bound);

 private:
  bool Reap(int options);

  temp_folder folder_;
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_CHILD_PROCESS_H_
