#include "membership/swim_probe.h"

#include <gtest/gtest.h>

#include <iostream>
#include <queue>
#include <random>
#include <set>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kNetworkLatency = absl::Milliseconds(2);
constexpr absl::Duration kStep = absl::Milliseconds(200);
constexpr size_t kUdpIpHeaderBytes = 28;
constexpr absl::string_view kKey = "peer key";

struct datagram_in_flight {
  absl::Time arrives_at;
  uint64_t order = 0;
  std::string to;
  swim_message message;

  bool operator<(const datagram_in_flight& other) const {
    return std::tie(arrives_at, order) >
           std::tie(other.arrives_at, other.order);
  }
};

/// Simulates a network of nodes in virtual time.
class swim_network {
 public:
  explicit swim_network(int count) {
    for (int i = 0; i < count; ++i) Add(Name(i), 1);
  }

  static std::string Name(int i) { return absl::StrCat("entry-vm-", 100 + i); }

  swim_node& Add(const std::string& name, uint64_t incarnation) {
    member_update self;
    self.id = {name, incarnation};
    self.peer_address = absl::StrCat("10.20.30.", name, ":7443");
    self.failure_domain = "zagreb-a";
    swim_node& node = nodes[self.peer_address];
    node = MakeSwimNode({}, self, now);
    node.contacts = {absl::StrCat("10.20.30.", Name(0), ":7443")};
    return node;
  }

  swim_node& Node(int i) {
    return nodes.at(absl::StrCat("10.20.30.", Name(i), ":7443"));
  }

  void RunFor(absl::Duration duration) {
    const absl::Time end = now + duration;
    while (now < end) {
      Deliver(now);
      for (auto& [address, node] : nodes) {
        if (!unreachable.contains(address)) {
          ApplyResult(node, SwimTick(node, now, random));
        }
      }
      now += kStep;
    }
  }

  /// Adds every node to the table of every other, with no updates left to send.
  void IntroduceAll() {
    for (auto& [address, node] : nodes) {
      node.joined = true;
      for (auto& [other_address, other] : nodes) {
        MergeUpdate(node.table, SelfEntry(other.table).update, now);
      }
      for (auto& [name, entry] : node.table.members) entry.times_sent = 1000;
    }
  }

  /// Returns how many other reachable nodes have recorded `name` in `state`.
  int CountObservers(const std::string& name, member_state state) {
    int count = 0;
    for (auto& [address, node] : nodes) {
      if (node.table.self == name || unreachable.contains(address)) continue;
      const auto entry = node.table.members.find(name);
      if (entry == node.table.members.end()) continue;
      count += entry->second.update.state == state;
    }
    return count;
  }

  absl::Time now = absl::FromUnixSeconds(1000);
  std::map<std::string, swim_node> nodes;
  /// Addresses of nodes that neither send nor receive.
  std::set<std::string> unreachable;
  /// Probability that a datagram is lost.
  double loss_probability = 0;
  /// Bytes sent, including UDP and IP headers.
  uint64_t sent_bytes = 0;
  size_t largest_datagram_bytes = 0;
  /// Number of incarnations that have ended.
  int expired_incarnations = 0;
  std::mt19937_64 random{42};

 private:
  void ApplyResult(swim_node& node, const swim_result& result) {
    if (result.self_expired) {
      ++expired_incarnations;
      SetSelfIncarnation(node.table, result.seen_incarnation + 1, now);
    }
    for (const swim_send& send : result.sends) {
      const size_t size = EncodeSwim(send.message, kKey).size();
      largest_datagram_bytes = std::max(largest_datagram_bytes, size);
      sent_bytes += size + kUdpIpHeaderBytes;
      if (std::bernoulli_distribution(loss_probability)(random)) continue;
      in_flight_.push(
          {now + kNetworkLatency, ++order_, send.address, send.message});
    }
  }

  void Deliver(absl::Time delivery_time) {
    while (!in_flight_.empty() &&
           in_flight_.top().arrives_at <= delivery_time + kStep) {
      const datagram_in_flight next = in_flight_.top();
      in_flight_.pop();
      const auto node = nodes.find(next.to);
      if (node == nodes.end() || unreachable.contains(next.to)) continue;
      ApplyResult(node->second, SwimReceive(node->second, next.message,
                                            next.arrives_at, random));
    }
  }

  std::priority_queue<datagram_in_flight> in_flight_;
  uint64_t order_ = 0;
};

bool EveryNodeListsAllNodes(swim_network& network) {
  for (auto& [address, node] : network.nodes) {
    if (CountRunning(node.table) != static_cast<int>(network.nodes.size())) {
      return false;
    }
  }
  return true;
}

TEST(swim_probe, TrafficPerDaemonStaysBoundedAt370Members) {
  constexpr int kMembers = 370;
  constexpr double kMaxBytesPerSecond = 1500;
  constexpr int kSeconds = 25;
  swim_network network(kMembers);
  network.IntroduceAll();
  network.sent_bytes = 0;
  network.RunFor(absl::Seconds(kSeconds));
  // The factor 2 counts every byte at its sender and at its receiver.
  const double steady_bytes_per_second =
      2.0 * static_cast<double>(network.sent_bytes) / kMembers / kSeconds;
  network.unreachable.insert(network.Node(7)
                                 .table.members.find(swim_network::Name(7))
                                 ->second.update.peer_address);
  network.sent_bytes = 0;
  network.RunFor(absl::Seconds(kSeconds));
  const double failure_bytes_per_second =
      2.0 * static_cast<double>(network.sent_bytes) / kMembers / kSeconds;
  std::cout
      << "bytes/s per daemon, sent and received, including UDP and IP headers: "
      << steady_bytes_per_second << " steady, " << failure_bytes_per_second
      << " while one of 370 dies; largest datagram "
      << network.largest_datagram_bytes << "\n";
  EXPECT_LT(steady_bytes_per_second, kMaxBytesPerSecond);
  EXPECT_LT(failure_bytes_per_second, kMaxBytesPerSecond);
  EXPECT_LE(network.largest_datagram_bytes, kMaxDatagramBytes);
  EXPECT_EQ(network.CountObservers(swim_network::Name(7), member_state::dead),
            kMembers - 1);
  EXPECT_EQ(network.expired_incarnations, 0);
}

TEST(swim_probe, NewMemberAnd370MembersListEachOtherWithinSeconds) {
  constexpr int kMembers = 370;
  swim_network network(kMembers);
  network.IntroduceAll();
  network.RunFor(absl::Seconds(2));
  const std::string name = swim_network::Name(kMembers);
  swim_node& new_member = network.Add(name, 1);
  network.RunFor(absl::Seconds(15));
  EXPECT_EQ(CountRunning(new_member.table), kMembers + 1);
  EXPECT_EQ(network.CountObservers(name, member_state::alive), kMembers);
}

TEST(swim_probe, DetectsDeathAmongFourDespitePacketLoss) {
  swim_network network(4);
  network.loss_probability = 0.1;
  network.RunFor(absl::Seconds(20));
  ASSERT_TRUE(EveryNodeListsAllNodes(network));
  EXPECT_EQ(network.expired_incarnations, 0);
  const std::string victim = swim_network::Name(3);
  network.unreachable.insert(
      SelfEntry(network.Node(3).table).update.peer_address);
  network.RunFor(absl::Seconds(12));
  EXPECT_EQ(network.CountObservers(victim, member_state::dead), 3);
  EXPECT_EQ(network.CountObservers(swim_network::Name(0), member_state::alive),
            2);
}

TEST(swim_probe, FalseSuspicionIsRefutedWithoutANewIncarnation) {
  swim_network network(8);
  network.RunFor(absl::Seconds(10));
  member_entry& entry =
      network.Node(1).table.members.find(swim_network::Name(2))->second;
  entry.update.state = member_state::suspect;
  entry.since = network.now;
  entry.times_sent = 0;
  network.RunFor(absl::Seconds(10));
  EXPECT_EQ(network.CountObservers(swim_network::Name(2), member_state::alive),
            7);
  const member_update& self = SelfEntry(network.Node(2).table).update;
  EXPECT_EQ(self.id.incarnation, 1u);
  EXPECT_GT(self.refutation, 0u);
  EXPECT_EQ(network.expired_incarnations, 0);
}

TEST(swim_probe, ResumedDaemonRejoinsWithAHigherIncarnation) {
  swim_network network(5);
  network.RunFor(absl::Seconds(10));
  const std::string address =
      SelfEntry(network.Node(4).table).update.peer_address;
  network.unreachable.insert(address);
  network.RunFor(absl::Seconds(20));
  ASSERT_EQ(network.CountObservers(swim_network::Name(4), member_state::dead),
            4);
  network.unreachable.erase(address);
  network.RunFor(absl::Seconds(15));
  EXPECT_EQ(network.expired_incarnations, 1);
  EXPECT_EQ(SelfEntry(network.Node(4).table).update.id.incarnation, 2u);
  EXPECT_EQ(network.CountObservers(swim_network::Name(4), member_state::alive),
            4);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(
        network.CountObservers(swim_network::Name(i), member_state::alive), 4)
        << "the resumed daemon must not suspect the others";
  }
}

TEST(swim_probe, PartitionedHalvesMergeAgain) {
  swim_network network(6);
  network.RunFor(absl::Seconds(10));
  for (int i = 0; i < 3; ++i) {
    network.unreachable.insert(
        SelfEntry(network.Node(i).table).update.peer_address);
  }
  network.RunFor(absl::Seconds(30));
  network.unreachable.clear();
  network.RunFor(absl::Seconds(30));
  EXPECT_TRUE(EveryNodeListsAllNodes(network));
}

TEST(swim_probe, RestartSupersedesTheEarlierIncarnation) {
  swim_network network(4);
  network.RunFor(absl::Seconds(10));
  network.Add(swim_network::Name(2), 50);
  network.RunFor(absl::Seconds(10));
  for (int i : {0, 1, 3}) {
    const auto entry =
        network.Node(i).table.members.find(swim_network::Name(2));
    EXPECT_EQ(entry->second.update.id.incarnation, 50u);
  }
  EXPECT_TRUE(EveryNodeListsAllNodes(network));
}

TEST(swim_message, RejectsMalformedAndUnauthenticatedDatagrams) {
  swim_message message;
  message.sender.id = {"a", 7};
  message.sequence = 9;
  message.updates.push_back(message.sender);
  const QByteArray valid = EncodeSwim(message, kKey);
  ASSERT_TRUE(DecodeSwim(valid, kKey).ok());
  EXPECT_EQ(DecodeSwim(valid, kKey)->updates[0].id, message.sender.id);
  EXPECT_FALSE(DecodeSwim(valid, "other key").ok());
  for (int i = 0; i < valid.size(); ++i) {
    QByteArray bit_flipped = valid;
    bit_flipped[i] = static_cast<char>(bit_flipped[i] ^ 1);
    EXPECT_FALSE(DecodeSwim(bit_flipped, kKey).ok()) << "byte " << i;
    EXPECT_FALSE(DecodeSwim(valid.left(i), kKey).ok()) << "cut at " << i;
  }
  message.sender.id.daemon = "not a safe name";
  EXPECT_FALSE(DecodeSwim(EncodeSwim(message, kKey), kKey).ok());
}

}  // namespace
}  // namespace anvilridge
