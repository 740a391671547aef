#ifndef ANVILRIDGE_TESTS_HARNESS_CALLER_CROWD_H_
#define ANVILRIDGE_TESTS_HARNESS_CALLER_CROWD_H_

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// Returns a number from the status of the process `pid`, in the unit that it
/// has there, or -1.
/// @param field name with its colon, such as `VmHWM:`.
int64_t ProcessStatus(pid_t pid, absl::string_view field);

/// Returns the number of open descriptors of the process `pid`, or -1.
int OpenDescriptors(pid_t pid);

/// Connections of callers that send what they are given as far as it is taken,
/// and read no answer.
class caller_crowd {
 public:
  caller_crowd();
  ~caller_crowd();
  caller_crowd(const caller_crowd&) = delete;
  caller_crowd& operator=(const caller_crowd&) = delete;

  /// Adds `connections` connections to `port` of the loopback address. Returns
  /// how many of them were made.
  int Connect(uint16_t port, int connections);

  /// Has each connection send `text`, in parts of at most `bytes` taken in
  /// turn, and stay open. Calls `go_on` after each round, and ends when it
  /// returns false or nothing more is taken.
  void Send(const std::string& text, size_t bytes,
            const std::function<bool()>& go_on);

  /// Resets all connections.
  void Reset();

 private:
  class connection;
  std::vector<std::unique_ptr<connection>> connections_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_CALLER_CROWD_H_
