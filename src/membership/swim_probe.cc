#include "membership/swim_probe.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/swim_gossip.h"
#include "membership/swim_sync.h"

namespace anvilridge {
namespace {

/// Part of the interval that a direct probe may take.
constexpr double kDirectPart = 0.4;
/// Daemons told of this one's end.
constexpr int kEndMessages = 6;

/// Takes the next target in a random order that visits everyone in turn.
std::string NextTarget(swim_node& node, absl::BitGenRef random) {
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

void SuspectSilentTarget(swim_node& node, absl::Time now, swim_result& result) {
  const auto found = node.table.members.find(node.probe.target);
  if (found == node.table.members.end()) return;
  if (found->second.update.state != member_state::alive) return;
  SetState(found->second, member_state::suspect, now);
  result.changed = true;
}

void StartProbe(swim_node& node, absl::Time now, absl::BitGenRef random,
                swim_result& result) {
  node.probe = {NextTarget(node, random), NewSequence(random), now};
  if (node.probe.target.empty()) return;
  result.sends.push_back(MakeSend(node, AddressOf(node, node.probe.target),
                                  swim_kind::ping, node.probe.sequence, now));
}

void AskOthers(swim_node& node, absl::Time now, absl::BitGenRef random,
               swim_result& result) {
  node.probe.asked_others = true;
  const auto target = node.table.members.find(node.probe.target);
  if (target == node.table.members.end()) return;
  const std::string address = target->second.update.peer_address;
  std::vector<std::string> helpers =
      RunningOthers(node.table, node.probe.target);
  std::shuffle(helpers.begin(), helpers.end(), random);
  const size_t count = std::min(
      helpers.size(), static_cast<size_t>(node.config.indirect_probes));
  for (size_t i = 0; i < count; ++i) {
    swim_send send =
        MakeSend(node, AddressOf(node, helpers[i]), swim_kind::ping_request,
                 node.probe.sequence, now);
    send.message.target_address = address;
    result.sends.push_back(std::move(send));
  }
}

void RunProbe(swim_node& node, absl::Time now, absl::BitGenRef random,
              swim_result& result) {
  const absl::Duration age = now - node.probe.started;
  const bool waiting = !node.probe.target.empty();
  if (waiting && !node.probe.asked_others &&
      age >= kDirectPart * node.config.interval && age < node.config.interval) {
    AskOthers(node, now, random, result);
  }
  if (age < node.config.interval) return;
  if (waiting) SuspectSilentTarget(node, now, result);
  StartProbe(node, now, random, result);
}

void JudgeSuspects(swim_node& node, absl::Time now, swim_result& result) {
  const absl::Duration timeout =
      SuspicionTimeout(node.config, CountRunning(node.table));
  for (auto& [name, entry] : node.table.members) {
    if (entry.update.state != member_state::suspect) continue;
    if (now < entry.since + timeout) continue;
    SetState(entry, member_state::dead, now);
    result.changed = true;
  }
}

/// After a pause of this process, silence of the others proves nothing.
void ForgiveOwnPause(swim_node& node, absl::Time now) {
  const absl::Duration gap = now - node.last_tick;
  if (node.last_tick == absl::InfinitePast() || gap <= node.config.interval) {
    return;
  }
  node.probe = {};
  for (auto& [name, entry] : node.table.members) {
    if (entry.update.state == member_state::suspect) entry.since = now;
  }
}

void Merge(swim_node& node, const member_update& update, absl::Time now,
           swim_result& result) {
  if (update.verdict_age >= node.config.verdict_memory) return;
  const merge_result merged = MergeUpdate(node.table, update, now);
  if (merged == merge_result::changed) result.changed = true;
  if (merged == merge_result::self_expired) {
    result.self_expired = true;
    result.seen_incarnation =
        std::max(result.seen_incarnation, update.id.incarnation);
  }
}

void MergeAll(swim_node& node, const swim_message& message, absl::Time now,
              swim_result& result) {
  const bool synced = message.kind == swim_kind::sync_reply;
  for (const member_update& update : message.updates) {
    const bool known = node.table.members.contains(update.id.daemon);
    Merge(node, update, now, result);
    const auto entry = node.table.members.find(update.id.daemon);
    if (!synced || known || entry == node.table.members.end()) continue;
    // The others know what a newcomer reads from them.
    entry->second.times_sent = SpreadLimit(node.table);
  }
  Merge(node, message.sender, now, result);
}

void OnAck(swim_node& node, const swim_message& message, absl::Time now,
           swim_result& result) {
  if (message.sequence == node.probe.sequence) node.probe.target.clear();
  const auto relay = node.relayed.find(message.sequence);
  if (relay == node.relayed.end()) return;
  result.sends.push_back(MakeSend(node, relay->second.origin_address,
                                  swim_kind::ack, relay->second.origin_sequence,
                                  now));
  node.relayed.erase(relay);
}

void OnPingRequest(swim_node& node, const swim_message& message, absl::Time now,
                   absl::BitGenRef random, swim_result& result) {
  constexpr size_t kMaxRelayed = 256;
  if (node.relayed.size() >= kMaxRelayed) return;
  const uint64_t sequence = NewSequence(random);
  node.relayed[sequence] = {message.sender.peer_address, message.sequence,
                            now + node.config.interval};
  result.sends.push_back(
      MakeSend(node, message.target_address, swim_kind::ping, sequence, now));
}

void OnSyncReply(swim_node& node, const swim_message& message, absl::Time now,
                 absl::BitGenRef random, swim_result& result) {
  node.sync_cursor = message.cursor;
  if (message.cursor.empty()) node.joined = true;
  if (node.joined) return;
  result.sends.push_back(
      SyncRequest(node, message.sender.peer_address, now, random));
}

swim_send Ack(swim_node& node, const swim_message& ping, absl::Time now) {
  swim_send send = MakeSend(node, ping.sender.peer_address, swim_kind::ack,
                            ping.sequence, now);
  CorrectSender(node, ping, now, send.message);
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
  ForgiveOwnPause(node, now);
  node.last_tick = now;
  RunProbe(node, now, random, result);
  JudgeSuspects(node, now, result);
  TryContacts(node, now, random, result);
  ReadOthersTable(node, now, random, result);
  std::erase_if(node.relayed,
                [&](const auto& item) { return item.second.expires <= now; });
  ForgetOldVerdicts(node.table, node.config.verdict_memory, now);
  return result;
}

swim_result SwimReceive(swim_node& node, const swim_message& message,
                        absl::Time now, absl::BitGenRef random) {
  swim_result result;
  MergeAll(node, message, now, result);
  switch (message.kind) {
    case swim_kind::ping:
      result.sends.push_back(Ack(node, message, now));
      break;
    case swim_kind::ack:
      OnAck(node, message, now, result);
      break;
    case swim_kind::ping_request:
      OnPingRequest(node, message, now, random, result);
      break;
    case swim_kind::sync_request:
      result.sends.push_back(SyncReply(node, message, now));
      break;
    case swim_kind::sync_reply:
      OnSyncReply(node, message, now, random, result);
      break;
  }
  return result;
}

std::vector<swim_send> SwimEnd(swim_node& node, absl::BitGenRef random) {
  SelfEntry(node.table).update.state = member_state::left;
  std::vector<std::string> others = RunningOthers(node.table);
  std::shuffle(others.begin(), others.end(), random);
  if (others.size() > kEndMessages) others.resize(kEndMessages);
  std::vector<swim_send> sends;
  for (const std::string& name : others) {
    swim_send send{AddressOf(node, name), {}};
    send.message.kind = swim_kind::ack;
    send.message.sender = SelfEntry(node.table).update;
    sends.push_back(std::move(send));
  }
  return sends;
}

}  // namespace anvilridge
