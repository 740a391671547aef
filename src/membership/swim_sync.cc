#include "membership/swim_sync.h"

#include <algorithm>
#include <utility>

#include "absl/random/random.h"
#include "membership/swim_gossip.h"

namespace anvilridge {
namespace {

/// Returns the contacts, and the addresses of dead members, at which no running
/// member is recorded.
std::vector<std::string> UnreachedAddresses(const swim_node& node) {
  std::vector<std::string> unreached = node.contacts;
  for (const auto& [name, entry] : node.table.members) {
    if (entry.update.state == member_state::dead) {
      unreached.push_back(entry.update.peer_address);
    }
  }
  const auto has_running_member = [&](const std::string& address) {
    return std::any_of(node.table.members.begin(), node.table.members.end(),
                       [&](const auto& item) {
                         return item.second.update.peer_address == address &&
                                IsRunning(item.second.update.state);
                       });
  };
  std::erase_if(unreached, has_running_member);
  return unreached;
}

}  // namespace

swim_send MakeSyncRequest(swim_node& node, const std::string& address,
                          absl::Time now, absl::BitGenRef random) {
  swim_send send{address, {}};
  send.message.kind = swim_message_kind::sync_request;
  send.message.sequence = NewSequenceNumber(random);
  send.message.sender = SelfEntry(node.table).update;
  send.message.cursor = node.sync_cursor;
  AddReceiverState(node, address, now, send.message);
  return send;
}

void ContactUnreachedAddress(swim_node& node, absl::Time now,
                             absl::BitGenRef random, swim_result& result) {
  if (now < node.next_contact) return;
  const int intervals = node.joined ? node.config.contact_intervals : 1;
  node.next_contact = now + intervals * node.config.interval;
  const std::vector<std::string> unreached = UnreachedAddresses(node);
  if (unreached.empty()) return;
  const size_t pick = absl::Uniform<size_t>(random, 0, unreached.size());
  result.sends.push_back(MakeSyncRequest(node, unreached[pick], now, random));
}

void SyncWithRandomMember(swim_node& node, absl::Time now,
                          absl::BitGenRef random, swim_result& result) {
  if (now < node.next_sync) return;
  const int intervals = node.joined ? node.config.sync_intervals : 1;
  node.next_sync = now + intervals * node.config.interval;
  const std::vector<std::string> others = RunningOthers(node.table);
  if (others.empty()) return;
  const size_t pick = absl::Uniform<size_t>(random, 0, others.size());
  result.sends.push_back(
      MakeSyncRequest(node, AddressOf(node, others[pick]), now, random));
}

swim_send MakeSyncReply(swim_node& node, const swim_message& request,
                        absl::Time now) {
  swim_send send{request.sender.peer_address, {}};
  send.message.kind = swim_message_kind::sync_reply;
  send.message.sequence = request.sequence;
  send.message.sender = SelfEntry(node.table).update;
  AddReceiverState(node, send.address, now, send.message);
  constexpr size_t kCursorBytes = 64;
  size_t bytes = MaxMessageBaseBytes(send.message) + kCursorBytes;
  for (const member_update& update : send.message.updates) {
    bytes += MaxUpdateBytes(update);
  }
  auto it = node.table.members.upper_bound(request.cursor);
  for (; it != node.table.members.end(); ++it) {
    bytes += MaxUpdateBytes(it->second.update);
    if (bytes > kMaxDatagramBytes) break;
    send.message.updates.push_back(UpdateToSend(it->second, now));
    send.message.cursor = it->first;
  }
  if (it == node.table.members.end()) send.message.cursor.clear();
  return send;
}

}  // namespace anvilridge
