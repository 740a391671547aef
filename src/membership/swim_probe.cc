#include "membership/swim_probe.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/swim_gossip.h"
#include "membership/swim_sync.h"

namespace anvilridge {
namespace {

/// Fraction of the probe interval after which a direct ping without an ack is
/// followed by indirect pings.
constexpr double kDirectPingFraction = 0.4;
/// Largest number of members that are notified when this daemon leaves.
constexpr int kMaxLeaveMessages = 6;

/// Removes and returns the name of the next member to probe. Every round visits
/// all other running members once, in random order. Returns "" if there are
/// none.
std::string TakeNextTarget(swim_node& node, absl::BitGenRef random) {
  for (int pass = 0; pass < 2; ++pass) {
    while (!node.probe_order.empty()) {
      std::string name = std::move(node.probe_order.back());
      node.probe_order.pop_back();
      const auto found = node.table.members.find(name);
      if (found == node.table.members.end()) continue;
      if (IsRunning(found->second.update.state)) return name;
    }
    node.probe_order = RunningOthers(node.table);
    std::shuffle(node.probe_order.begin(), node.probe_order.end(), random);
  }
  return "";
}

void SetState(member_entry& entry, member_state state, absl::Time now) {
  entry.update.state = state;
  entry.update.verdict_age = absl::ZeroDuration();
  entry.since = now;
  entry.times_sent = 0;
  if (!IsRunning(state)) entry.verdict_time = now;
}

void SuspectUnresponsiveTarget(swim_node& node, absl::Time now,
                               swim_result& result) {
  const auto found = node.table.members.find(node.probe.target);
  if (found == node.table.members.end()) return;
  if (found->second.update.state != member_state::alive) return;
  SetState(found->second, member_state::suspect, now);
  result.changed = true;
}

void StartProbe(swim_node& node, absl::Time now, absl::BitGenRef random,
                swim_result& result) {
  node.probe = {TakeNextTarget(node, random), NewSequenceNumber(random), now};
  if (node.probe.target.empty()) return;
  result.sends.push_back(MakeSend(node, AddressOf(node, node.probe.target),
                                  swim_message_kind::ping, node.probe.sequence,
                                  now));
}

/// Requests indirect pings of the target from random other members.
void SendPingRequests(swim_node& node, absl::Time now, absl::BitGenRef random,
                      swim_result& result) {
  node.probe.ping_requests_sent = true;
  const auto target = node.table.members.find(node.probe.target);
  if (target == node.table.members.end()) return;
  const std::string address = target->second.update.peer_address;
  std::vector<std::string> relays =
      RunningOthers(node.table, node.probe.target);
  std::shuffle(relays.begin(), relays.end(), random);
  const size_t count =
      std::min(relays.size(), static_cast<size_t>(node.config.indirect_pings));
  for (size_t i = 0; i < count; ++i) {
    swim_send send =
        MakeSend(node, AddressOf(node, relays[i]),
                 swim_message_kind::ping_request, node.probe.sequence, now);
    send.message.target_address = address;
    result.sends.push_back(std::move(send));
  }
}

/// Sends the ping requests of the current probe when they are due. At the end
/// of the interval, suspects an unresponsive target and starts the next probe.
void AdvanceProbe(swim_node& node, absl::Time now, absl::BitGenRef random,
                  swim_result& result) {
  const absl::Duration age = now - node.probe.started;
  const bool waiting = !node.probe.target.empty();
  if (waiting && !node.probe.ping_requests_sent &&
      age >= kDirectPingFraction * node.config.interval &&
      age < node.config.interval) {
    SendPingRequests(node, now, random, result);
  }
  if (age < node.config.interval) return;
  if (waiting) SuspectUnresponsiveTarget(node, now, result);
  StartProbe(node, now, random, result);
}

/// Declares suspects dead that have not refuted within `SuspicionTimeout`.
void DeclareDeadAfterTimeout(swim_node& node, absl::Time now,
                             swim_result& result) {
  const absl::Duration timeout =
      SuspicionTimeout(node.config, CountRunning(node.table));
  for (auto& [name, entry] : node.table.members) {
    if (entry.update.state != member_state::suspect) continue;
    if (now < entry.since + timeout) continue;
    SetState(entry, member_state::dead, now);
    result.changed = true;
  }
}

/// Drops the current probe and restarts the suspicion timeouts after this
/// process was paused for more than an interval, as it could not receive acks
/// and refutations meanwhile.
void RestartTimersAfterPause(swim_node& node, absl::Time now) {
  const absl::Duration gap = now - node.last_tick;
  if (node.last_tick == absl::InfinitePast() || gap <= node.config.interval) {
    return;
  }
  node.probe = {};
  for (auto& [name, entry] : node.table.members) {
    if (entry.update.state == member_state::suspect) entry.since = now;
  }
}

void MergeOneUpdate(swim_node& node, const member_update& update,
                    absl::Time now, swim_result& result) {
  if (update.verdict_age >= node.config.verdict_retention) return;
  const merge_result merged = MergeUpdate(node.table, update, now);
  if (merged == merge_result::changed) result.changed = true;
  if (merged == merge_result::self_expired) {
    result.self_expired = true;
    result.seen_incarnation =
        std::max(result.seen_incarnation, update.id.incarnation);
  }
}

void MergeUpdates(swim_node& node, const swim_message& message, absl::Time now,
                  swim_result& result) {
  const bool is_sync_reply = message.kind == swim_message_kind::sync_reply;
  for (const member_update& update : message.updates) {
    const bool known = node.table.members.contains(update.id.daemon);
    MergeOneUpdate(node, update, now, result);
    const auto entry = node.table.members.find(update.id.daemon);
    if (!is_sync_reply || known || entry == node.table.members.end()) continue;
    // A member received by table sync is already listed by other members, so
    // its update is not passed on.
    entry->second.times_sent = MaxTransmissions(node.table);
  }
  MergeOneUpdate(node, message.sender, now, result);
}

void OnAck(swim_node& node, const swim_message& message, absl::Time now,
           swim_result& result) {
  if (message.sequence == node.probe.sequence) node.probe.target.clear();
  const auto relay = node.relayed_pings.find(message.sequence);
  if (relay == node.relayed_pings.end()) return;
  result.sends.push_back(MakeSend(node, relay->second.origin_address,
                                  swim_message_kind::ack,
                                  relay->second.origin_sequence, now));
  node.relayed_pings.erase(relay);
}

void OnPingRequest(swim_node& node, const swim_message& message, absl::Time now,
                   absl::BitGenRef random, swim_result& result) {
  constexpr size_t kMaxRelayedPings = 256;
  if (node.relayed_pings.size() >= kMaxRelayedPings) return;
  const uint64_t sequence = NewSequenceNumber(random);
  node.relayed_pings[sequence] = {message.sender.peer_address, message.sequence,
                                  now + node.config.interval};
  result.sends.push_back(MakeSend(node, message.target_address,
                                  swim_message_kind::ping, sequence, now));
}

void OnSyncReply(swim_node& node, const swim_message& message, absl::Time now,
                 absl::BitGenRef random, swim_result& result) {
  node.sync_cursor = message.cursor;
  if (message.cursor.empty()) node.joined = true;
  if (node.joined) return;
  result.sends.push_back(
      MakeSyncRequest(node, message.sender.peer_address, now, random));
}

swim_send MakeAck(swim_node& node, const swim_message& ping, absl::Time now) {
  swim_send send = MakeSend(node, ping.sender.peer_address,
                            swim_message_kind::ack, ping.sequence, now);
  AddSupersedingUpdate(node, ping, now, send.message);
  return send;
}

}  // namespace

swim_node MakeSwimNode(const swim_config& config, const member_update& self,
                       absl::Time now) {
  swim_node node;
  node.config = config;
  node.table = MakeMemberTable(self, now);
  return node;
}

absl::Duration SuspicionTimeout(const swim_config& config, int members) {
  const double scale = std::max(1.0, std::log10(std::max(1, members)));
  return config.suspicion_intervals * scale * config.interval;
}

swim_result SwimTick(swim_node& node, absl::Time now, absl::BitGenRef random) {
  swim_result result;
  RestartTimersAfterPause(node, now);
  node.last_tick = now;
  AdvanceProbe(node, now, random, result);
  DeclareDeadAfterTimeout(node, now, result);
  ContactUnreachedAddress(node, now, random, result);
  SyncWithRandomMember(node, now, random, result);
  std::erase_if(node.relayed_pings,
                [&](const auto& item) { return item.second.expires <= now; });
  RemoveOldVerdicts(node.table, node.config.verdict_retention, now);
  return result;
}

swim_result SwimReceive(swim_node& node, const swim_message& message,
                        absl::Time now, absl::BitGenRef random) {
  swim_result result;
  MergeUpdates(node, message, now, result);
  switch (message.kind) {
    case swim_message_kind::ping:
      result.sends.push_back(MakeAck(node, message, now));
      break;
    case swim_message_kind::ack:
      OnAck(node, message, now, result);
      break;
    case swim_message_kind::ping_request:
      OnPingRequest(node, message, now, random, result);
      break;
    case swim_message_kind::sync_request:
      result.sends.push_back(MakeSyncReply(node, message, now));
      break;
    case swim_message_kind::sync_reply:
      OnSyncReply(node, message, now, random, result);
      break;
  }
  return result;
}

std::vector<swim_send> MakeLeaveMessages(swim_node& node,
                                         absl::BitGenRef random) {
  SelfEntry(node.table).update.state = member_state::left;
  std::vector<std::string> others = RunningOthers(node.table);
  std::shuffle(others.begin(), others.end(), random);
  if (others.size() > kMaxLeaveMessages) others.resize(kMaxLeaveMessages);
  std::vector<swim_send> sends;
  for (const std::string& name : others) {
    swim_send send{AddressOf(node, name), {}};
    send.message.kind = swim_message_kind::ack;
    send.message.sender = SelfEntry(node.table).update;
    sends.push_back(std::move(send));
  }
  return sends;
}

}  // namespace anvilridge
