#include "caller/caller_connection.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <QHostAddress>
#include <QSslSocket>
#include <algorithm>
#include <cerrno>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/ids.h"
#include "caller/caller_exchange.h"

namespace anvilridge {
namespace {

/// How long a refused caller may go on sending before its connection is
/// closed: closing at once would reset it and lose the answer.
constexpr absl::Duration kLingerTime = absl::Seconds(2);

/// How long an idle connection stays open once the port stops accepting, for
/// requests already on their way.
constexpr absl::Duration kStopGrace = absl::Milliseconds(500);

/// How long a port that closes waits for requests on their way, and for the
/// rest of one.
constexpr absl::Duration kClosingArrival = absl::Milliseconds(100);

/// How long a connection that was closed while idle takes requests that crossed
/// the close: closing the socket at once would reset it.
constexpr absl::Duration kIdleLingerTime = absl::Milliseconds(500);

/// How long bytes that lie unread when a timer runs out may wait to be read.
constexpr absl::Duration kLateRead = absl::Milliseconds(10);

/// Most bytes taken from the network at a time. A connection keeps up to as
/// many of further requests while it answers one.
constexpr int64_t kReadBufferBytes = 16 << 10;

/// Whether `bytes` hold nothing but line ends, which some callers send behind
/// a body.
bool IsBlank(absl::string_view bytes) {
  return bytes.find_first_not_of("\r\n") == absl::string_view::npos;
}

// An earlier attempt with the same key, here or at another daemon, may have run
// although this one did not.
run_state RunStateOfRefused(bool may_have_key) {
  return may_have_key ? run_state::unknown : run_state::not_run;
}

absl::Status ClosingError() {
  return MakeError(error_kind::shutting_down,
                   "this daemon stops before the request has arrived");
}

absl::string_view View(const QByteArray& bytes) {
  return {bytes.constData(), static_cast<size_t>(bytes.size())};
}

}  // namespace

caller_connection::caller_connection(const connection_context& context,
                                     qintptr descriptor, bool refuse)
    : context_(context),
      socket_(MakeSocket()),
      scanner_(context.limits.max_header_bytes, context.limits.max_body_bytes) {
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&timer_, &QTimer::timeout, [this] { OnTimeout(); });
  if (!socket_->setSocketDescriptor(descriptor)) {
    ReportCut(cut_phase::accepting, cut_reason::accept_failed, 0);
    Leave();
    return;
  }
  socket_->setReadBufferSize(kReadBufferBytes);
  socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  socket_->setSocketOption(
      QAbstractSocket::SendBufferSizeSocketOption,
      QVariant::fromValue(static_cast<int>(context.limits.max_unsent_bytes)));
  if (auto* tls = qobject_cast<QSslSocket*>(socket_.get())) {
    tls->setSslConfiguration(*context.tls);
    tls->startServerEncryption();
  }
  BecomeIdle();
  if (refuse) {
    Refuse(MakeError(error_kind::too_many_connections,
                     "no more connections are accepted"));
  }
}

caller_connection::~caller_connection() {
  ReportCutOfRequest(cut_reason::port_closed);
  SetPhase(phase::gone);
  socket_->disconnect();
  if (const auto exchange = exchange_.lock()) {
    exchange->ConnectionLost(/*at_once=*/true);
  }
  socket_->abort();
  --context_.counters->connections;
}

std::unique_ptr<QTcpSocket> caller_connection::MakeSocket() {
  std::unique_ptr<QTcpSocket> socket;
  if (context_.tls) {
    auto tls = std::make_unique<QSslSocket>();
    QObject::connect(tls.get(), &QSslSocket::encryptedBytesWritten,
                     [this] { OnBytesWritten(); });
    socket = std::move(tls);
  } else {
    socket = std::make_unique<QTcpSocket>();
  }
  QObject::connect(socket.get(), &QIODevice::readyRead,
                   [this] { OnReadyRead(); });
  QObject::connect(socket.get(), &QIODevice::bytesWritten,
                   [this] { OnBytesWritten(); });
  QObject::connect(socket.get(), &QAbstractSocket::disconnected,
                   [this] { Leave(); });
  QObject::connect(socket.get(), &QAbstractSocket::errorOccurred,
                   [this] { Leave(); });
  return socket;
}

void caller_connection::CloseWhenDone() {
  draining_ = true;
  if (phase_ == phase::idle) SetTimer(kStopGrace);
}

void caller_connection::BeginClose() {
  draining_ = true;
  last_arrival_ = MonotonicNow() + kClosingArrival;
  if (phase_ == phase::idle || phase_ == phase::receiving) {
    SetArrivalTimer(kClosingArrival);
  }
}

void caller_connection::OnLimitsChanged() {
  if (phase_ != phase::idle || draining_) return;
  const absl::Duration idle_timeout = context_.limits.idle_timeout;
  // A caller that has not heard of a shorter time yet still counts on the one
  // before, so that the shorter one begins now.
  const absl::Time now = MonotonicNow();
  idle_end_ = std::max(idle_since_ + idle_timeout,
                       std::min(idle_end_, now + idle_timeout));
  SetTimer(idle_end_ - now);
}

void caller_connection::OnReadyRead() {
  switch (phase_) {
    case phase::idle:
    case phase::receiving:
      Receive(View(socket_->readAll()));
      break;
    case phase::answering:
    case phase::flushing:
      // A pipelined request stays in the socket, whose buffer is bounded.
      if (!next_received_) next_received_ = MonotonicNow();
      UpdateHeld();
      break;
    case phase::lingering:
      DropRequest(View(socket_->readAll()));
      break;
    case phase::gone:
      break;
  }
}

void caller_connection::DropRequest(absl::string_view bytes) {
  if (!draining_ || scanner_.InRequest() || IsBlank(bytes)) return;
  ReportCut(cut_phase::unread, cut_reason::closing,
            static_cast<int64_t>(bytes.size()));
}

void caller_connection::BeginRequest() {
  const absl::Time now = MonotonicNow();
  const limit_settings& limits = context_.limits;
  scanner_.SetBounds(limits.max_header_bytes, limits.max_body_bytes);
  received_ = next_received_.value_or(now);
  next_received_.reset();
  received_bytes_ = 0;
  body_bytes_ = 0;
  answer_begun_ = false;
  deadline_ = now + limits.request_timeout;
  read_late_ = false;
  awaits_fields_ = true;
}

void caller_connection::Receive(absl::string_view bytes) {
  if (phase_ == phase::idle) BeginRequest();
  received_bytes_ += static_cast<int64_t>(bytes.size());
  last_progress_ = MonotonicNow();
  const auto progress = scanner_.Take(bytes);
  UpdateHeld();
  if (!progress.ok()) {
    Refuse(progress.status());
    return;
  }
  if (ExceedsHeldBytes()) context_.make_room();
  if (phase_ == phase::gone) return;
  if (ExceedsHeldBytes()) {
    Refuse(MakeError(error_kind::overloaded,
                     absl::StrCat("no memory left for a request of at least ",
                                  received_bytes_, " bytes"),
                     run_state::not_run, kMemoryRetryAfter));
    return;
  }
  if (*progress == scan_progress::complete) {
    Dispatch();
    return;
  }
  const bool fields_arrived = awaits_fields_ && scanner_.FieldsRead();
  SetReceiveTimer();
  if (fields_arrived && RefuseByHead()) return;
  if (!scanner_.TakeExpectContinue()) return;
  if (last_arrival_ != absl::InfiniteFuture()) {
    Refuse(ClosingError());
    return;
  }
  Send("HTTP/1.1 100 Continue\r\n\r\n");
}

void caller_connection::SetReceiveTimer() {
  if (phase_ == phase::idle && scanner_.InRequest()) {
    SetPhase(phase::receiving);
    const limit_settings& limits = context_.limits;
    SetArrivalTimer(limits.header_timeout.value_or(limits.request_timeout));
  }
  if (phase_ == phase::receiving && !scanner_.InRequest()) BecomeIdle();
  if (phase_ == phase::receiving && awaits_fields_ && scanner_.FieldsRead()) {
    awaits_fields_ = false;
    SetArrivalTimer(deadline_ - MonotonicNow());
  }
}

bool caller_connection::RefuseByHead() {
  const std::optional<head_check>& check = context_.counters->check_head;
  if (!check || !check->applies()) return false;
  auto head = context_.server->Parse(scanner_.Head());
  // A request that can't be parsed is refused once it has arrived whole.
  if (!head.ok()) return false;
  head->remote_address = socket_->peerAddress().toString().toStdString();
  head->received = received_;
  const absl::Status checked = check->check(*head);
  if (checked.ok()) return false;
  Refuse(checked);
  return true;
}

std::shared_ptr<caller_exchange> caller_connection::StartAnswer(
    const scanned_request& request) {
  timer_.stop();
  SetPhase(phase::answering);
  caller_exchange::form form;
  form.head_only = request.method == "HEAD";
  form.chunked = !request.http_1_0;
  auto exchange =
      std::make_shared<caller_exchange>(this, context_.thread, form);
  exchange_ = exchange;
  return exchange;
}

bool caller_connection::HasCallerClosed() const {
  char next = 0;
  const auto descriptor = static_cast<int>(socket_->socketDescriptor());
  const ssize_t peeked =
      ::recv(descriptor, &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
  if (peeked >= 0) return peeked == 0;
  return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

void caller_connection::Dispatch() {
  // The request may have waited for so long that its caller has given up.
  if (HasCallerClosed()) return Leave();
  request_id_ =
      std::string(scanner_.HeaderField(context_.counters->request_id_field));
  scanned_request request = scanner_.Release();
  if (scanner_.HasExcess()) next_received_ = received_;
  if (!request.keep_alive) close_after_answer_ = true;
  const bool full =
      context_.counters->answering.load() >= context_.limits.max_requests;
  const bool keyed = HasIdempotencyKey(request);
  if (full) {
    return RefuseRequest(MakeError(error_kind::too_many_connections,
                                   "too many requests are in progress"),
                         request, keyed);
  }
  body_bytes_ = static_cast<int64_t>(request.body.size());
  scanned_request head;
  head.method = request.method;
  head.http_1_0 = request.http_1_0;
  auto parsed = context_.server->Parse(std::move(request));
  if (!parsed.ok()) return RefuseRequest(parsed.status(), head, keyed);
  parsed->remote_address = socket_->peerAddress().toString().toStdString();
  parsed->received = received_;
  const std::shared_ptr<caller_exchange> exchange = StartAnswer(head);
  UpdateHeld();
  context_.handler(*parsed, exchange);
}

void caller_connection::Refuse(const absl::Status& error) {
  request_id_ =
      std::string(scanner_.HeaderField(context_.counters->request_id_field));
  close_after_answer_ = true;
  const bool may_have_key = scanner_.MayHaveKey();
  // The rest is read and dropped.
  scanner_.Discard();
  RefuseRequest(error, scanned_request{}, may_have_key);
}

void caller_connection::RefuseRequest(const absl::Status& error,
                                      const scanned_request& request,
                                      bool may_have_key) {
  const port_counters& counters = *context_.counters;
  if (counters.on_refuse) counters.on_refuse(error);
  const auto exchange = StartAnswer(request);
  const absl::Status refusal =
      WithRunState(error, RunStateOfRefused(may_have_key));
  RespondProblem(*exchange, refusal,
                 request_id_.empty() ? NewId() : request_id_);
}

void caller_connection::SetPhase(phase next) {
  port_counters& counters = *context_.counters;
  const auto answering = [](phase p) {
    return p == phase::answering || p == phase::flushing;
  };
  if (answering(next) && !answering(phase_)) ++counters.answering;
  if (!answering(next) && answering(phase_)) --counters.answering;
  if (next == phase::receiving && phase_ != phase::receiving) {
    ++counters.receiving;
  }
  if (next != phase::receiving && phase_ == phase::receiving) {
    --counters.receiving;
  }
  if (next == phase::gone || next == phase::lingering) CountHeld(0);
  phase_ = next;
}

void caller_connection::SetTimer(absl::Duration delay) {
  delay = std::max(delay, absl::ZeroDuration());
  timer_.start(std::chrono::milliseconds(
      absl::ToInt64Milliseconds(absl::Ceil(delay, absl::Milliseconds(1)))));
}

void caller_connection::SetArrivalTimer(absl::Duration delay) {
  SetTimer(std::min(delay, last_arrival_ - MonotonicNow()));
}

void caller_connection::Send(absl::string_view bytes) {
  if (phase_ == phase::gone) return;
  if (phase_ == phase::answering) answer_begun_ = true;
  if (UnsentBytes() == 0) last_progress_ = MonotonicNow();
  socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
  UpdateHeld();
  // From here on the caller must keep taking bytes.
  if (!timer_.isActive()) SetTimer(context_.limits.request_timeout);
}

void caller_connection::OnBytesWritten() {
  if (phase_ == phase::answering || phase_ == phase::flushing) {
    last_progress_ = MonotonicNow();
    UpdateHeld();
  }
  if (phase_ == phase::answering) {
    timer_.stop();
    if (UnsentBytes() > 0) SetTimer(context_.limits.request_timeout);
  }
  if (phase_ == phase::flushing) {
    SetTimer(context_.limits.request_timeout);
    FinishIfFlushed();
  }
}

void caller_connection::EndAnswer() {
  SetPhase(phase::flushing);
  exchange_.reset();
  UpdateHeld();
  SetTimer(context_.limits.request_timeout);
  FinishIfFlushed();
}

void caller_connection::FinishIfFlushed() {
  if (UnsentBytes() > 0) return;
  if (close_after_answer_) {
    Linger(kLingerTime);
    return;
  }
  BecomeIdle();
  if (!RequestWaits()) return;
  BeginRequest();
  const limit_settings& limits = context_.limits;
  SetPhase(phase::receiving);
  SetArrivalTimer(limits.header_timeout.value_or(limits.request_timeout));
  // Deferred, since a handler that responds at once would recurse into here.
  PostTo(&timer_, [this] {
    if (phase_ == phase::receiving) OnReadyRead();
  });
}

void caller_connection::BecomeIdle() {
  SetPhase(phase::idle);
  UpdateHeld();
  idle_since_ = MonotonicNow();
  idle_end_ = idle_since_ + context_.limits.idle_timeout;
  SetArrivalTimer(draining_ ? kStopGrace : context_.limits.idle_timeout);
}

bool caller_connection::RequestWaits() const {
  return scanner_.HasExcess() || socket_->bytesAvailable() > 0;
}

bool caller_connection::ClosesAfterAnswer() {
  if (draining_ && !scanner_.HasExcess() && UnreadBytes() == 0) {
    close_after_answer_ = true;
  }
  return close_after_answer_;
}

void caller_connection::Linger(absl::Duration duration) {
  SetPhase(phase::lingering);
  SetTimer(duration);
  if (context_.tls) {
    // A caller that is still sending closes by itself or when the time is up.
    if (!scanner_.InRequest()) socket_->disconnectFromHost();
    return;
  }
  ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
  // A full buffer would keep the socket from being read.
  OnReadyRead();
}

void caller_connection::OnTimeout() {
  switch (phase_) {
    case phase::receiving:
      // Extended only once, so that a caller that never stops sending is
      // refused.
      if (!read_late_ && UnreadBytes() > 0) {
        read_late_ = true;
        SetTimer(kLateRead);
        break;
      }
      Refuse(MonotonicNow() < last_arrival_
                 ? MakeError(error_kind::request_timeout,
                             "the request did not arrive in time")
                 : ClosingError());
      break;
    case phase::answering:
    case phase::flushing:
      // The caller may have made room that was not seen yet.
      if (socket_->flush()) {
        OnBytesWritten();
        break;
      }
      ReportCutOfRequest(cut_reason::slow_reader);
      Break(/*reset=*/true);
      break;
    case phase::idle:
      // Closing would reset the connection and lose what has arrived.
      if (UnreadBytes() > 0) {
        SetTimer(kLateRead);
      } else if (draining_) {
        Linger(kIdleLingerTime);
      } else {
        Leave();
      }
      break;
    case phase::lingering:
      Leave();
      break;
    case phase::gone:
      break;
  }
}

void caller_connection::Break(bool reset) {
  if (phase_ == phase::gone) return;
  if (reset) {
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(static_cast<int>(socket_->socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &at_once, sizeof(at_once));
  }
  Leave();
}

void caller_connection::Leave() {
  if (phase_ == phase::gone) return;
  SetPhase(phase::gone);
  timer_.stop();
  socket_->disconnect();
  const std::shared_ptr<caller_exchange> exchange = exchange_.lock();
  exchange_.reset();
  if (exchange) exchange->ConnectionLost(/*at_once=*/false);
  PostTo(context_.thread, [gone = context_.on_gone, this] { gone(this); });
}

int64_t caller_connection::UnsentBytes() const {
  int64_t unsent = socket_->bytesToWrite();
  if (const auto* tls = qobject_cast<QSslSocket*>(socket_.get())) {
    unsent += tls->encryptedBytesToWrite();
  }
  return unsent;
}

int64_t caller_connection::UnreadBytes() const {
  int in_kernel = 0;
  const auto descriptor = static_cast<int>(socket_->socketDescriptor());
  if (descriptor < 0 || ::ioctl(descriptor, FIONREAD, &in_kernel) != 0) {
    in_kernel = 0;
  }
  return socket_->bytesAvailable() + in_kernel;
}

void caller_connection::ReportCut(cut_phase phase, cut_reason reason,
                                  int64_t bytes) const {
  const port_counters& counters = *context_.counters;
  if (!counters.on_cut) return;
  connection_cut cut;
  cut.phase = phase;
  cut.reason = reason;
  cut.bytes = bytes;
  if (socket_->peerPort() != 0) {
    cut.caller = absl::StrCat(socket_->peerAddress().toString().toStdString(),
                              ":", socket_->peerPort());
  }
  if (phase == cut_phase::receiving || phase == cut_phase::answering ||
      phase == cut_phase::flushing) {
    cut.age = MonotonicNow() - received_;
  }
  if (phase == cut_phase::receiving) {
    cut.request_id =
        std::string(scanner_.HeaderField(counters.request_id_field));
  } else if (phase == cut_phase::answering || phase == cut_phase::flushing) {
    cut.request_id = request_id_;
  }
  counters.on_cut(cut);
}

void caller_connection::ReportCutOfRequest(cut_reason reason) const {
  switch (phase_) {
    case phase::idle:
      if (const int64_t unread = UnreadBytes(); unread > 0) {
        ReportCut(cut_phase::unread, reason, unread);
      }
      break;
    case phase::receiving:
      ReportCut(cut_phase::receiving, reason, received_bytes_);
      break;
    case phase::answering:
      ReportCut(cut_phase::answering, reason, received_bytes_);
      break;
    case phase::flushing:
      ReportCut(cut_phase::flushing, reason, UnsentBytes());
      break;
    case phase::lingering:
    case phase::gone:
      break;
  }
}

}  // namespace anvilridge
