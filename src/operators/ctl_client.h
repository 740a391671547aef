#ifndef ANVILRIDGE_OPERATORS_CTL_CLIENT_H_
#define ANVILRIDGE_OPERATORS_CTL_CLIENT_H_

#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Where the operators' command line sends its lines, and how it shows answers.
struct ctl_settings {
  /// `a.b.c.d:port` of an operator port.
  std::string server;
  std::string key;
  /// Added to the key's name as author; may be empty.
  std::string author;
  /// Whether answers are shown as JSON.
  bool json = false;
};

/// Exit codes of the command line.
enum class ctl_exit {
  ok = 0,
  /// Rejected, failed or not found.
  refused = 1,
  /// The line or the command line's options are malformed.
  usage = 2,
  contested = 3,
  /// The command is not settled yet, or its answer was lost.
  pending = 4,
  /// No server answered, or the key may not do this.
  no_access = 5
};

/// What is shown of one answer.
struct ctl_answer {
  ctl_exit exit = ctl_exit::ok;
  std::string output;
  std::string error;
};

/// Returns the HTTP call for a line; `id` names the command that it may be. A
/// line `status ID` asks how far a command has got.
http_call CallFor(const ctl_settings& settings, absl::string_view line,
                  absl::string_view id);

/// Reads the answer to `CallFor`.
ctl_answer ReadAnswer(const http_result& result, absl::string_view line,
                      absl::string_view id, bool json);

/// Runs one line and calls `done` once, on the thread of `client`.
void RunLine(http_client& client, const ctl_settings& settings,
             const std::string& line, std::function<void(ctl_answer)> done);

/// Follows configuration changes: `on_change` gets a line for each, `done` is
/// called when the stream has ended.
void FollowChanges(http_client& client, const ctl_settings& settings,
                   std::function<void(std::string)> on_change,
                   std::function<void(ctl_answer)> done);

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_CTL_CLIENT_H_
