#include "sharing/share_port.h"

#include <QHostAddress>
#include <QJsonObject>
#include <QNetworkDatagram>
#include <QUdpSocket>
#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/control_traffic.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "dispatch/engine_cell.h"
#include "log/decision_log.h"
#include "settings/settings_values.h"
#include "sharing/share_message.h"

namespace anvilridge {
namespace {

// Changes close together go in one message: well below the time of a prefill.
constexpr absl::Duration kSendSpacing = absl::Milliseconds(10);
// How often a share is told without a change; several times within
// `kPeerShareLife`, so that one lost message does no harm.
constexpr absl::Duration kRefresh = absl::Milliseconds(300);
// A daemon that was not heard for this long is no longer told or counted.
constexpr absl::Duration kPeerLife = absl::Seconds(3);
// Daemons are introduced to the others only while they are surely alive:
// several of their messages are due within this time.
constexpr absl::Duration kIntroduceWithin = absl::Seconds(1);
// How long one that was only introduced is told, so that it may answer.
constexpr absl::Duration kIntroductionLife = absl::Milliseconds(1500);
// Daemons introduced in a message, in turn: 18 bytes, and a hundred daemons
// within ten seconds.
constexpr size_t kIntroducedAtOnce = 3;
// How often, and how many, daemons of other cells are asked for introductions:
// they know most of a cell of a dozen within some rounds.
constexpr absl::Duration kHelloInterval = absl::Seconds(1);
constexpr size_t kHellosAtOnce = 4;

struct peer_state {
  QHostAddress host;
  uint16_t port = 0;
  // Whether the store names it.
  bool listed = false;
  absl::Time heard = absl::InfinitePast();
  absl::Time introduced_until = absl::InfinitePast();
  uint64_t incarnation = 0;
  uint32_t sequence = 0;
};

bool IsHeard(const peer_state& peer, absl::Time now) {
  return peer.heard + kPeerLife >= now;
}

// Whether `peer` is told what this daemon has under way.
bool IsTold(const peer_state& peer, absl::Time now) {
  return peer.listed || IsHeard(peer, now) || peer.introduced_until >= now;
}

std::string PeerName(const QHostAddress& host, uint16_t port) {
  return absl::StrCat(
      QHostAddress(host.toIPv4Address()).toString().toStdString(), ":", port);
}

}  // namespace

struct share_port::impl {
  share_handler handler;
  QUdpSocket socket;
  std::string own_address;
  std::map<std::string, peer_state, std::less<>> peers;
  uint64_t incarnation = absl::Uniform<uint64_t>(absl::BitGen());
  uint32_t sequence = 0;
  bool leaving = false;
  int daemons = 0;
  size_t next_introduced = 0;
  int cells = 1;
  absl::Time hello_sent = absl::InfinitePast();
  absl::BitGen random;
  absl::Time sent = absl::InfinitePast();
  bool send_due = false;
  std::unique_ptr<QTimer> refresh;

  void Receive();
  void Take(const QNetworkDatagram& datagram);
  void Meet(const share_address& address, absl::Time now);
  std::vector<share_address> Introductions(int cell, absl::Time now);
  void SendTo(const peer_state& peer, const share_message& message);
  void SendHellos(absl::Time now);
  bool IsOwnCell(absl::string_view name) const;
  void Send();
  void CountDaemons();
};

void share_port::impl::Receive() {
  while (socket.hasPendingDatagrams()) Take(socket.receiveDatagram());
}

void share_port::impl::Take(const QNetworkDatagram& datagram) {
  const QByteArray bytes = datagram.data();
  CountControlBytes(control_channel::membership, traffic_direction::received,
                    bytes.size());
  const absl::Time now = MonotonicNow();
  absl::StatusOr<share_message> message = DecodeShare(
      absl::string_view(bytes.constData(), static_cast<size_t>(bytes.size())),
      now);
  if (!message.ok()) {
    LogEvent(log_level::debug, "share_unreadable",
             {{"why", QtText(message.status().message())}});
    return;
  }
  const auto port = static_cast<uint16_t>(datagram.senderPort());
  const std::string name = PeerName(datagram.senderAddress(), port);
  if (name == own_address) return;
  peer_state& peer = peers[name];
  const bool same = peer.incarnation == message->incarnation;
  const bool is_share = message->kind == share_kind::share;
  if (is_share && same && message->sequence <= peer.sequence) return;
  if (peer.heard + kPeerLife < now) {
    LogEvent(log_level::info, "daemon_heard", {{"peer", QtText(name)}});
  }
  peer.host = datagram.senderAddress();
  peer.port = port;
  peer.heard = now;
  if (is_share) {
    peer.incarnation = message->incarnation;
    peer.sequence = message->sequence;
  }
  if (message->leaving) {
    LogEvent(log_level::info, "daemon_leaves", {{"peer", QtText(name)}});
    peers.erase(name);
  }
  for (const share_address& address : message->introduced) {
    Meet(address, now);
  }
  if (message->kind == share_kind::hello) {
    share_message answer;
    answer.kind = share_kind::introduction;
    answer.incarnation = incarnation;
    answer.sequence = sequence;
    answer.introduced = Introductions(CellOf(name, cells), now);
    SendTo(peers[name], answer);
  } else if (is_share) {
    handler.on_share(name, std::move(message->share));
  }
  CountDaemons();
}

// Takes in a daemon that another one has heard.
void share_port::impl::Meet(const share_address& address, absl::Time now) {
  const QHostAddress host(address.ip);
  const std::string name = PeerName(host, address.port);
  if (name == own_address) return;
  const auto [entry, is_new] = peers.try_emplace(name);
  if (!is_new) return;
  entry->second.host = host;
  entry->second.port = address.port;
  entry->second.introduced_until = now + kIntroductionLife;
}

bool share_port::impl::IsOwnCell(absl::string_view name) const {
  return CellOf(name, cells) == CellOf(own_address, cells);
}

// Picks daemons of `cell` that the next message introduces, in turn.
std::vector<share_address> share_port::impl::Introductions(int cell,
                                                           absl::Time now) {
  std::vector<share_address> addresses;
  for (const auto& [name, peer] : peers) {
    const absl::Duration within =
        IsOwnCell(name) ? kIntroduceWithin : kPeerLife;
    if (peer.heard + within < now || CellOf(name, cells) != cell) continue;
    addresses.push_back({peer.host.toIPv4Address(), peer.port});
  }
  if (addresses.size() <= kIntroducedAtOnce) return addresses;
  next_introduced %= addresses.size();
  std::rotate(addresses.begin(),
              addresses.begin() + static_cast<std::ptrdiff_t>(next_introduced),
              addresses.end());
  next_introduced += kIntroducedAtOnce;
  addresses.resize(kIntroducedAtOnce);
  return addresses;
}

void share_port::impl::SendTo(const peer_state& peer,
                              const share_message& message) {
  const QByteArray bytes = EncodeShare(message);
  CountControlBytes(control_channel::membership, traffic_direction::sent,
                    bytes.size());
  socket.writeDatagram(bytes, peer.host, peer.port);
}

// Asks some daemons of other cells which ones of the own they have heard.
void share_port::impl::SendHellos(absl::Time now) {
  if (cells == 1 || leaving || now - hello_sent < kHelloInterval) return;
  hello_sent = now;
  std::vector<const peer_state*> others;
  for (const auto& [name, peer] : peers) {
    if (!IsOwnCell(name) && IsTold(peer, now)) others.push_back(&peer);
  }
  share_message hello;
  hello.kind = share_kind::hello;
  hello.incarnation = incarnation;
  hello.sequence = sequence;
  for (size_t i = 0; i < kHellosAtOnce && !others.empty(); ++i) {
    const size_t chosen = absl::Uniform<size_t>(random, 0, others.size());
    SendTo(*others[chosen], hello);
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
}

void share_port::impl::Send() {
  send_due = false;
  sent = MonotonicNow();
  share_message message;
  message.incarnation = incarnation;
  message.sequence = ++sequence;
  message.leaving = leaving;
  if (!leaving) {
    message.share = handler.own_share();
    message.introduced = Introductions(CellOf(own_address, cells), sent);
  }
  for (const auto& [name, peer] : peers) {
    if (IsOwnCell(name) && IsTold(peer, sent)) SendTo(peer, message);
  }
}

void share_port::impl::CountDaemons() {
  const absl::Time now = MonotonicNow();
  int counted = 1;
  int own_cell = 1;
  for (auto entry = peers.begin(); entry != peers.end();) {
    if (entry->second.listed || IsHeard(entry->second, now)) {
      ++counted;
      if (IsOwnCell(entry->first)) ++own_cell;
    }
    entry = IsTold(entry->second, now) ? std::next(entry) : peers.erase(entry);
  }
  // Most daemons of other cells are not known by name.
  counted = std::max(counted, own_cell * cells);
  if (std::exchange(daemons, counted) == counted) return;
  LogEvent(log_level::info, "daemons_known", {{"daemons", counted}});
  handler.on_daemons(counted);
}

share_port::share_port(share_handler handler)
    : impl_(std::make_unique<impl>()) {
  impl_->handler = std::move(handler);
}

share_port::~share_port() = default;

absl::Status share_port::Listen(const endpoint& listen) {
  const QHostAddress address(QString::fromStdString(listen.address));
  if (!impl_->socket.bind(address, listen.port)) {
    return MakeError(
        error_kind::internal,
        absl::StrCat("can't listen on ", EndpointText(listen), ": ",
                     impl_->socket.errorString().toStdString()));
  }
  impl_->own_address =
      EndpointText({listen.address, impl_->socket.localPort()});
  QObject::connect(&impl_->socket, &QUdpSocket::readyRead, &impl_->socket,
                   [self = impl_.get()] { self->Receive(); });
  impl_->refresh = RunEvery(kRefresh, [self = impl_.get()] {
    if (MonotonicNow() - self->sent >= kRefresh / 2) self->Send();
    self->SendHellos(MonotonicNow());
    self->CountDaemons();
  });
  return absl::OkStatus();
}

void share_port::SetPeers(const std::vector<std::string>& peers) {
  for (auto& [name, peer] : impl_->peers) peer.listed = false;
  for (const std::string& name : peers) {
    const auto address = ParseEndpoint(name);
    if (!address || name == impl_->own_address) continue;
    peer_state& peer = impl_->peers[name];
    peer.host = QHostAddress(QString::fromStdString(address->address));
    peer.port = address->port;
    peer.listed = true;
  }
  impl_->CountDaemons();
  NoteChange();
}

void share_port::SetCells(int cells) { impl_->cells = cells; }

void share_port::NoteChange() {
  if (impl_->send_due) return;
  impl_->send_due = true;
  const absl::Duration wait = std::max(
      absl::ZeroDuration(), impl_->sent + kSendSpacing - MonotonicNow());
  RunAfter(&impl_->socket, wait, [self = impl_.get()] { self->Send(); });
}

void share_port::Leave() {
  impl_->leaving = true;
  impl_->Send();
}

}  // namespace anvilridge
