#include "membership/swim_gossip.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/random/random.h"

namespace anvilridge {
namespace {

/// Every update is sent this factor times log10(members + 1) times.
constexpr double kTransmissionFactor = 4;

/// Adds the least-sent updates while the message stays within
/// `swim_config::max_probe_bytes`.
void AddLeastSentUpdates(swim_node& node, absl::Time now,
                         swim_message& message) {
  const int limit = MaxTransmissions(node.table);
  std::vector<member_entry*> candidates;
  for (auto& [name, entry] : node.table.members) {
    if (name != node.table.self && entry.times_sent < limit) {
      candidates.push_back(&entry);
    }
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](auto* a, auto* b) {
    return a->times_sent < b->times_sent;
  });
  size_t bytes = MaxMessageBaseBytes(message);
  for (const member_update& update : message.updates) {
    bytes += MaxUpdateBytes(update);
  }
  for (member_entry* entry : candidates) {
    bytes += MaxUpdateBytes(entry->update);
    if (bytes > node.config.max_probe_bytes) break;
    message.updates.push_back(UpdateToSend(*entry, now));
    ++entry->times_sent;
  }
}

}  // namespace

int MaxTransmissions(const member_table& table) {
  const double members = static_cast<double>(table.members.size());
  return static_cast<int>(
      std::ceil(kTransmissionFactor * std::log10(members + 1)));
}

uint64_t NewSequenceNumber(absl::BitGenRef random) {
  return absl::Uniform<uint64_t>(random, 1, uint64_t{1} << 62);
}

std::vector<std::string> RunningOthers(const member_table& table,
                                       absl::string_view except) {
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

member_update UpdateToSend(const member_entry& entry, absl::Time now) {
  member_update update = entry.update;
  if (!IsRunning(update.state)) {
    update.verdict_age =
        std::max(absl::ZeroDuration(), now - entry.verdict_time);
  }
  return update;
}

void AddReceiverState(swim_node& node, const std::string& address,
                      absl::Time now, swim_message& message) {
  for (const auto& [name, entry] : node.table.members) {
    if (entry.update.peer_address != address || name == node.table.self) {
      continue;
    }
    if (entry.update.state == member_state::alive) continue;
    message.updates.push_back(UpdateToSend(entry, now));
  }
}

void AddSupersedingUpdate(swim_node& node, const swim_message& message,
                          absl::Time now, swim_message& reply) {
  const auto known = node.table.members.find(message.sender.id.daemon);
  if (known == node.table.members.end()) return;
  const member_update& update = known->second.update;
  if (update.id.incarnation <= message.sender.id.incarnation) return;
  reply.updates.push_back(UpdateToSend(known->second, now));
}

swim_send MakeSend(swim_node& node, std::string address, swim_message_kind kind,
                   uint64_t sequence, absl::Time now) {
  swim_send send{std::move(address), {}};
  send.message.kind = kind;
  send.message.sequence = sequence;
  send.message.sender = SelfEntry(node.table).update;
  AddReceiverState(node, send.address, now, send.message);
  AddLeastSentUpdates(node, now, send.message);
  return send;
}

}  // namespace anvilridge
