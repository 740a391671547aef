#include "membership/swim_sync.h"

#include <algorithm>
#include <utility>

#include "absl/random/random.h"
#include "membership/swim_gossip.h"

namespace anvilridge {
namespace {

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

}  // namespace

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

}  // namespace anvilridge
