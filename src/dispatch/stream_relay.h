#ifndef ANVILRIDGE_DISPATCH_STREAM_RELAY_H_
#define ANVILRIDGE_DISPATCH_STREAM_RELAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "caller/caller_port.h"
#include "dispatch/event_splitter.h"

namespace anvilridge {

/// Passes the events of one stream on to its caller, each once and without a
/// hole, also when several engines generate them in turn.
class stream_relay {
 public:
  /// @param resume_after id of the last event that the caller has; empty for
  ///     none.
  /// @param on_begin called before the first event is passed on.
  /// @param on_event called for each event that was passed on.
  stream_relay(std::shared_ptr<inbound_exchange> exchange,
               std::string resume_after, std::function<void()> on_begin,
               std::function<void()> on_event);

  /// What comes next belongs to another run.
  void BeginRun();
  /// Takes the head of a run's answer.
  /// @param genuine whether the answer is a stream of the engine's own.
  void TakeHead(bool genuine, const http_headers& headers);
  void TakeBytes(absl::string_view bytes);

  /// Whether the run's answer is the engine's and may end here.
  bool RunIsWhole() const;
  /// The answer of a run that was no stream.
  const std::string& FailureBody() const { return failure_body_; }

  /// Whether the caller has the head of its answer.
  bool Begun() const { return begun_; }
  /// Whether another run can go on where this one ends.
  bool CanGoOn() const { return !begun_ || last_id_.has_value(); }
  /// Id of the last event that the caller has; empty for none.
  const std::string& ResumeAfter() const { return resume_after_; }

  /// Ends the caller's answer as complete.
  void End();
  /// Ends it so that the caller sees that it is broken.
  void Abort();
  /// Passes nothing on any more.
  void Close() { exchange_.reset(); }

 private:
  void TakeEvent(absl::string_view event, std::optional<int64_t> id);
  void Begin();

  std::shared_ptr<inbound_exchange> exchange_;
  std::function<void()> on_begin_;
  std::function<void()> on_event_;
  bool begun_ = false;
  std::optional<int64_t> last_id_;
  std::string resume_after_;

  // Of the run in progress.
  bool genuine_ = false;
  bool broken_order_ = false;
  http_headers head_;
  event_splitter splitter_;
  std::string failure_body_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_RELAY_H_
