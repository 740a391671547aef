#include "membership/membership_service.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <QUdpSocket>
#include <algorithm>
#include <limits>
#include <utility>

#include "absl/random/random.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/control_traffic.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "membership/lease_clock.h"
#include "membership/swim_probe.h"

namespace anvilridge {
namespace {

/// Timer ticks per probe interval.
constexpr int kTicksPerProbeInterval = 5;

/// Returns an incarnation from the wall clock, in microseconds, so that a
/// restarted daemon of the same name has a higher one.
uint64_t NewIncarnation() {
  return static_cast<uint64_t>(absl::ToUnixMicros(WallNow()));
}

std::optional<endpoint> ParseEndpoint(absl::string_view text) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  if (colon == absl::string_view::npos) return std::nullopt;
  if (!absl::SimpleAtoi(text.substr(colon + 1), &port)) return std::nullopt;
  if (port > std::numeric_limits<uint16_t>::max()) return std::nullopt;
  return endpoint{std::string(text.substr(0, colon)),
                  static_cast<uint16_t>(port)};
}

swim_config MakeConfig(const peer_settings& peers) {
  swim_config config;
  config.interval = peers.probe_interval;
  return config;
}

member_update MakeSelf(const identity_settings& identity) {
  member_update self;
  self.id = {identity.name, NewIncarnation()};
  self.failure_domain = identity.failure_domain;
  return self;
}

}  // namespace

struct membership_service::impl {
  impl(const identity_settings& identity, const peer_settings& settings,
       std::string key, clock clock_now)
      : peers(settings),
        peer_key(std::move(key)),
        now(std::move(clock_now)),
        node(MakeSwimNode(MakeConfig(settings), MakeSelf(identity), now())),
        lease(settings.lease, Self().id.incarnation, now()) {
    node.contacts = settings.seeds;
  }

  member_update& Self() { return SelfEntry(node.table).update; }

  void Send(const std::vector<swim_send>& sends) {
    for (const swim_send& send : sends) {
      const auto to = ParseEndpoint(send.address);
      if (!to || send.address == Self().peer_address) continue;
      const QByteArray bytes = EncodeSwim(send.message, peer_key);
      const QHostAddress host(QString::fromStdString(to->address));
      const qint64 sent = socket->writeDatagram(bytes, host, to->port);
      if (sent <= 0) continue;
      CountControlBytes(control_channel::membership, traffic_direction::sent,
                        sent);
    }
  }

  /// Starts an incarnation above the current one and above `received`, the
  /// highest one received for this daemon (0 if none).
  void ReplaceIncarnation(uint64_t received) {
    const owner_id old_self = Self().id;
    const uint64_t next =
        std::max({NewIncarnation(), received + 1, old_self.incarnation + 1});
    lease.Restart(next, now());
    SetSelfIncarnation(node.table, next, now());
    for (const auto& listener : expired_listeners) listener(old_self);
    NotifyChange();
  }

  /// Renews the lease, or replaces the incarnation when the lease has expired.
  void CheckLease() {
    if (!lease.Renew(now())) ReplaceIncarnation(0);
  }

  void NotifyChange() {
    for (const auto& listener : change_listeners) listener();
  }

  void Apply(const swim_result& result) {
    Send(result.sends);
    if (result.self_expired) {
      ReplaceIncarnation(result.seen_incarnation);
    } else if (result.changed) {
      NotifyChange();
    }
  }

  void Tick() {
    CheckLease();
    Apply(SwimTick(node, now(), random));
  }

  void ReadDatagrams() {
    CheckLease();
    while (socket->hasPendingDatagrams()) {
      const QByteArray bytes = socket->receiveDatagram().data();
      CountControlBytes(control_channel::membership,
                        traffic_direction::received, bytes.size());
      const auto message = DecodeSwim(bytes, peer_key);
      if (!message.ok()) {
        ++datagrams_rejected;
        continue;
      }
      Apply(SwimReceive(node, *message, now(), random));
    }
  }

  const peer_settings peers;
  const std::string peer_key;
  const clock now;
  absl::BitGen random;
  swim_node node;
  lease_clock lease;
  std::unique_ptr<QUdpSocket> socket;
  std::unique_ptr<QTimer> timer;
  std::vector<std::function<void()>> change_listeners;
  std::vector<std::function<void(const owner_id&)>> expired_listeners;
  uint64_t datagrams_rejected = 0;
};

membership_service::membership_service(const identity_settings& identity,
                                       const peer_settings& peers,
                                       std::string peer_key, clock now)
    : impl_(std::make_unique<impl>(identity, peers, std::move(peer_key),
                                   std::move(now))) {}

membership_service::~membership_service() {
  if (impl_->socket) impl_->Send(MakeLeaveMessages(impl_->node, impl_->random));
}

absl::Status membership_service::Start(absl::string_view peer_address) {
  const auto own = ParseEndpoint(peer_address);
  if (!own) return MakeError(error_kind::internal, "malformed peer address");
  auto socket = std::make_unique<QUdpSocket>();
  if (!socket->bind(QHostAddress(QString::fromStdString(own->address)),
                    own->port)) {
    return MakeError(
        error_kind::internal,
        absl::StrCat("can't bind the UDP socket of the peer endpoint ",
                     peer_address, ": ", socket->errorString().toStdString()));
  }
  impl_->Self().peer_address =
      absl::StrCat(own->address, ":", socket->localPort());
  impl_->socket = std::move(socket);
  QObject::connect(impl_->socket.get(), &QUdpSocket::readyRead,
                   [this] { impl_->ReadDatagrams(); });
  impl_->timer = RunEvery(impl_->peers.probe_interval / kTicksPerProbeInterval,
                          [this] { impl_->Tick(); });
  impl_->Tick();
  return absl::OkStatus();
}

const owner_id& membership_service::Self() const { return impl_->Self().id; }

bool membership_service::IsLeaseValid() const {
  return impl_->lease.IsValid(impl_->now());
}

bool membership_service::IsLeaseValid(uint64_t incarnation) const {
  return impl_->lease.IsValid(incarnation, impl_->now());
}

std::vector<member> membership_service::Members() const {
  std::vector<member> members;
  for (const auto& [name, entry] : impl_->node.table.members) {
    members.push_back(ToMember(entry));
  }
  return members;
}

std::vector<member> membership_service::Live() const {
  std::vector<member> running = Members();
  std::erase_if(running, [](const member& m) {
    return m.leaving || !IsRunning(m.state);
  });
  return running;
}

std::optional<bool> membership_service::IsOwnerLive(
    const owner_id& owner) const {
  return OwnerLiveness(impl_->node.table, owner, impl_->peers.lease,
                       impl_->now());
}

void membership_service::SetListedAddresses(
    const std::vector<std::string>& peer_addresses) {
  // The new VM list replaces the previous one, so that contacts stay bounded.
  std::vector<std::string> contacts = impl_->peers.seeds;
  contacts.insert(contacts.end(), peer_addresses.begin(), peer_addresses.end());
  std::erase(contacts, impl_->Self().peer_address);
  impl_->node.contacts = std::move(contacts);
}

void membership_service::SetConfigOffset(int64_t offset) {
  if (offset == impl_->Self().config_offset) return;
  impl_->Self().config_offset = offset;
  impl_->NotifyChange();
}

void membership_service::Leave() {
  impl_->Self().leaving = true;
  SelfEntry(impl_->node.table).times_sent = 0;
  impl_->NotifyChange();
}

void membership_service::OnChange(std::function<void()> listener) {
  impl_->change_listeners.push_back(std::move(listener));
}

void membership_service::OnExpired(
    std::function<void(const owner_id&)> listener) {
  impl_->expired_listeners.push_back(std::move(listener));
}

uint64_t membership_service::DatagramsRejected() const {
  return impl_->datagrams_rejected;
}

}  // namespace anvilridge
