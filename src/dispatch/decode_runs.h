#ifndef ANVILRIDGE_DISPATCH_DECODE_RUNS_H_
#define ANVILRIDGE_DISPATCH_DECODE_RUNS_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/broken_send.h"
#include "dispatch/decode_place.h"
#include "dispatch/dispatch_state.h"
#include "dispatch/kv_lease.h"
#include "dispatch/request_sends.h"
#include "dispatch/routed_request.h"
#include "dispatch/send_outcome.h"
#include "dispatch/stream_relay.h"

namespace anvilridge {

/// Events of `decode_runs`. None is called from its functions.
struct decode_listener {
  /// Returns what the rest of the stream needs of a decode engine.
  std::function<waiting_stream()> rest;
  /// An engine has begun to send the stream.
  std::function<void()> on_accepted;
  /// An engine has sent the stream to its end.
  std::function<void()> on_completed;
  /// The decode has failed, and none is in progress.
  std::function<void(const broken_send& broken, const http_result& result)>
      on_failed;
};

/// Decodes of one stream, one at a time. An engine that falls silent keeps the
/// stream until another one, the successor, has begun to send the rest of it:
/// the silent engine may be sound, and the successor may reject the request.
class decode_runs {
 public:
  /// @param routed outlives this object. Its charge counts the sends.
  /// @param sends counts the sends that are made here.
  /// @param relay receives the responses.
  /// @param owner kept alive during the events, and without it none is called.
  decode_runs(dispatch_state& state, routed_request& routed,
              request_sends& sends, stream_relay& relay,
              std::weak_ptr<void> owner, decode_listener listener);
  /// Cancels the decodes in progress.
  ~decode_runs();
  decode_runs(const decode_runs&) = delete;
  decode_runs& operator=(const decode_runs&) = delete;

  /// Sends the request to the engine of `place`, while no decode is in
  /// progress. The engine may be one that it was sent to before, which counts
  /// no further attempt.
  /// @param lease cache of the prefilled prompt. Without a usable one the
  ///     engine prefills the prompt itself. Empty afterwards.
  void Send(const reserved_decode& place, kv_lease& lease);
  /// Records that an event of the current run was passed on to the caller.
  void OnEvent();
  /// Cancels the decodes in progress, and ignores what still arrives of them.
  void Cancel();

  /// Returns whether a decode is in progress.
  bool InProgress() const;
  /// Returns whether an engine may have run the request.
  bool MayHaveRun() const;
  /// Returns the cache that the last send named if it may be named again, and
  /// an empty lease when called again: its engine certainly didn't fetch it,
  /// since it was not reached, or refused the request because of its own state.
  /// @param same_engine whether it goes to the same engine: then it is enough
  ///     that the engine may not have fetched it, since one that has refuses
  ///     the request as not run.
  kv_lease TakeLease(bool same_engine);
  /// Returns whether the request may go on at the engine of `broken`, apart
  /// from the budget.
  bool MayReturn(const broken_send& broken) const;
  /// Returns whether another engine may continue the stream, apart from the
  /// budget.
  bool MayResume() const;
  /// Returns the ids of the engines that the request was sent to.
  const std::vector<std::string>& Tried() const;
  /// Returns the id of the engine that the stream is or was received from;
  /// empty if the request was sent to none.
  absl::string_view UpstreamId() const;
  /// Returns the time of the send to that engine.
  absl::Time StartTime() const;
  /// Returns the time since the last event of that engine, or since its run
  /// began.
  absl::Duration Silence() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DECODE_RUNS_H_
