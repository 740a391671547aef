#include "peer/peer_server.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>
#include <functional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/ids.h"
#include "peer/peer_message.h"
#include "peer/peer_session.h"
#include "peer/socket_poller.h"

namespace anvilridge {
namespace {

constexpr size_t kMaxConnections = 1000;
constexpr int kBacklog = 512;
struct server_connection {
  std::shared_ptr<peer_session> session;
  absl::Time opened;
};

/// Hands descriptors on, where Qt would make sockets that its event loop has to
/// look at one by one.
class peer_listener : public QTcpServer {
 public:
  std::function<void(int descriptor)> on_accepted;

 protected:
  void incomingConnection(qintptr descriptor) override {
    on_accepted(static_cast<int>(descriptor));
  }
};

/// The answer owed to one call. A handler that drops it without answering
/// leaves no caller waiting.
class owed_answer {
 public:
  owed_answer(std::weak_ptr<peer_session> session, int32_t stream)
      : session_(std::move(session)), stream_(stream) {}
  ~owed_answer() {
    Send(MakeError(error_kind::internal, "the call was not answered"));
  }
  owed_answer(const owed_answer&) = delete;
  owed_answer& operator=(const owed_answer&) = delete;

  void Send(const absl::StatusOr<QCborMap>& answer) {
    if (std::exchange(sent_, true)) return;
    const std::shared_ptr<peer_session> session = session_.lock();
    if (session) session->SubmitAnswer(stream_, EncodePeerAnswer(answer));
  }

 private:
  std::weak_ptr<peer_session> session_;
  int32_t stream_;
  bool sent_ = false;
};

}  // namespace

struct peer_server::impl {
  std::string key;
  peer_timing timing;
  absl::flat_hash_map<std::string, peer_handler> handlers;
  /// Outlives the connections.
  socket_poller poller;
  peer_listener listener;
  uint64_t last_id = 0;
  absl::flat_hash_map<uint64_t, server_connection> connections;
  QObject context;
  std::unique_ptr<QTimer> check_timer;

  void Accept(int descriptor);
  void Open(std::unique_ptr<peer_socket> socket);
  void Dispatch(uint64_t id, int32_t stream, const peer_request& request);
  void Drop(uint64_t id);
  void CloseIdle();
};

void peer_server::impl::Accept(int descriptor) {
  auto socket = std::make_unique<peer_socket>(poller, descriptor);
  if (connections.size() < kMaxConnections) Open(std::move(socket));
}

void peer_server::impl::Open(std::unique_ptr<peer_socket> socket) {
  const uint64_t id = ++last_id;
  peer_session_events events;
  events.http2.authorize = [this](absl::string_view sent) {
    return ConstantTimeEqual(sent, key);
  };
  events.http2.on_call = [this, id](int32_t stream,
                                    const peer_request& request) {
    Dispatch(id, stream, request);
  };
  events.on_broken = [this, id](const std::string&) { Drop(id); };
  connections[id] = {
      std::make_shared<peer_session>(peer_side::server, std::move(socket),
                                     std::move(events)),
      MonotonicNow()};
}

void peer_server::impl::Dispatch(uint64_t id, int32_t stream,
                                 const peer_request& request) {
  const auto answer =
      std::make_shared<owed_answer>(connections.at(id).session, stream);
  const absl::StatusOr<QCborMap> call = DecodePeerRequest(request);
  if (!call.ok()) return answer->Send(call.status());
  const auto handler = handlers.find(request.method);
  if (handler == handlers.end()) {
    return answer->Send(
        MakeError(error_kind::not_found,
                  absl::StrCat("no peer method ", request.method)));
  }
  handler->second(*call, [answer](const absl::StatusOr<QCborMap>& result) {
    answer->Send(result);
  });
}

void peer_server::impl::Drop(uint64_t id) {
  const auto found = connections.find(id);
  if (found == connections.end()) return;
  // Told from inside the session, so it must outlive this call.
  PostTo(&context, [kept = std::move(found->second.session)] {});
  connections.erase(found);
}

void peer_server::impl::CloseIdle() {
  const absl::Time now = MonotonicNow();
  std::vector<std::shared_ptr<peer_session>> idle;
  for (const auto& [id, connection] : connections) {
    const peer_session& session = *connection.session;
    const bool unknown = !session.Authorized() &&
                         now - connection.opened > timing.authorize_timeout;
    const bool silent = session.OpenStreams() == 0 &&
                        now - session.LastReceived() > timing.server_idle;
    if (unknown || silent) idle.push_back(connection.session);
  }
  for (const auto& session : idle) session->Close("the connection is idle");
}

peer_server::peer_server(std::string peer_key, const peer_timing& timing)
    : impl_(std::make_unique<impl>()) {
  impl_->key = std::move(peer_key);
  impl_->timing = timing;
  impl_->listener.setListenBacklogSize(kBacklog);
  impl_->listener.on_accepted = [self = impl_.get()](int descriptor) {
    self->Accept(descriptor);
  };
  impl_->check_timer =
      RunEvery(timing.check_period, [this] { impl_->CloseIdle(); });
}

peer_server::~peer_server() = default;

void peer_server::Handle(std::string method, peer_handler handler) {
  impl_->handlers.insert_or_assign(std::move(method), std::move(handler));
}

absl::Status peer_server::Listen(const endpoint& listen) {
  const QHostAddress address(QString::fromStdString(listen.address));
  if (impl_->listener.listen(address, listen.port)) return absl::OkStatus();
  return MakeError(
      error_kind::internal,
      absl::StrCat("can't listen on ", listen.address, ":", listen.port, ": ",
                   impl_->listener.errorString().toStdString()),
      run_state::not_run);
}

uint16_t peer_server::Port() const { return impl_->listener.serverPort(); }

}  // namespace anvilridge
