#ifndef ANVILRIDGE_CALLER_CALLER_CONNECTION_H_
#define ANVILRIDGE_CALLER_CALLER_CONNECTION_H_

#include <QObject>
#include <QSslConfiguration>
#include <QTcpSocket>
#include <QTimer>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "caller/caller_port.h"
#include "caller/request_feed.h"
#include "caller/request_scanner.h"
#include "caller/room_choice.h"

namespace anvilridge {

class caller_exchange;

/// When a caller that was refused for lack of memory may come back.
inline constexpr absl::Duration kMemoryRetryAfter = absl::Milliseconds(500);

/// Counts of one port over all its threads.
struct port_counters {
  std::atomic<int> connections{0};
  /// Requests that have begun to arrive.
  std::atomic<int> receiving{0};
  /// Answers begun or due, up to their last byte sent.
  std::atomic<int> answering{0};
  /// Bytes that are kept for callers: of requests that arrive or are in
  /// progress, of further ones behind them, and of answers that their callers
  /// have not taken.
  std::atomic<int64_t> held_bytes{0};
  /// Bound on `held_bytes`, beyond which longer requests are refused. Set
  /// before the first connection.
  int64_t max_held_bytes = int64_t{256} << 20;
  /// Told of requests that were refused before their handler; set before the
  /// first connection.
  std::function<void(const absl::Status&)> on_refuse;
  /// Refuses requests before their bodies have arrived, if it is set; set
  /// before the first connection.
  std::optional<head_check> check_head;
  /// Told of connections that are ended with a request on them; set before the
  /// first connection.
  cut_listener on_cut;
  /// Header field with a request's id, for `on_cut`.
  std::string request_id_field;
};

/// What the connections of one thread share.
struct connection_context {
  limit_settings limits;
  std::optional<QSslConfiguration> tls;
  inbound_handler handler;
  std::shared_ptr<port_counters> counters;
  feed_server* server = nullptr;
  /// Runs what must not run inside a call of a handler; lives on the thread.
  QObject* thread = nullptr;
  /// Called when more than the bound is held, and has the connection refused or
  /// cut that holds the most without progress.
  std::function<void()> make_room;
  /// Told once, when the connection has nothing more to do.
  std::function<void(class caller_connection*)> on_gone;
};

/// One caller's connection, on one traffic thread: receives a request, hands
/// it over, sends its answer, and is used again or closed.
class caller_connection {
 public:
  /// Takes over `descriptor`. With `refuse`, answers `too_many_connections`
  /// without reading a request.
  caller_connection(const connection_context& context, qintptr descriptor,
                    bool refuse);
  ~caller_connection();
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  /// Closes after the answer in progress; an idle connection soon.
  void CloseWhenDone();

  /// Closes as `CloseWhenDone` does, an idle connection sooner, and refuses a
  /// request that doesn't arrive whole soon.
  void BeginClose();

  /// Returns what the connection keeps for its caller.
  held_connection Held() const;

  /// Refuses the request that arrives, or cuts an answer that its caller
  /// doesn't take, for lack of memory.
  void GiveUpForMemory();

  /// Applies changed limits of the context to an idle connection; others keep
  /// theirs until their next request.
  void OnLimitsChanged();

 private:
  friend class caller_exchange;

  enum class phase { idle, receiving, answering, flushing, lingering, gone };

  std::unique_ptr<QTcpSocket> MakeSocket();
  void OnReadyRead();
  void OnBytesWritten();
  void OnTimeout();
  void Receive(absl::string_view bytes);
  // Reports what arrives on a connection that a stop has closed.
  void DropRequest(absl::string_view bytes);
  void BeginRequest();
  void SetReceiveTimer();
  // Refuses the request, whose header fields have just arrived, if its body
  // must not be kept. Returns whether it was refused.
  bool RefuseByHead();
  void BecomeIdle();
  // Whether bytes of a further request have arrived.
  bool RequestWaits() const;
  // Whether the answer is the last one; decided as its head is written.
  bool ClosesAfterAnswer();
  // Whether the caller's close has arrived, which the socket may not have
  // reported yet.
  bool HasCallerClosed() const;
  void Dispatch();
  void Refuse(const absl::Status& error);
  void RefuseRequest(const absl::Status& error, const scanned_request& request,
                     bool may_have_key);
  std::shared_ptr<caller_exchange> StartAnswer(const scanned_request& request);
  void SetPhase(phase next);
  void SetTimer(absl::Duration delay);
  // Sets the timer, at most until the port refuses what has not arrived.
  void SetArrivalTimer(absl::Duration delay);
  void Send(absl::string_view bytes);
  // Cuts the connection if callers have not taken so much of their answers that
  // the memory for them is used up.
  void CutWithoutMemory();
  // Counts what is kept for this connection as held.
  void UpdateHeld();
  void CountHeld(int64_t bytes);
  // Whether the request that arrives may not be held.
  bool ExceedsHeldBytes() const;
  void EndAnswer();
  void FinishIfFlushed();
  void Linger(absl::Duration duration);
  void Break(bool reset);
  void Leave();
  int64_t UnsentBytes() const;
  // Bytes that have arrived and are not read.
  int64_t UnreadBytes() const;
  void ReportCut(cut_phase phase, cut_reason reason, int64_t bytes) const;
  // Reports a cut in the current phase, if a request is on the connection.
  void ReportCutOfRequest(cut_reason reason) const;

  const connection_context& context_;
  std::unique_ptr<QTcpSocket> socket_;
  request_scanner scanner_;
  QTimer timer_;
  phase phase_ = phase::idle;
  // When the first byte of the request in progress arrived.
  absl::Time received_;
  // Bytes read of the request in progress, and its id.
  int64_t received_bytes_ = 0;
  // Bytes that are counted as held.
  int64_t held_bytes_ = 0;
  // Body of the request in progress, in bytes.
  int64_t body_bytes_ = 0;
  // Whether bytes of its answer were sent.
  bool answer_begun_ = false;
  // Last time at which the caller sent or took bytes.
  absl::Time last_progress_ = absl::InfinitePast();
  std::string request_id_;
  // When the whole request must have arrived.
  absl::Time deadline_;
  // When the connection became idle.
  absl::Time idle_since_;
  // When the connection is closed if it stays idle.
  absl::Time idle_end_;
  // Whether the timer runs for the header fields.
  bool awaits_fields_ = false;
  // Whether the request got more time because bytes of it lay unread.
  bool read_late_ = false;
  // When the first byte behind that request arrived, if any has.
  std::optional<absl::Time> next_received_;
  bool close_after_answer_ = false;
  bool draining_ = false;
  // When a port that closes refuses what has not arrived whole.
  absl::Time last_arrival_ = absl::InfiniteFuture();
  std::weak_ptr<caller_exchange> exchange_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_CALLER_CONNECTION_H_
