#include "sharing/load_exchange.h"

#include <QHostAddress>
#include <QJsonObject>
#include <QNetworkDatagram>
#include <QUdpSocket>
#include <algorithm>
#include <map>
#include <optional>
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
#include "sharing/load_message.h"
#include "sharing/store_readers.h"
#include "sharing/store_report_codec.h"

namespace anvilridge {
namespace {

// Minimum time between two load messages, so that changes close together go
// into one message. Well below the time of a prefill.
constexpr absl::Duration kMinSendInterval = absl::Milliseconds(10);
// Interval at which the load is sent again without a change. Several messages
// fall within `kPeerLoadLifetime`, so the loss of one does no harm.
constexpr absl::Duration kResendInterval = absl::Milliseconds(300);
// Time without a message after which a daemon that the store doesn't list is no
// longer sent to or counted.
constexpr absl::Duration kPeerTimeout = absl::Seconds(3);
// Maximum age of the last message of a daemon of the own cell that is taken for
// certainly alive, as when it is listed to other daemons. Several of its
// messages are due within this time.
constexpr absl::Duration kLivePeerMaxAge = absl::Seconds(1);
// Time for which messages are sent to a daemon whose address came from a third
// daemon, so that it can reply.
constexpr absl::Duration kContactPeriod = absl::Milliseconds(1500);
// Live daemons listed in one message, in rotation. Three take 18 bytes and
// cover a hundred daemons within ten seconds.
constexpr size_t kLivePeersPerMessage = 3;
// Time between two rounds of hellos to daemons of other cells.
constexpr absl::Duration kHelloInterval = absl::Seconds(1);
// Hellos in one round. A few rounds return the addresses of most daemons of a
// cell of a dozen.
constexpr size_t kHellosPerInterval = 4;
// Limit on the daemons that are known, so that forged messages don't fill the
// memory. Ten times as many as the largest deployment has.
constexpr size_t kMaxPeers = 4096;

// Time after a change for which all messages carry the evidence, since each may
// be lost, and the interval at which they carry it without a change, for
// daemons that have started since.
constexpr absl::Duration kNewEvidencePeriod = absl::Milliseconds(500);
constexpr absl::Duration kEvidenceInterval = absl::Seconds(1);
// Minimum time between two rounds of hellos.
constexpr absl::Duration kMinHelloInterval = absl::Milliseconds(100);

// Another daemon, keyed by its address.
struct peer_state {
  QHostAddress host;
  uint16_t port = 0;
  // Whether the store lists this daemon.
  bool listed = false;
  // When its last message arrived.
  absl::Time last_seen = absl::InfinitePast();
  // Until when to send to a daemon whose address came from a third daemon.
  absl::Time contact_until = absl::InfinitePast();
  // Incarnation and sequence number of its last load message.
  uint64_t incarnation = 0;
  uint32_t sequence = 0;
};

bool IsLive(const peer_state& peer, absl::Time now) {
  return peer.last_seen + kPeerTimeout >= now;
}

// Returns whether to send messages to `peer`.
bool ShouldSendTo(const peer_state& peer, absl::Time now) {
  return peer.listed || IsLive(peer, now) || peer.contact_until >= now;
}

std::string PeerName(const QHostAddress& host, uint16_t port) {
  return absl::StrCat(
      QHostAddress(host.toIPv4Address()).toString().toStdString(), ":", port);
}

}  // namespace

struct load_exchange::impl {
  load_exchange_handler handler;
  QUdpSocket socket;
  std::string own_address;
  // By `a.b.c.d:port`.
  std::map<std::string, peer_state, std::less<>> peers;
  uint64_t incarnation = absl::Uniform<uint64_t>(absl::BitGen());
  uint32_t sequence = 0;
  bool leaving = false;
  // Whether the store has listed the daemons.
  bool has_listing = false;
  // Last count passed to `handler`.
  int daemon_count = 0;
  // Last knowledge passed to `handler`; unset before the first.
  std::optional<group_knowledge> knowledge;
  // Position in the rotation of live peers to list in messages.
  size_t next_live_peer = 0;
  // Number of cells of the deployment.
  int cells = 1;
  absl::Time last_hello = absl::InfinitePast();
  // Until when the evidence is new, and when it was last sent to the own cell.
  absl::Time evidence_new_until = absl::InfinitePast();
  absl::Time evidence_sent_at = absl::InfinitePast();
  // Whether the evidence changes because of another daemon's.
  bool receiving_evidence = false;
  absl::BitGen random;
  // When the last load message was sent.
  absl::Time sent_at = absl::InfinitePast();
  bool send_scheduled = false;
  std::unique_ptr<QTimer> refresh_timer;
  // Last value passed to `handler`; unset before the first.
  std::optional<bool> is_store_reader;

  void HandlePendingDatagrams();
  void HandleStoreReport(absl::string_view bytes);
  void UpdateStoreReader();
  void HandleDatagram(const QNetworkDatagram& datagram);
  void AddPeer(const daemon_address& address, absl::Time now);
  std::vector<daemon_address> NextLivePeers(int cell, absl::Time now);
  void SendTo(const peer_state& peer, const load_message& message);
  void SendHellos(absl::Duration min_interval, absl::Time now);
  bool IsEvidenceDue(absl::Time now) const;
  bool IsOwnCell(absl::string_view name) const;
  void SendLoad();
  bool HearsMostListed(absl::Time now) const;
  bool IsSilent(const peer_state& peer, absl::Time now) const;
  void UpdateDaemonCount();
  void UpdateKnowledge(const group_knowledge& next);
};

void load_exchange::impl::HandlePendingDatagrams() {
  while (socket.hasPendingDatagrams()) HandleDatagram(socket.receiveDatagram());
}

void load_exchange::impl::HandleDatagram(const QNetworkDatagram& datagram) {
  const QByteArray bytes = datagram.data();
  CountControlBytes(control_channel::membership, traffic_direction::received,
                    bytes.size());
  const absl::string_view view(bytes.constData(),
                               static_cast<size_t>(bytes.size()));
  if (IsStoreReport(view)) return HandleStoreReport(view);
  const absl::Time now = MonotonicNow();
  absl::StatusOr<load_message> message = DecodeLoadMessage(view, now);
  if (!message.ok()) {
    LogEvent(log_level::debug, "share_unreadable",
             {{"why", QtText(message.status().message())}});
    return;
  }
  const auto port = static_cast<uint16_t>(datagram.senderPort());
  const std::string name = PeerName(datagram.senderAddress(), port);
  if (name == own_address) return;
  if (peers.size() >= kMaxPeers && !peers.contains(name)) return;
  peer_state& peer = peers[name];
  const bool same_incarnation = peer.incarnation == message->incarnation;
  const bool is_load = message->kind == load_message_kind::load;
  if (is_load && same_incarnation && message->sequence <= peer.sequence) return;
  if (peer.last_seen + kPeerTimeout < now) {
    LogEvent(log_level::info, "daemon_heard", {{"peer", QtText(name)}});
    evidence_new_until = now + kNewEvidencePeriod;
  }
  peer.host = datagram.senderAddress();
  peer.port = port;
  peer.last_seen = now;
  if (is_load) {
    peer.incarnation = message->incarnation;
    peer.sequence = message->sequence;
  }
  if (message->leaving) {
    LogEvent(log_level::info, "daemon_leaves", {{"peer", QtText(name)}});
    peers.erase(name);
  }
  for (const daemon_address& address : message->live_peers) {
    AddPeer(address, now);
  }
  if (message->kind == load_message_kind::hello) {
    load_message reply;
    reply.kind = load_message_kind::hello_reply;
    reply.incarnation = incarnation;
    reply.sequence = sequence;
    reply.live_peers = NextLivePeers(CellOf(name, cells), now);
    reply.evidence = handler.evidence();
    SendTo(peers[name], reply);
  } else if (is_load) {
    handler.on_load(name, std::move(message->load));
  }
  if (!message->evidence.prefill.reports.empty() ||
      !message->evidence.decode.reports.empty()) {
    receiving_evidence = true;
    handler.on_evidence(message->evidence);
    receiving_evidence = false;
  }
  UpdateDaemonCount();
}

void load_exchange::impl::HandleStoreReport(absl::string_view bytes) {
  absl::StatusOr<store_report> report = DecodeStoreReport(bytes);
  if (!report.ok()) {
    LogEvent(log_level::debug, "store_report_unreadable",
             {{"why", QtText(report.status().message())}});
    return;
  }
  handler.on_store_report(*std::move(report));
}

// Determines whether this daemon reads the store for its cell.
void load_exchange::impl::UpdateStoreReader() {
  const absl::Time now = MonotonicNow();
  std::vector<absl::string_view> heard;
  for (const auto& [name, peer] : peers) {
    if (IsOwnCell(name) && peer.last_seen + kLivePeerMaxAge >= now) {
      heard.push_back(name);
    }
  }
  const bool is_reader = IsStoreReader(own_address, heard);
  if (is_store_reader == is_reader) return;
  is_store_reader = is_reader;
  handler.on_store_reader(is_reader);
}

// Adds a daemon whose address arrived in a message of another daemon.
void load_exchange::impl::AddPeer(const daemon_address& address,
                                  absl::Time now) {
  const QHostAddress host(address.ip);
  const std::string name = PeerName(host, address.port);
  if (name == own_address || peers.size() >= kMaxPeers) return;
  const auto [entry, is_new] = peers.try_emplace(name);
  if (!is_new) return;
  entry->second.host = host;
  entry->second.port = address.port;
  entry->second.contact_until = now + kContactPeriod;
}

bool load_exchange::impl::IsOwnCell(absl::string_view name) const {
  return CellOf(name, cells) == CellOf(own_address, cells);
}

// Returns the live daemons of `cell` to list in the next message, in rotation.
std::vector<daemon_address> load_exchange::impl::NextLivePeers(int cell,
                                                               absl::Time now) {
  std::vector<daemon_address> addresses;
  for (const auto& [name, peer] : peers) {
    const absl::Duration max_age =
        IsOwnCell(name) ? kLivePeerMaxAge : kPeerTimeout;
    if (peer.last_seen + max_age < now || CellOf(name, cells) != cell) continue;
    addresses.push_back({peer.host.toIPv4Address(), peer.port});
  }
  if (addresses.size() <= kLivePeersPerMessage) return addresses;
  next_live_peer %= addresses.size();
  std::rotate(addresses.begin(),
              addresses.begin() + static_cast<std::ptrdiff_t>(next_live_peer),
              addresses.end());
  next_live_peer += kLivePeersPerMessage;
  addresses.resize(kLivePeersPerMessage);
  return addresses;
}

void load_exchange::impl::SendTo(const peer_state& peer,
                                 const load_message& message) {
  const QByteArray bytes = EncodeLoadMessage(message, MonotonicNow());
  CountControlBytes(control_channel::membership, traffic_direction::sent,
                    bytes.size());
  socket.writeDatagram(bytes, peer.host, peer.port);
}

// Requests live daemons of the own cell from some daemons of other cells, and
// tells them the evidence, unless that was done within `min_interval`.
void load_exchange::impl::SendHellos(absl::Duration min_interval,
                                     absl::Time now) {
  if (cells == 1 || leaving || now - last_hello < min_interval) return;
  last_hello = now;
  std::vector<const peer_state*> targets;
  for (const auto& [name, peer] : peers) {
    if (!IsOwnCell(name) && ShouldSendTo(peer, now)) targets.push_back(&peer);
  }
  load_message hello;
  hello.kind = load_message_kind::hello;
  hello.incarnation = incarnation;
  hello.sequence = sequence;
  hello.evidence = handler.evidence();
  for (size_t i = 0; i < kHellosPerInterval && !targets.empty(); ++i) {
    const size_t chosen = absl::Uniform<size_t>(random, 0, targets.size());
    SendTo(*targets[chosen], hello);
    targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
}

bool load_exchange::impl::IsEvidenceDue(absl::Time now) const {
  return now < evidence_new_until ||
         now - evidence_sent_at >= kEvidenceInterval;
}

// Sends this daemon's load to the daemons of its cell.
void load_exchange::impl::SendLoad() {
  send_scheduled = false;
  sent_at = MonotonicNow();
  load_message message;
  message.incarnation = incarnation;
  message.sequence = ++sequence;
  message.leaving = leaving;
  if (leaving) {
    message.load.stop_left = absl::ZeroDuration();
  } else {
    message.load = handler.own_load();
    message.live_peers = NextLivePeers(CellOf(own_address, cells), sent_at);
    if (IsEvidenceDue(sent_at)) {
      message.evidence = handler.evidence();
      evidence_sent_at = sent_at;
    }
  }
  for (const auto& [name, peer] : peers) {
    if (IsOwnCell(name) && ShouldSendTo(peer, sent_at)) SendTo(peer, message);
  }
}

// Returns whether messages arrive from at least half of the daemons of the own
// cell that the store lists. Otherwise this daemon may be cut off. A cut
// silences all peers at once, but they time out one by one, so only messages
// that are much younger than the timeout count.
bool load_exchange::impl::HearsMostListed(absl::Time now) const {
  int listed = 0;
  int heard = 0;
  for (const auto& [name, peer] : peers) {
    if (!peer.listed || !IsOwnCell(name)) continue;
    ++listed;
    if (peer.last_seen + kLivePeerMaxAge >= now) ++heard;
  }
  return 2 * heard >= listed;
}

// Returns whether a daemon that the store lists, and that would be heard if it
// lived, has ended without a message. Daemons of other cells are heard rarely.
bool load_exchange::impl::IsSilent(const peer_state& peer,
                                   absl::Time now) const {
  return peer.listed && !IsLive(peer, now) &&
         IsOwnCell(PeerName(peer.host, peer.port));
}

// Removes peers that time out, counts the daemons and reports a changed count.
void load_exchange::impl::UpdateDaemonCount() {
  const absl::Time now = MonotonicNow();
  int count = 1;
  int own_cell = 1;
  int silent = 0;
  for (auto entry = peers.begin(); entry != peers.end();) {
    if (entry->second.listed || IsLive(entry->second, now)) {
      ++count;
      if (IsSilent(entry->second, now)) ++silent;
      if (IsOwnCell(entry->first)) ++own_cell;
    }
    entry = ShouldSendTo(entry->second, now) ? std::next(entry)
                                             : peers.erase(entry);
  }
  UpdateKnowledge({std::max(count, own_cell * cells), silent});
  // Without a listing, others may be there that this daemon can't hear.
  if (!has_listing && daemon_count == 0 && count == 1) return;
  // This daemon has the addresses of only a few daemons of other cells, so it
  // assumes that each cell has as many daemons as its own.
  count = std::max(count, own_cell * cells);
  if ((daemon_count == 0 || count < daemon_count) && !HearsMostListed(now)) {
    return;
  }
  if (std::exchange(daemon_count, count) == count) return;
  LogEvent(log_level::info, "daemons_known", {{"daemons", count}});
  handler.on_daemon_count(count);
}

void load_exchange::impl::UpdateKnowledge(const group_knowledge& next) {
  if (knowledge == next) return;
  knowledge = next;
  handler.on_group_knowledge(next);
}

load_exchange::load_exchange(load_exchange_handler handler)
    : impl_(std::make_unique<impl>()) {
  impl_->handler = std::move(handler);
}

load_exchange::~load_exchange() = default;

absl::Status load_exchange::Listen(const endpoint& listen) {
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
                   [self = impl_.get()] { self->HandlePendingDatagrams(); });
  impl_->refresh_timer = RunEvery(kResendInterval, [self = impl_.get()] {
    if (MonotonicNow() - self->sent_at >= kResendInterval / 2) self->SendLoad();
    const absl::Time now = MonotonicNow();
    self->SendHellos(
        now < self->evidence_new_until ? kMinHelloInterval : kHelloInterval,
        now);
    self->UpdateDaemonCount();
    self->UpdateStoreReader();
  });
  return absl::OkStatus();
}

void load_exchange::SetPeers(const std::vector<std::string>& peers) {
  impl_->has_listing = true;
  for (auto& [name, peer] : impl_->peers) peer.listed = false;
  for (const std::string& name : peers) {
    const auto address = ParseEndpoint(name);
    if (!address || address->port == 0 || name == impl_->own_address) continue;
    peer_state& peer = impl_->peers[name];
    peer.host = QHostAddress(QString::fromStdString(address->address));
    peer.port = address->port;
    peer.listed = true;
  }
  impl_->UpdateDaemonCount();
  ScheduleSend();
}

void load_exchange::SetCells(int cells) { impl_->cells = cells; }

void load_exchange::ScheduleSend() {
  if (impl_->send_scheduled) return;
  impl_->send_scheduled = true;
  const absl::Duration wait = std::max(
      absl::ZeroDuration(), impl_->sent_at + kMinSendInterval - MonotonicNow());
  RunAfter(&impl_->socket, wait, [self = impl_.get()] { self->SendLoad(); });
}

void load_exchange::ScheduleEvidence() {
  const absl::Time now = MonotonicNow();
  impl_->evidence_new_until = now + kNewEvidencePeriod;
  impl_->SendHellos(kMinHelloInterval, now);
  // The daemon that has seen the crash sends it to the whole cell itself; the
  // next messages that are due make up for a loss.
  if (!impl_->receiving_evidence) ScheduleSend();
}

void load_exchange::SendStoreReport(const store_report& report) {
  const QByteArray bytes = EncodeStoreReport(report);
  const absl::Time now = MonotonicNow();
  for (const auto& [name, peer] : impl_->peers) {
    if (!impl_->IsOwnCell(name) || !ShouldSendTo(peer, now)) continue;
    CountControlBytes(control_channel::membership, traffic_direction::sent,
                      bytes.size());
    impl_->socket.writeDatagram(bytes, peer.host, peer.port);
  }
}

void load_exchange::AnnounceLeaving() {
  impl_->leaving = true;
  impl_->SendLoad();
}

}  // namespace anvilridge
