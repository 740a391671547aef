#include "membership/swim_probe.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/random/random.h"

namespace anvilridge {
namespace {

/// Part of the interval that a direct probe may take.
constexpr double kDirectPart = 0.4;
/// Every update is passed on this many times log10 of the members.
constexpr double kSpreadFactor = 4;
/// Daemons told of this one's end.
constexpr int kEndMessages = 6;

int SpreadLimit(const member_table& table) {
  const double members = static_cast<double>(table.members.size());
  return static_cast<int>(std::ceil(kSpreadFactor * std::log10(members + 1)));
}

uint64_t NewSequence(absl::BitGenRef random) {
  return absl::Uniform<uint64_t>(random, 1, uint64_t{1} << 62);
}

/// Returns names of running members other than this one and `except`.
std::vector<std::string> RunningOthers(const member_table& table,
                                       absl::string_view except = "") {
  std::vector<std::string> names;
  for (const auto& [name, entry] : table.members) {
    if (name == table.self || name == except) continue;
    if (IsRunning(entry.update.state)) names.push_back(name);
  }
  return names;
}

const std::string& AddressOf(const swim_node& node, absl::string_view name) {
  return node.table.members.find(name)->second.update.peer_address;
}

member_update ForSending(const member_entry& entry, absl::Time now) {
  member_update update = entry.update;
  if (!IsRunning(update.state)) {
    update.verdict_age =
        std::max(absl::ZeroDuration(), now - entry.verdict_time);
  }
  return update;
}

/// Tells the receiver what is believed of it, so that it can deny a suspicion
/// or learn of a verdict.
void AddVerdictOnReceiver(swim_node& node, const std::string& address,
                          absl::Time now, swim_message& message) {
  for (const auto& [name, entry] : node.table.members) {
    if (entry.update.peer_address != address || name == node.table.self) {
      continue;
    }
    if (entry.update.state == member_state::alive) continue;
    message.updates.push_back(ForSending(entry, now));
  }
}

/// Adds the least-sent updates up to the size of a probe.
void AddNews(swim_node& node, absl::Time now, swim_message& message) {
  const int limit = SpreadLimit(node.table);
  std::vector<member_entry*> news;
  for (auto& [name, entry] : node.table.members) {
    if (name != node.table.self && entry.times_sent < limit) {
      news.push_back(&entry);
    }
  }
  std::stable_sort(news.begin(), news.end(), [](auto* a, auto* b) {
    return a->times_sent < b->times_sent;
  });
  size_t bytes = MessageBaseBytes(message);
  for (const member_update& update : message.updates) {
    bytes += UpdateBytes(update);
  }
  for (member_entry* entry : news) {
    bytes += UpdateBytes(entry->update);
    if (bytes > node.config.probe_bytes) break;
    message.updates.push_back(ForSending(*entry, now));
    ++entry->times_sent;
  }
}

swim_send MakeSend(swim_node& node, std::string address, swim_kind kind,
                   uint64_t sequence, absl::Time now) {
  swim_send send{std::move(address), {}};
  send.message.kind = kind;
  send.message.sequence = sequence;
  send.message.sender = SelfEntry(node.table).update;
  AddVerdictOnReceiver(node, send.address, now, send.message);
  AddNews(node, now, send.message);
  return send;
}

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

swim_send SyncRequest(swim_node& node, const std::string& address,
                      absl::Time now, absl::BitGenRef random) {
  swim_send send{address, {}};
  send.message.kind = swim_kind::sync_request;
  send.message.sequence = NewSequence(random);
  send.message.sender = SelfEntry(node.table).update;
  send.message.cursor = node.sync_cursor;
  AddVerdictOnReceiver(node, address, now, send.message);
  return send;
}

/// Returns addresses at which no running member is known.
std::vector<std::string> SilentContacts(const swim_node& node) {
  std::vector<std::string> silent = node.contacts;
  for (const auto& [name, entry] : node.table.members) {
    if (entry.update.state == member_state::dead) {
      silent.push_back(entry.update.peer_address);
    }
  }
  const auto running = [&](const std::string& address) {
    return std::any_of(node.table.members.begin(), node.table.members.end(),
                       [&](const auto& item) {
                         return item.second.update.peer_address == address &&
                                IsRunning(item.second.update.state);
                       });
  };
  std::erase_if(silent, running);
  return silent;
}

void TryContacts(swim_node& node, absl::Time now, absl::BitGenRef random,
                 swim_result& result) {
  if (now < node.next_contact) return;
  const int intervals = node.joined ? node.config.contact_intervals : 1;
  node.next_contact = now + intervals * node.config.interval;
  const std::vector<std::string> silent = SilentContacts(node);
  if (silent.empty()) return;
  const size_t pick = absl::Uniform<size_t>(random, 0, silent.size());
  result.sends.push_back(SyncRequest(node, silent[pick], now, random));
}

void ReadOthersTable(swim_node& node, absl::Time now, absl::BitGenRef random,
                     swim_result& result) {
  if (now < node.next_sync) return;
  const int intervals = node.joined ? node.config.sync_intervals : 1;
  node.next_sync = now + intervals * node.config.interval;
  const std::vector<std::string> others = RunningOthers(node.table);
  if (others.empty()) return;
  const size_t pick = absl::Uniform<size_t>(random, 0, others.size());
  result.sends.push_back(
      SyncRequest(node, AddressOf(node, others[pick]), now, random));
}

swim_send SyncReply(swim_node& node, const swim_message& request,
                    absl::Time now) {
  swim_send send{request.sender.peer_address, {}};
  send.message.kind = swim_kind::sync_reply;
  send.message.sequence = request.sequence;
  send.message.sender = SelfEntry(node.table).update;
  AddVerdictOnReceiver(node, send.address, now, send.message);
  constexpr size_t kCursorBytes = 64;
  size_t bytes = MessageBaseBytes(send.message) + kCursorBytes;
  for (const member_update& update : send.message.updates) {
    bytes += UpdateBytes(update);
  }
  auto it = node.table.members.upper_bound(request.cursor);
  for (; it != node.table.members.end(); ++it) {
    bytes += UpdateBytes(it->second.update);
    if (bytes > kMaxDatagramBytes) break;
    send.message.updates.push_back(ForSending(it->second, now));
    send.message.cursor = it->first;
  }
  if (it == node.table.members.end()) send.message.cursor.clear();
  return send;
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

/// Tells a sender that speaks for a superseded or dead incarnation so.
void CorrectSender(swim_node& node, const swim_message& message, absl::Time now,
                   swim_message& reply) {
  const auto known = node.table.members.find(message.sender.id.daemon);
  if (known == node.table.members.end()) return;
  const member_update& update = known->second.update;
  if (update.id.incarnation <= message.sender.id.incarnation) return;
  reply.updates.push_back(ForSending(known->second, now));
}

swim_send Ack(swim_node& node, const swim_message& ping, absl::Time now) {
  swim_send send = MakeSend(node, ping.sender.peer_address, swim_kind::ack,
                            ping.sequence, now);
  CorrectSender(node, ping, now, send.message);
  return send;
}

}  // namespace

swim_node MakeSwimNode(const swim_config& config, member_update self,
                       absl::Time now) {
  swim_node node;
  node.config = config;
  node.table = MakeMemberTable(std::move(self), now);
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
