#ifndef ANVILRIDGE_CALLER_CALLER_PORT_H_
#define ANVILRIDGE_CALLER_CALLER_PORT_H_

#include <QObject>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "caller/connection_cut.h"
#include "settings/daemon_settings.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// One request as it arrived, whole.
struct inbound_request {
  std::string method;
  /// Path without the query.
  std::string path;
  std::string query;
  /// Names are lower case.
  http_headers headers;
  std::string body;
  std::string remote_address;
  /// When its first byte arrived, by the monotonic clock.
  absl::Time received;
};

/// The answer to one inbound request, used on the thread that handles it. Use
/// either `Respond`, or `Begin`, any `Write`s and `End`.
class inbound_exchange {
 public:
  virtual ~inbound_exchange() = default;

  /// Sends a whole answer.
  virtual void Respond(int http_status, const http_headers& headers,
                       absl::string_view body) = 0;
  /// Begins a chunked answer.
  virtual void Begin(int http_status, const http_headers& headers) = 0;
  virtual void Write(absl::string_view bytes) = 0;
  /// Ends a chunked answer; the connection may be used again.
  virtual void End() = 0;
  /// Closes the connection so that the caller sees a broken answer.
  virtual void Abort() = 0;
  /// Bytes written that the caller has not taken yet.
  virtual int64_t UnsentBytes() const = 0;
  /// Whether the caller has gone, or was cut off for reading too slowly.
  virtual bool Closed() const = 0;
  /// Called once if the caller leaves before the answer has ended, or when it
  /// is cut off because `max_unsent_bytes` is exceeded.
  virtual void OnClosed(std::function<void()> listener) = 0;
};

/// How precisely callers read `Retry-After`.
enum class retry_after_form { whole_seconds, fractions };

/// Handles one request; runs on a traffic thread.
using inbound_handler =
    std::function<void(const inbound_request& request,
                       std::shared_ptr<inbound_exchange> exchange)>;

/// Refuses requests before their bodies are kept. Used on the traffic threads.
struct head_check {
  /// Returns whether requests are checked now.
  std::function<bool()> applies;
  /// Returns an error for a request that is refused.
  /// @param head the request without its body.
  std::function<absl::Status(const inbound_request& head)> check;
};

/// An HTTP port whose connections are spread over traffic threads. What is
/// too large, too slow or malformed is answered here as a problem document.
class caller_port {
 public:
  /// `threads` are contexts that live on the traffic threads; one of them is
  /// picked in turn for each connection.
  caller_port(port_settings port, limit_settings limits,
              const std::vector<QObject*>& threads);
  ~caller_port();

  /// `handler_for(i)` makes the handler that runs on thread `i`; called once a
  /// thread, on this thread, before listening.
  absl::Status Listen(
      const std::function<inbound_handler(size_t thread)>& handler_for);

  /// Calls `listener`, on the traffic threads, with the error of each request
  /// that is refused before its handler. To be called before listening.
  void OnRefuse(std::function<void(const absl::Status&)> listener);

  /// Applies `check` once the header fields of a request have arrived whose
  /// body doesn't arrive with them. To be called before listening.
  void SetHeadCheck(head_check check);

  /// Calls `listener` with each connection that the port ends although a
  /// request on it has no whole answer. To be called before listening.
  /// @param request_id_field header field, in lower case, with a request's id.
  void OnCut(cut_listener listener, std::string request_id_field);

  /// Bounds the bytes of requests in progress and of answers that their callers
  /// have not taken. Beyond `bytes`, requests of more than 64 KiB are refused
  /// as `overloaded`; beyond twice of that all, and connections with more than
  /// that unsent are cut. To be called before listening.
  void SetMaxHeldBytes(int64_t bytes);

  /// Changes the limits of open and new connections; to be called on the thread
  /// that listens. A request in progress keeps those that it began with.
  void SetLimits(const limit_settings& limits);

  uint16_t Port() const;

  /// Asks callers to leave: each answer from now on closes its connection, idle
  /// connections close soon, and new ones are still served.
  void BeginDrain();

  /// Stops accepting; connections in use finish their answers and then close.
  void StopAccepting();

  /// Ends the port: serves the connections that the kernel holds or is making,
  /// and stops listening within 50 ms. Requests that arrive are still handed
  /// over, idle connections close soon, and requests that don't arrive whole
  /// soon are refused. Over once `Closed`; what is open when the port is
  /// destroyed is cut. To be called on the thread that listens.
  void BeginClose();

  /// Returns whether no connection is open and no more can be made.
  bool Closed() const;

  /// Connections open over all threads, and those not yet handed to one.
  int Connections() const;

  /// Answers in progress over all threads.
  int RequestsInProgress() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Sends `error` as `application/problem+json` with the members `type`,
/// `title`, `status`, `detail`, `ran` and `request_id`, and `Retry-After`, in
/// whole seconds unless the callers of `exchange` take fractions.
void RespondProblem(inbound_exchange& exchange, const absl::Status& error,
                    absl::string_view request_id,
                    retry_after_form form = retry_after_form::whole_seconds);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_CALLER_PORT_H_
