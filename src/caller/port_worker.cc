#include "caller/port_worker.h"

#include <unistd.h>

#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/clock.h"

namespace anvilridge {
namespace {

// Minimum time between two searches for a connection to end, which look at all
// of them.
constexpr absl::Duration kMakeRoomInterval = absl::Milliseconds(10);

}  // namespace

owned_descriptor::~owned_descriptor() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

int owned_descriptor::Release() { return std::exchange(descriptor_, -1); }

struct port_worker::impl {
  feed_server server;
  connection_context context;
  bool stopping = false;
  bool closing = false;
  absl::Time made_room_at = absl::InfinitePast();
  // Last: connections use all of the above until they are gone.
  absl::flat_hash_map<caller_connection*, std::unique_ptr<caller_connection>>
      connections;

  // Ends a connection in favour of others.
  void MakeRoom();
};

void port_worker::impl::MakeRoom() {
  const absl::Time now = MonotonicNow();
  if (now - made_room_at < kMakeRoomInterval) return;
  made_room_at = now;
  std::vector<caller_connection*> all;
  std::vector<held_connection> held;
  all.reserve(connections.size());
  held.reserve(connections.size());
  for (const auto& [connection, owned] : connections) {
    all.push_back(connection);
    held.push_back(connection->Held());
  }
  const auto chosen = ChooseConnectionToEnd(held, now);
  if (chosen) all[*chosen]->GiveUpForMemory();
}

port_worker::port_worker(const limit_settings& limits,
                         std::optional<QSslConfiguration> tls,
                         inbound_handler handler,
                         std::shared_ptr<port_counters> counters)
    : impl_(std::make_unique<impl>()) {
  connection_context& context = impl_->context;
  context.limits = limits;
  context.tls = std::move(tls);
  context.handler = std::move(handler);
  context.counters = std::move(counters);
  context.server = &impl_->server;
  context.thread = this;
  context.make_room = [this] { impl_->MakeRoom(); };
  context.on_gone = [this](caller_connection* connection) {
    impl_->connections.erase(connection);
  };
}

port_worker::~port_worker() {
  // Listeners of the answers cut here may look at the port's other exchanges,
  // so the connections are taken out of the table first.
  auto connections = std::exchange(impl_->connections, {});
  connections.clear();
}

void port_worker::Adopt(int descriptor, bool refuse) {
  auto connection =
      std::make_unique<caller_connection>(impl_->context, descriptor, refuse);
  if (impl_->stopping) connection->CloseWhenDone();
  if (impl_->closing) connection->BeginClose();
  impl_->connections.emplace(connection.get(), std::move(connection));
}

void port_worker::SetLimits(const limit_settings& limits) {
  impl_->context.limits = limits;
  for (auto& [key, connection] : impl_->connections) {
    connection->OnLimitsChanged();
  }
}

void port_worker::CloseWhenDone() {
  impl_->stopping = true;
  for (auto& [key, connection] : impl_->connections) {
    connection->CloseWhenDone();
  }
}

void port_worker::BeginClose() {
  impl_->stopping = true;
  impl_->closing = true;
  for (auto& [key, connection] : impl_->connections) connection->BeginClose();
}

}  // namespace anvilridge
