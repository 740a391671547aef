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

/// Passes the events of one stream on to its caller, each exactly once and
/// without gaps, even if several engines generate them one after the other.
class stream_relay {
 public:
  /// Longest part of a response that is kept until it is complete.
  static constexpr size_t kMaxKeptBytes = 1 << 20;

  /// @param resume_after id of the last event that the caller has received, or
  ///     empty if it has none.
  /// @param on_begin called before the first event is passed on.
  /// @param on_event called after each event that was passed on.
  stream_relay(std::shared_ptr<inbound_exchange> exchange,
               std::string resume_after, std::function<void()> on_begin,
               std::function<void()> on_event);

  /// Starts another run; the headers and data that follow belong to it.
  void BeginRun();
  /// Returns whether a response with `headers` can be a part of the stream: one
  /// that continues it must have the media type of the first.
  bool IsPartOfStream(const http_headers& headers) const;
  /// Handles the response headers of a run.
  /// @param authentic_stream whether the response is an event stream that comes
  ///     from the engine itself.
  void OnHeaders(bool authentic_stream, const http_headers& headers);
  /// Handles a part of a run's response body, of any length.
  /// @return false if an event that has not ended, or the body of a failure, is
  ///     longer than `kMaxKeptBytes`.
  bool OnData(absl::string_view bytes);

  /// Returns the bytes of an event that has not ended, or of the body of a
  /// failure.
  size_t KeptBytes() const;

  /// Returns whether the run's response is an authentic stream of events in
  /// sequence that doesn't end within an event. It must also have brought an
  /// event, since one without any may be a failure, unless the caller came back
  /// with events of an earlier response.
  bool IsRunComplete() const;
  /// Returns the response body of a run that returned no authentic stream.
  const std::string& ErrorBody() const { return error_body_; }

  /// Returns whether the response headers were sent to the caller.
  bool HeadersSent() const { return headers_sent_; }
  /// Returns whether another run can continue the stream where this one ends.
  /// That requires an event id to resume from, unless no event was passed on
  /// yet.
  bool IsResumable() const { return !headers_sent_ || last_id_.has_value(); }
  /// Returns the id of the last event that the caller has received; empty if it
  /// has none.
  const std::string& ResumeAfter() const { return resume_after_; }

  /// Ends the caller's response as complete.
  void End();
  /// Aborts the caller's response so that the caller detects that it is
  /// incomplete.
  void Abort();
  /// Stops passing on events and releases the exchange.
  void Close() { exchange_.reset(); }

 private:
  void RelayEvent(absl::string_view event, std::optional<int64_t> id);
  void Begin();

  std::shared_ptr<inbound_exchange> exchange_;
  std::function<void()> on_begin_;
  std::function<void()> on_event_;
  bool headers_sent_ = false;
  // Whether the caller had received events before this response.
  bool caller_has_events_;
  std::optional<int64_t> last_id_;
  std::string resume_after_;

  // State of the current run. `headers_` are only replaced before the caller's
  // response begins.
  bool authentic_stream_ = false;
  // Whether the run continues a stream that an earlier one began.
  bool continues_ = false;
  bool has_new_event_ = false;
  // Whether the run has left the sequence of events.
  bool out_of_sequence_ = false;
  http_headers headers_;
  event_splitter splitter_;
  std::string error_body_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_RELAY_H_
