#include "membership/swim_probe.h"

#include <gtest/gtest.h>

#include <iostream>
#include <queue>
#include <random>
#include <set>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kLatency = absl::Milliseconds(2);
constexpr absl::Duration kStep = absl::Milliseconds(200);
constexpr size_t kUdpIpHeaderBytes = 28;
constexpr absl::string_view kKey = "peer key";

struct in_flight {
  absl::Time arrives;
  uint64_t order = 0;
  std::string to;
  swim_message message;

  bool operator<(const in_flight& other) const {
    return std::tie(arrives, order) > std::tie(other.arrives, other.order);
  }
};

/// A network of nodes under virtual time.
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
        if (!silent.contains(address)) {
          Take(node, SwimTick(node, now, random));
        }
      }
      now += kStep;
    }
  }

  /// Makes every node know every other, as after a long common run.
  void IntroduceAll() {
    for (auto& [address, node] : nodes) {
      node.joined = true;
      for (auto& [other_address, other] : nodes) {
        MergeUpdate(node.table, SelfEntry(other.table).update, now);
      }
      for (auto& [name, entry] : node.table.members) entry.times_sent = 1000;
    }
  }

  /// Number of other running nodes that see `name` in `state`.
  int Seen(const std::string& name, member_state state) {
    int count = 0;
    for (auto& [address, node] : nodes) {
      if (node.table.self == name || silent.contains(address)) continue;
      const auto entry = node.table.members.find(name);
      if (entry == node.table.members.end()) continue;
      count += entry->second.update.state == state;
    }
    return count;
  }

  absl::Time now = absl::FromUnixSeconds(1000);
  std::map<std::string, swim_node> nodes;
  /// Addresses that neither send nor receive.
  std::set<std::string> silent;
  double loss = 0;
  uint64_t bytes = 0;
  size_t largest = 0;
  int expired = 0;
  std::mt19937_64 random{42};

 private:
  void Take(swim_node& node, const swim_result& result) {
    if (result.self_expired) {
      ++expired;
      TakeIncarnation(node.table, result.seen_incarnation + 1, now);
    }
    for (const swim_send& send : result.sends) {
      const size_t size = EncodeSwim(send.message, kKey).size();
      largest = std::max(largest, size);
      bytes += size + kUdpIpHeaderBytes;
      if (std::bernoulli_distribution(loss)(random)) continue;
      flight_.push({now + kLatency, ++order_, send.address, send.message});
    }
  }

  void Deliver(absl::Time until) {
    while (!flight_.empty() && flight_.top().arrives <= until + kStep) {
      const in_flight next = flight_.top();
      flight_.pop();
      const auto node = nodes.find(next.to);
      if (node == nodes.end() || silent.contains(next.to)) continue;
      Take(node->second,
           SwimReceive(node->second, next.message, next.arrives, random));
    }
  }

  std::priority_queue<in_flight> flight_;
  uint64_t order_ = 0;
};

bool EveryoneKnowsEveryone(swim_network& network) {
  for (auto& [address, node] : network.nodes) {
    if (CountRunning(node.table) != static_cast<int>(network.nodes.size())) {
      return false;
    }
  }
  return true;
}

TEST(swim_probe, CostADaemonStaysBoundedAt370Members) {
  constexpr int kMembers = 370;
  constexpr double kMaxBytesPerSecond = 1500;
  constexpr int kSeconds = 25;
  swim_network network(kMembers);
  network.IntroduceAll();
  network.bytes = 0;
  network.RunFor(absl::Seconds(kSeconds));
  // Every byte is sent by one daemon and received by another.
  const double steady =
      2.0 * static_cast<double>(network.bytes) / kMembers / kSeconds;
  network.silent.insert(network.Node(7)
                            .table.members.find(swim_network::Name(7))
                            ->second.update.peer_address);
  network.bytes = 0;
  network.RunFor(absl::Seconds(kSeconds));
  const double with_loss =
      2.0 * static_cast<double>(network.bytes) / kMembers / kSeconds;
  std::cout << "bytes/s a daemon, sent and received, UDP and IP included: "
            << steady << " steady, " << with_loss
            << " while one of 370 dies; largest datagram " << network.largest
            << "\n";
  EXPECT_LT(steady, kMaxBytesPerSecond);
  EXPECT_LT(with_loss, kMaxBytesPerSecond);
  EXPECT_LE(network.largest, kMaxDatagramBytes);
  EXPECT_EQ(network.Seen(swim_network::Name(7), member_state::dead),
            kMembers - 1);
  EXPECT_EQ(network.expired, 0);
}

TEST(swim_probe, NewcomerKnows370MembersAndIsKnownWithinSeconds) {
  constexpr int kMembers = 370;
  swim_network network(kMembers);
  network.IntroduceAll();
  network.RunFor(absl::Seconds(2));
  const std::string name = swim_network::Name(kMembers);
  swim_node& newcomer = network.Add(name, 1);
  network.RunFor(absl::Seconds(15));
  EXPECT_EQ(CountRunning(newcomer.table), kMembers + 1);
  EXPECT_EQ(network.Seen(name, member_state::alive), kMembers);
}

TEST(swim_probe, DetectsDeathAmongFourDespiteLoss) {
  swim_network network(4);
  network.loss = 0.1;
  network.RunFor(absl::Seconds(20));
  ASSERT_TRUE(EveryoneKnowsEveryone(network));
  EXPECT_EQ(network.expired, 0);
  const std::string victim = swim_network::Name(3);
  network.silent.insert(SelfEntry(network.Node(3).table).update.peer_address);
  network.RunFor(absl::Seconds(12));
  EXPECT_EQ(network.Seen(victim, member_state::dead), 3);
  EXPECT_EQ(network.Seen(swim_network::Name(0), member_state::alive), 2);
}

TEST(swim_probe, WrongSuspicionIsDeniedWithoutANewIncarnation) {
  swim_network network(8);
  network.RunFor(absl::Seconds(10));
  member_entry& entry =
      network.Node(1).table.members.find(swim_network::Name(2))->second;
  entry.update.state = member_state::suspect;
  entry.since = network.now;
  entry.times_sent = 0;
  network.RunFor(absl::Seconds(10));
  EXPECT_EQ(network.Seen(swim_network::Name(2), member_state::alive), 7);
  const member_update& self = SelfEntry(network.Node(2).table).update;
  EXPECT_EQ(self.id.incarnation, 1u);
  EXPECT_GT(self.refutation, 0u);
  EXPECT_EQ(network.expired, 0);
}

TEST(swim_probe, ThawedDaemonLearnsItsVerdictAndComesBackHigher) {
  swim_network network(5);
  network.RunFor(absl::Seconds(10));
  const std::string address =
      SelfEntry(network.Node(4).table).update.peer_address;
  network.silent.insert(address);
  network.RunFor(absl::Seconds(20));
  ASSERT_EQ(network.Seen(swim_network::Name(4), member_state::dead), 4);
  network.silent.erase(address);
  network.RunFor(absl::Seconds(15));
  EXPECT_EQ(network.expired, 1);
  EXPECT_EQ(SelfEntry(network.Node(4).table).update.id.incarnation, 2u);
  EXPECT_EQ(network.Seen(swim_network::Name(4), member_state::alive), 4);
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(network.Seen(swim_network::Name(i), member_state::alive), 4)
        << "the thawed daemon must not blame the others";
  }
}

TEST(swim_probe, HalvesFindEachOtherAgain) {
  swim_network network(6);
  network.RunFor(absl::Seconds(10));
  for (int i = 0; i < 3; ++i) {
    network.silent.insert(SelfEntry(network.Node(i).table).update.peer_address);
  }
  network.RunFor(absl::Seconds(30));
  network.silent.clear();
  network.RunFor(absl::Seconds(30));
  EXPECT_TRUE(EveryoneKnowsEveryone(network));
}

TEST(swim_probe, RestartOutranksTheEarlierRun) {
  swim_network network(4);
  network.RunFor(absl::Seconds(10));
  network.Add(swim_network::Name(2), 50);
  network.RunFor(absl::Seconds(10));
  for (int i : {0, 1, 3}) {
    const auto entry =
        network.Node(i).table.members.find(swim_network::Name(2));
    EXPECT_EQ(entry->second.update.id.incarnation, 50u);
  }
  EXPECT_TRUE(EveryoneKnowsEveryone(network));
}

TEST(swim_message, RefusesWhatIsMalformedOrNotAuthenticated) {
  swim_message message;
  message.sender.id = {"a", 7};
  message.sequence = 9;
  message.updates.push_back(message.sender);
  const QByteArray good = EncodeSwim(message, kKey);
  ASSERT_TRUE(DecodeSwim(good, kKey).ok());
  EXPECT_EQ(DecodeSwim(good, kKey)->updates[0].id, message.sender.id);
  EXPECT_FALSE(DecodeSwim(good, "other key").ok());
  for (int i = 0; i < good.size(); ++i) {
    QByteArray flipped = good;
    flipped[i] = static_cast<char>(flipped[i] ^ 1);
    EXPECT_FALSE(DecodeSwim(flipped, kKey).ok()) << "byte " << i;
    EXPECT_FALSE(DecodeSwim(good.left(i), kKey).ok()) << "cut at " << i;
  }
  message.sender.id.daemon = "not a safe name";
  EXPECT_FALSE(DecodeSwim(EncodeSwim(message, kKey), kKey).ok());
}

}  // namespace
}  // namespace anvilridge
