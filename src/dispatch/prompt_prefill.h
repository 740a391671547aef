#ifndef ANVILRIDGE_DISPATCH_PROMPT_PREFILL_H_
#define ANVILRIDGE_DISPATCH_PROMPT_PREFILL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/fleet_request.h"
#include "dispatch/send_outcome.h"

namespace anvilridge {

/// A prefill that an engine has completed.
struct prefill_result {
  fleet_upstream engine;
  completed_prefill prefill;
  /// Time from the send to the response.
  absl::Duration duration;
};

/// A prefill that has failed.
struct prefill_failure {
  send_outcome outcome = send_outcome::unknown;
  /// Whether it was sent in place of another one, which counts as an attempt.
  bool replaces_other = false;
};

/// A prefill that is in progress and takes unusually long.
struct silent_prefill {
  fleet_upstream engine;
  /// Time since the send.
  absl::Duration silence;
  /// Whether the engine has been silent for so long that it has probably
  /// failed.
  bool failed = false;
};

/// Events of `prompt_prefill`. None is called from its functions.
struct prefill_listener {
  /// One of the prefills is complete; the others are cancelled.
  std::function<void(const prefill_result&)> on_completed;
  std::function<void(const prefill_failure&)> on_failed;
  /// Called at growing intervals while a prefill takes unusually long.
  std::function<void(const silent_prefill&)> on_silent;
};

/// Lets prefill engines prefill the prompt of one request. Several may do so at
/// a time, of which the first result counts.
class prompt_prefill {
 public:
  /// @param owner kept alive during the events, and without it none is called.
  prompt_prefill(dispatch_state& state, const fleet_request& request,
                 const fleet_route& route, std::weak_ptr<void> owner,
                 prefill_listener listener);
  /// Cancels the prefills in progress.
  ~prompt_prefill();
  prompt_prefill(const prompt_prefill&) = delete;
  prompt_prefill& operator=(const prompt_prefill&) = delete;

  /// Sends the prompt to `engine`.
  /// @param resume_after id of the last event that the caller has received.
  /// @param replaces_other whether it is sent in place of another prefill.
  void Send(const fleet_upstream& engine, absl::string_view resume_after,
            bool replaces_other);
  /// Cancels the prefills in progress.
  void Cancel();

  /// Returns the number of prefills in progress.
  size_t InProgress() const;
  /// Returns the ids of the engines that the prompt was sent to.
  const std::vector<std::string>& Tried() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_PROMPT_PREFILL_H_
