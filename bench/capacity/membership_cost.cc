// Cost of membership in virtual time: membership_cost MEMBERS OFFSET_CHANGES
// where OFFSET_CHANGES configuration changes come into force over the run.
#include <map>
#include <queue>
#include <random>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "bench_meter.h"
#include "membership/swim_message.h"
#include "membership/swim_probe.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kLatency = absl::Milliseconds(2);
constexpr absl::Duration kStep = absl::Milliseconds(200);
constexpr int kSeconds = 20;
constexpr size_t kUdpIpHeaderBytes = 28;
constexpr absl::string_view kKey = "peer key";

struct in_flight {
  absl::Time arrives;
  uint64_t order = 0;
  std::string to;
  QByteArray bytes;

  bool operator<(const in_flight& other) const {
    return std::tie(arrives, order) > std::tie(other.arrives, other.order);
  }
};

class network {
 public:
  explicit network(int members) {
    for (int i = 0; i < members; ++i) {
      member_update self;
      self.id = {absl::StrCat("entry-vm-", 100 + i), 1'800'000'000'000'000};
      self.peer_address =
          absl::StrCat("10.20.", i / 250, ".", i % 250, ":7443");
      self.failure_domain = "zagreb-a";
      nodes_[self.peer_address] = MakeSwimNode({}, self, now_);
    }
    for (auto& [address, node] : nodes_) {
      node.joined = true;
      for (auto& [other_address, other] : nodes_) {
        MergeUpdate(node.table, SelfEntry(other.table).update, now_);
      }
      for (auto& [name, entry] : node.table.members) entry.times_sent = 1000;
    }
  }

  void RunFor(absl::Duration duration, int offset_changes) {
    const absl::Time start = now_;
    int made = 0;
    while (now_ < start + duration) {
      while (made < offset_changes &&
             now_ - start >= duration * made / offset_changes) {
        ++made;
        for (auto& [address, node] : nodes_) {
          member_entry& self = SelfEntry(node.table);
          self.update.config_offset = made;
          self.times_sent = 0;
        }
      }
      Deliver(now_);
      for (auto& [address, node] : nodes_) {
        Take(SwimTick(node, now_, random_));
      }
      now_ += kStep;
    }
  }

  uint64_t bytes = 0;
  uint64_t datagrams = 0;
  uint64_t notified = 0;

 private:
  void Take(const swim_result& result) {
    notified += result.changed ? 1 : 0;
    for (const swim_send& send : result.sends) {
      const QByteArray encoded = EncodeSwim(send.message, kKey);
      bytes += encoded.size() + kUdpIpHeaderBytes;
      ++datagrams;
      flight_.push({now_ + kLatency, ++order_, send.address, encoded});
    }
  }

  void Deliver(absl::Time until) {
    while (!flight_.empty() && flight_.top().arrives <= until + kStep) {
      const in_flight next = flight_.top();
      flight_.pop();
      const auto node = nodes_.find(next.to);
      const auto message = DecodeSwim(next.bytes, kKey);
      if (node == nodes_.end() || !message.ok()) continue;
      Take(SwimReceive(node->second, *message, next.arrives, random_));
    }
  }

  absl::Time now_ = absl::FromUnixSeconds(1'800'000'000);
  std::map<std::string, swim_node> nodes_;
  std::priority_queue<in_flight> flight_;
  uint64_t order_ = 0;
  std::mt19937_64 random_{42};
};

int Run(int members, int offset_changes) {
  const double heap = HeapBytes();
  network all(members);
  const double table = (HeapBytes() - heap) / members;
  all.RunFor(absl::Seconds(2), 0);
  all.bytes = all.datagrams = all.notified = 0;
  const double cpu = CpuMicroseconds();
  all.RunFor(absl::Seconds(kSeconds), offset_changes);
  const double used = CpuMicroseconds() - cpu;
  const double runs = static_cast<double>(members) * kSeconds;
  // Every byte is sent by one daemon and received by another.
  PrintLine(
      {{"bench", "membership_cost"},
       {"members", members},
       {"offset_changes_per_s", static_cast<double>(offset_changes) / kSeconds},
       {"bytes_per_s_sent_and_received",
        2 * static_cast<double>(all.bytes) / runs},
       {"datagrams_sent_per_s", static_cast<double>(all.datagrams) / runs},
       {"change_notices_per_s", static_cast<double>(all.notified) / runs},
       {"cpu_us_per_s", used / runs},
       {"table_heap_bytes", table}});
  return all.datagrams > 0 ? 0 : 1;
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  using anvilridge::SizeArgument;
  return anvilridge::Run(SizeArgument(argc, argv, 1, 370),
                         SizeArgument(argc, argv, 2, 0));
}
