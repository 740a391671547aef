#ifndef ANVILRIDGE_HTTP1_CHANNEL_CLIENT_H_
#define ANVILRIDGE_HTTP1_CHANNEL_CLIENT_H_

#include <cstdint>
#include <memory>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "upstreams/http_client.h"
#include "upstreams/kept_bytes.h"

namespace anvilridge {

/// How often connections were made and used again.
struct channel_counts {
  int64_t opened = 0;
  int64_t reused = 0;
};

/// Runs HTTP/1.1 calls over connections that it keeps, and writes each call to
/// exactly one connection, once. libcurl writes a call again when a kept
/// connection breaks, and takes whatever answer comes next for the one that is
/// due; neither may happen to a request that must run at most once.
///
/// A connection that has carried other calls may bring a second copy of an
/// earlier answer. There, a call with an answer mark takes only an answer with
/// that mark, fails as `unknown` on one without any, and is never written to a
/// connection that has carried its mark before.
///
/// What it keeps of responses until they are complete is bounded in sum. A call
/// whose response would exceed a bound fails as `unknown`.
///
/// Used on the thread that made it, which must run a Qt event loop. Handlers
/// are called from the event loop, never from `Start` or `Cancel`; they may
/// start and cancel calls, but not destroy the client.
class channel_client {
 public:
  using call_id = uint64_t;

  channel_client();
  ~channel_client();
  channel_client(const channel_client&) = delete;
  channel_client& operator=(const channel_client&) = delete;

  /// Starts `call`; returns its id, never 0. `call.repeatable` is not looked
  /// at: no call is repeated here. The status of the result is
  /// `upstream_failed` or `upstream_stalled`; its run state is `not_run` only
  /// if the connection was never made.
  call_id Start(http_call call, http_handler handler);

  /// Ends the call and closes its connection; its handler is not called again.
  /// Unknown ids are ignored.
  void Cancel(call_id id);

  /// Closes the idle connections to `address`, whose upstream has gone.
  void Forget(absl::string_view address);

  size_t ActiveCalls() const;
  channel_counts Counts() const;

  /// Returns what is kept of responses, with its bounds. Handlers with
  /// `on_data` add what they keep themselves.
  const std::shared_ptr<kept_bytes>& Kept() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_HTTP1_CHANNEL_CLIENT_H_
