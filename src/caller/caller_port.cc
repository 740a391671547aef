#include "caller/caller_port.h"

#include <sys/socket.h>

#include <QHostAddress>
#include <QTcpServer>
#include <algorithm>
#include <cerrno>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/event_thread.h"
#include "base/qt_text.h"
#include "caller/handshake_filter.h"
#include "caller/port_worker.h"
#include "caller/tls_configuration.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

/// Connections past the cap that are told at a time why they are refused; any
/// more wait in the kernel's queue.
constexpr int kMaxRefusals = 64;

/// Time between two checks whether connections can be accepted again.
constexpr absl::Duration kResumeInterval = absl::Milliseconds(10);

/// The kernel's queue of connections that are not accepted yet.
constexpr int kListenBacklog = 512;

/// Time in which a handshake in progress ends: one round trip, many times over
/// what it takes within a region.
constexpr absl::Duration kHandshakeTime = absl::Milliseconds(50);

/// Accepts connections and hands their descriptors on.
class accepting_server : public QTcpServer {
 public:
  explicit accepting_server(std::function<void(int descriptor)> on_connection)
      : on_connection_(std::move(on_connection)) {}

  /// Accepts no more until `Resume`, also within the present round of accepts.
  void Pause() {
    setMaxPendingConnections(0);
    pauseAccepting();
  }
  void Resume() {
    setMaxPendingConnections(kListenBacklog);
    resumeAccepting();
  }

  /// Takes all connections that the kernel holds. It makes no more; those that
  /// it is making are taken too, until this closes after `kHandshakeTime`.
  void BeginClose() {
    if (closing_ || !isListening()) return;
    closing_ = true;
    const absl::Status filtered = DropNewHandshakes(Listening());
    if (!filtered.ok()) {
      LogEvent(log_level::warn, "handshakes_not_filtered",
               {{"error", QtText(filtered.message())}});
    }
    TakeAll();
    RunAfter(this, kHandshakeTime, [this] {
      TakeAll();
      // At once: connections that are made before are reset.
      ::shutdown(Listening(), SHUT_RD);
      close();
    });
  }

 protected:
  void incomingConnection(qintptr descriptor) override {
    on_connection_(static_cast<int>(descriptor));
  }

 private:
  int Listening() const { return static_cast<int>(socketDescriptor()); }

  void TakeAll() {
    while (true) {
      const int descriptor = ::accept4(Listening(), nullptr, nullptr,
                                       SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (descriptor >= 0) {
        on_connection_(descriptor);
      } else if (errno != EINTR && errno != ECONNABORTED) {
        break;
      }
    }
  }

  bool closing_ = false;
  std::function<void(int descriptor)> on_connection_;
};

}  // namespace

struct caller_port::impl {
  /// One traffic thread's share.
  struct worker_slot {
    QObject* thread = nullptr;
    /// Set and used on that thread only.
    std::unique_ptr<port_worker> worker;
  };

  port_settings port;
  limit_settings limits;
  std::vector<std::shared_ptr<worker_slot>> slots;
  std::shared_ptr<port_counters> counters = std::make_shared<port_counters>();
  size_t next_slot = 0;
  std::unique_ptr<accepting_server> listener;
  /// Runs while no connections are accepted.
  std::unique_ptr<QTimer> resume_timer;

  bool Full() const {
    return counters->connections.load() >=
           limits.max_connections + kMaxRefusals;
  }
  void PauseAccepting();
  void HandOver(int descriptor);
  void MakeWorkers(
      const std::optional<QSslConfiguration>& tls,
      const std::function<inbound_handler(size_t thread)>& handler_for);
};

void caller_port::impl::PauseAccepting() {
  listener->Pause();
  if (resume_timer) {
    if (!resume_timer->isActive()) resume_timer->start();
    return;
  }
  resume_timer = RunEvery(kResumeInterval, [this] {
    if (!listener->isListening()) return resume_timer->stop();
    if (Full()) return;
    resume_timer->stop();
    listener->Resume();
  });
}

void caller_port::impl::HandOver(int descriptor) {
  auto owned = std::make_shared<owned_descriptor>(descriptor);
  const int open = counters->connections.load();
  ++counters->connections;
  if (Full()) PauseAccepting();
  const bool refuse = open >= limits.max_connections;
  const std::shared_ptr<worker_slot> slot = slots[next_slot];
  next_slot = (next_slot + 1) % slots.size();
  PostTo(slot->thread, [slot, owned, refuse] {
    if (slot->worker) slot->worker->Adopt(owned->Release(), refuse);
  });
}

void caller_port::impl::MakeWorkers(
    const std::optional<QSslConfiguration>& tls,
    const std::function<inbound_handler(size_t thread)>& handler_for) {
  for (size_t i = 0; i < slots.size(); ++i) {
    PostTo(slots[i]->thread, [slot = slots[i], limits = limits, tls,
                              handler = handler_for(i), counters = counters] {
      slot->worker =
          std::make_unique<port_worker>(limits, tls, handler, counters);
    });
  }
}

caller_port::caller_port(port_settings port, limit_settings limits,
                         const std::vector<QObject*>& threads)
    : impl_(std::make_unique<impl>()) {
  impl_->port = std::move(port);
  impl_->limits = limits;
  for (QObject* thread : threads) {
    auto slot = std::make_shared<impl::worker_slot>();
    slot->thread = thread;
    impl_->slots.push_back(std::move(slot));
  }
}

caller_port::~caller_port() {
  impl_->resume_timer.reset();
  impl_->listener.reset();
  for (const auto& slot : impl_->slots) {
    RunAndWait(slot->thread, [&slot] { slot->worker.reset(); });
  }
}

absl::Status caller_port::Listen(
    const std::function<inbound_handler(size_t thread)>& handler_for) {
  const endpoint& listen = impl_->port.listen;
  std::optional<QSslConfiguration> tls;
  if (impl_->port.tls) {
    auto loaded = LoadTlsConfiguration(impl_->port);
    if (!loaded.ok()) return loaded.status();
    tls = *std::move(loaded);
  }
  auto listener = std::make_unique<accepting_server>(
      [this](int descriptor) { impl_->HandOver(descriptor); });
  listener->setListenBacklogSize(kListenBacklog);
  // Qt accepts no more once file descriptors have run out.
  QObject::connect(listener.get(), &QTcpServer::acceptError,
                   [this] { impl_->PauseAccepting(); });
  const QHostAddress address(QString::fromStdString(listen.address));
  if (!listener->listen(address, listen.port)) {
    return MakeError(
        error_kind::internal,
        absl::StrCat("can't listen on ", listen.address, ":", listen.port, ": ",
                     listener->errorString().toStdString()));
  }
  impl_->MakeWorkers(tls, handler_for);
  impl_->listener = std::move(listener);
  return absl::OkStatus();
}

uint16_t caller_port::Port() const {
  return impl_->listener ? impl_->listener->serverPort() : 0;
}

void caller_port::StopAccepting() {
  if (!impl_->listener) return;
  impl_->listener->close();
  BeginDrain();
}

void caller_port::BeginDrain() {
  for (const auto& slot : impl_->slots) {
    PostTo(slot->thread, [slot] {
      if (slot->worker) slot->worker->CloseWhenDone();
    });
  }
}

void caller_port::BeginClose() {
  if (!impl_->listener) return;
  // Before the last connections are taken, so that the answers on them already
  // tell their callers to leave.
  for (const auto& slot : impl_->slots) {
    PostTo(slot->thread, [slot] {
      if (slot->worker) slot->worker->BeginClose();
    });
  }
  impl_->listener->BeginClose();
}

void caller_port::OnRefuse(std::function<void(const absl::Status&)> listener) {
  impl_->counters->on_refuse = std::move(listener);
}

void caller_port::SetHeadCheck(head_check check) {
  impl_->counters->check_head = std::move(check);
}

void caller_port::OnCut(cut_listener listener, std::string request_id_field) {
  impl_->counters->on_cut = std::move(listener);
  impl_->counters->request_id_field = std::move(request_id_field);
}

void caller_port::SetMaxHeldBytes(int64_t bytes) {
  impl_->counters->max_held_bytes = bytes;
}

void caller_port::SetLimits(const limit_settings& limits) {
  impl_->limits = limits;
  for (const auto& slot : impl_->slots) {
    PostTo(slot->thread, [slot, limits] {
      if (slot->worker) slot->worker->SetLimits(limits);
    });
  }
}

bool caller_port::Closed() const {
  const bool listening = impl_->listener && impl_->listener->isListening();
  return !listening && Connections() == 0;
}

int caller_port::Connections() const {
  return impl_->counters->connections.load();
}

int caller_port::RequestsInProgress() const {
  return impl_->counters->answering.load() + impl_->counters->receiving.load();
}

}  // namespace anvilridge
