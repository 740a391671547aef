#include "sharing/load_exchange.h"

#include <QHostAddress>
#include <QUdpSocket>
#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/testing/run_loop.h"
#include "dispatch/engine_cell.h"
#include "gtest/gtest.h"
#include "sharing/store_readers.h"

namespace anvilridge {
namespace {

uint16_t FreePort() {
  QUdpSocket socket;
  socket.bind(QHostAddress::LocalHost);
  return socket.localPort();
}

// A daemon's load exchange with the loads and the count that it receives.
struct test_daemon {
  explicit test_daemon(endpoint listen = {"127.0.0.1", FreePort()})
      : address(std::move(listen)), exchange(MakeHandler()) {
    EXPECT_TRUE(exchange.Listen(address).ok());
  }

  load_exchange_handler MakeHandler() {
    load_exchange_handler handler;
    handler.own_load = [this] { return current_load; };
    handler.on_load = [this](absl::string_view peer, daemon_load load) {
      received[std::string(peer)] = std::move(load);
    };
    handler.on_daemon_count = [this](int count) { daemon_count = count; };
    handler.on_group_knowledge = [this](const group_knowledge& next) {
      knowledge = next;
    };
    handler.on_store_reader = [this](bool reader) { is_reader = reader; };
    handler.on_store_report = [this](const store_report& report) {
      reported_next.push_back(report.upstreams.next);
    };
    handler.evidence = [this] { return evidence; };
    handler.on_evidence = [this](const staged_evidence& other) {
      if (MergeEvidence(evidence.decode, other.decode)) {
        exchange.ScheduleEvidence();
      }
    };
    return handler;
  }

  std::string Name() const {
    return "127.0.0.1:" + std::to_string(address.port);
  }

  endpoint address;
  daemon_load current_load;
  std::map<std::string, daemon_load> received;
  int daemon_count = 0;
  group_knowledge knowledge;
  std::optional<bool> is_reader;
  std::vector<int64_t> reported_next;
  staged_evidence evidence;
  load_exchange exchange;
};

class load_exchange_test : public event_loop_test {};

TEST_F(load_exchange_test, SendsLoadAndDiscoversSenders) {
  test_daemon a;
  test_daemon b;
  a.current_load.engines[1].runs = {{800, 80, absl::Time()}};
  // Only `a` gets the address of the other daemon.
  a.exchange.SetPeers({a.Name(), b.Name()});
  ASSERT_TRUE(RunUntil([&] { return b.received.contains(a.Name()); }));
  EXPECT_EQ(b.received[a.Name()].engines.at(1).runs.size(), 1u);
  ASSERT_TRUE(RunUntil([&] { return a.received.contains(b.Name()); }));
  EXPECT_EQ(a.daemon_count, 2);
  EXPECT_EQ(b.daemon_count, 2);
}

TEST_F(load_exchange_test, ChangedLoadIsSentSoon) {
  test_daemon a;
  test_daemon b;
  a.exchange.SetPeers({b.Name()});
  ASSERT_TRUE(RunUntil([&] { return b.received.contains(a.Name()); }));
  a.current_load.waiting = 7;
  a.exchange.ScheduleSend();
  EXPECT_TRUE(RunUntil([&] { return b.received[a.Name()].waiting == 7; },
                       absl::Milliseconds(200)));
}

// The store's group lists only some daemons. Two unlisted daemons discover each
// other through a listed daemon to which both send.
TEST_F(load_exchange_test, UnlistedDaemonsDiscoverEachOther) {
  test_daemon a;
  test_daemon listed;
  test_daemon c;
  a.current_load.waiting = 7;
  a.exchange.SetPeers({listed.Name()});
  c.exchange.SetPeers({listed.Name()});
  EXPECT_TRUE(RunUntil([&] { return c.received[a.Name()].waiting == 7; }));
  EXPECT_TRUE(RunUntil([&] { return a.received.contains(c.Name()); }));
  EXPECT_EQ(a.daemon_count, 3);
}

// In a large deployment, daemons send their load only within their cell and
// discover each other through daemons of other cells.
TEST_F(load_exchange_test, LoadStaysInItsCellAndDiscoveryCrossesCells) {
  constexpr int kCells = 2;
  std::vector<std::unique_ptr<test_daemon>> daemons;
  std::map<int, std::vector<test_daemon*>> cells;
  while (cells[0].size() < 2 || cells[1].empty()) {
    daemons.push_back(std::make_unique<test_daemon>());
    daemons.back()->exchange.SetCells(kCells);
    daemons.back()->current_load.waiting = 7;
    cells[CellOf(daemons.back()->Name(), kCells)].push_back(
        daemons.back().get());
  }
  test_daemon& a = *cells[0][0];
  test_daemon& b = *cells[0][1];
  test_daemon& other = *cells[1][0];
  // Both get only the address of a daemon in another cell.
  a.exchange.SetPeers({other.Name()});
  b.exchange.SetPeers({other.Name()});
  EXPECT_TRUE(RunUntil([&] { return a.received[b.Name()].waiting == 7; }));
  EXPECT_TRUE(RunUntil([&] { return b.received[a.Name()].waiting == 7; }));
  EXPECT_FALSE(a.received.contains(other.Name()));
  EXPECT_FALSE(other.received.contains(a.Name()));
  EXPECT_EQ(a.daemon_count, 4);
}

TEST_F(load_exchange_test, LoadOfALeavingDaemonIsCleared) {
  test_daemon a;
  test_daemon b;
  a.current_load.waiting = 7;
  a.exchange.SetPeers({b.Name()});
  ASSERT_TRUE(RunUntil([&] { return b.received[a.Name()].waiting == 7; }));
  a.exchange.AnnounceLeaving();
  EXPECT_TRUE(RunUntil([&] { return b.received[a.Name()].waiting == 0; }));
  EXPECT_EQ(b.received[a.Name()].stop_left, absl::ZeroDuration());
  EXPECT_TRUE(RunUntil([&] { return b.daemon_count == 1; }));
}

TEST_F(load_exchange_test, ADaemonThatStopsIsKnownToStop) {
  test_daemon a;
  test_daemon b;
  a.current_load.stop_left = absl::Seconds(5);
  a.exchange.SetPeers({b.Name()});
  ASSERT_TRUE(RunUntil([&] { return b.received.contains(a.Name()); }));
  EXPECT_EQ(b.received[a.Name()].stop_left, absl::Seconds(5));
}

// Guards against a daemon that takes itself for the only one because it starts
// while neither the store nor the other daemons reach it.
TEST_F(load_exchange_test, ADaemonThatHasHeardNobodyDoesNotCountItself) {
  test_daemon a;
  EXPECT_FALSE(
      RunUntil([&] { return a.daemon_count > 0; }, absl::Milliseconds(700)));
  a.exchange.SetPeers({a.Name()});
  EXPECT_EQ(a.daemon_count, 1);
}

// Guards against a daemon that is cut off when it starts and takes those that
// the store lists for all: the store lists only some.
TEST_F(load_exchange_test, ADaemonCountsOnceItHearsMostOfTheListed) {
  test_daemon a;
  test_daemon b;
  const std::string silent = "127.0.0.1:" + std::to_string(FreePort());
  auto c = std::make_unique<test_daemon>();
  const std::string c_name = c->Name();
  const endpoint c_address = c->address;
  c.reset();
  a.exchange.SetPeers({a.Name(), b.Name(), c_name, silent});
  ASSERT_TRUE(RunUntil([&] { return a.received.contains(b.Name()); }));
  EXPECT_FALSE(
      RunUntil([&] { return a.daemon_count > 0; }, absl::Milliseconds(700)));
  c = std::make_unique<test_daemon>(c_address);
  EXPECT_TRUE(RunUntil([&] { return a.daemon_count == 4; }));
}

// A daemon that listens on any free port is listed without its port; it may be
// this one, and nothing can be sent there.
TEST_F(load_exchange_test, ListedDaemonsWithoutAPortAreNotCounted) {
  test_daemon a;
  a.exchange.SetPeers({"127.0.0.1:0"});
  EXPECT_EQ(a.daemon_count, 1);
}

// Guards against a daemon that is cut off and takes those that it no longer
// hears for ended: it keeps to its part of a limit until the store has listed
// who is left.
TEST_F(load_exchange_test, ASilentListedDaemonDoesNotLowerTheCount) {
  test_daemon a;
  auto listed = std::make_unique<test_daemon>();
  auto unlisted = std::make_unique<test_daemon>();
  a.exchange.SetPeers({a.Name(), listed->Name()});
  unlisted->exchange.SetPeers({a.Name()});
  ASSERT_TRUE(RunUntil([&] { return a.daemon_count == 3; }));
  listed.reset();
  unlisted.reset();
  EXPECT_FALSE(RunUntil([&] { return a.daemon_count < 3; }, absl::Seconds(4)));
  a.exchange.SetPeers({a.Name()});
  EXPECT_TRUE(RunUntil([&] { return a.daemon_count == 1; }));
}

// Also a daemon that starts later, or from which nobody has heard the crash,
// learns of it.
// Guards against a daemon that has ended without a message and is counted until
// the group is listed by chance.
TEST_F(load_exchange_test, AListedDaemonIsKnownToBeSilentUntilItIsHeard) {
  test_daemon a;
  const endpoint address{"127.0.0.1", FreePort()};
  a.exchange.SetPeers({"127.0.0.1:" + std::to_string(address.port)});
  EXPECT_EQ(a.knowledge, (group_knowledge{2, 1}));
  auto b = std::make_unique<test_daemon>(address);
  EXPECT_TRUE(RunUntil([&] { return a.knowledge == group_knowledge{2, 0}; }));
  b.reset();
  EXPECT_TRUE(RunUntil([&] { return a.knowledge == group_knowledge{2, 1}; }));
}

// A daemon that says that it leaves needs no listing.
TEST_F(load_exchange_test, AListedDaemonThatLeavesIsNotSilent) {
  test_daemon a;
  test_daemon b;
  a.exchange.SetPeers({b.Name()});
  ASSERT_TRUE(RunUntil([&] { return a.knowledge == group_knowledge{2, 0}; }));
  b.exchange.AnnounceLeaving();
  EXPECT_TRUE(RunUntil([&] { return a.knowledge == group_knowledge{1, 0}; }));
}

TEST_F(load_exchange_test, EvidenceReachesAllDaemonsOfACell) {
  test_daemon a;
  test_daemon b;
  a.exchange.SetPeers({b.Name()});
  ASSERT_TRUE(RunUntil([&] { return b.received.contains(a.Name()); }));
  AddCrashReport(a.evidence.decode, {1, MonotonicNow(), {5}});
  a.exchange.ScheduleEvidence();
  EXPECT_TRUE(RunUntil([&] { return b.evidence.decode.reports.size() == 1; },
                       absl::Milliseconds(200)));
  test_daemon late;
  late.exchange.SetPeers({b.Name()});
  EXPECT_TRUE(
      RunUntil([&] { return late.evidence.decode.reports.size() == 1; }));
}

// Loads stay in their cell, evidence does not: a prompt that crashes engines
// comes at any daemon.
TEST_F(load_exchange_test, EvidenceCrossesCells) {
  constexpr int kCells = 2;
  std::vector<std::unique_ptr<test_daemon>> daemons;
  std::vector<std::string> names;
  for (int i = 0; i < 8; ++i) {
    daemons.push_back(std::make_unique<test_daemon>());
    names.push_back(daemons.back()->Name());
  }
  for (const auto& daemon : daemons) {
    daemon->exchange.SetCells(kCells);
    daemon->exchange.SetPeers(names);
  }
  AddCrashReport(daemons[0]->evidence.decode, {1, MonotonicNow(), {5}});
  daemons[0]->exchange.ScheduleEvidence();
  EXPECT_TRUE(RunUntil(
      [&] {
        return std::all_of(daemons.begin(), daemons.end(),
                           [](const auto& daemon) {
                             return daemon->evidence.decode.reports.size() == 1;
                           });
      },
      absl::Seconds(3)));
}

TEST_F(load_exchange_test, MalformedDatagramsAreIgnored) {
  test_daemon a;
  QUdpSocket sender;
  sender.writeDatagram("hello", QHostAddress::LocalHost, a.address.port);
  RunUntil([] { return false; }, absl::Milliseconds(50));
  EXPECT_TRUE(a.received.empty());
}

// Returns daemons that have heard each other.
std::vector<std::unique_ptr<test_daemon>> Neighbours(size_t count) {
  std::vector<std::unique_ptr<test_daemon>> daemons;
  std::vector<std::string> names;
  for (size_t i = 0; i < count; ++i) {
    daemons.push_back(std::make_unique<test_daemon>());
    names.push_back(daemons.back()->Name());
  }
  for (const auto& daemon : daemons) daemon->exchange.SetPeers(names);
  EXPECT_TRUE(RunUntil([&] {
    return std::all_of(daemons.begin(), daemons.end(), [&](const auto& daemon) {
      return daemon->received.size() + 1 == count;
    });
  }));
  return daemons;
}

// A daemon reads the store until it knows that it is no reader.
bool Reads(const std::unique_ptr<test_daemon>& daemon) {
  return daemon->is_reader.value_or(true);
}

int CountReaders(const std::vector<std::unique_ptr<test_daemon>>& daemons) {
  return static_cast<int>(std::count_if(daemons.begin(), daemons.end(), Reads));
}

TEST_F(load_exchange_test, ALostReaderIsReplacedByAnotherDaemon) {
  auto daemons = Neighbours(6);
  EXPECT_TRUE(RunUntil([&] { return CountReaders(daemons) == kStoreReaders; }));
  std::erase_if(daemons, Reads);
  ASSERT_EQ(daemons.size(), 3u);
  EXPECT_TRUE(
      RunUntil([&] { return CountReaders(daemons) == 3; }, absl::Seconds(3)));
}

// A daemon that stops hands its place over before it is missed.
TEST_F(load_exchange_test, AReaderThatLeavesIsReplacedAtOnce) {
  auto daemons = Neighbours(5);
  ASSERT_TRUE(RunUntil([&] { return CountReaders(daemons) == kStoreReaders; }));
  const auto leaver = std::find_if(daemons.begin(), daemons.end(), Reads);
  (*leaver)->exchange.AnnounceLeaving();
  daemons.erase(leaver);
  EXPECT_TRUE(RunUntil([&] { return CountReaders(daemons) == kStoreReaders; },
                       absl::Milliseconds(600)));
}

TEST_F(load_exchange_test, ReportsReachTheDaemonsOfTheCell) {
  auto daemons = Neighbours(3);
  store_report report;
  report.upstreams.next = 7;
  daemons[0]->exchange.SendStoreReport(report);
  EXPECT_TRUE(RunUntil([&] {
    return daemons[1]->reported_next == std::vector<int64_t>{7} &&
           daemons[2]->reported_next == std::vector<int64_t>{7};
  }));
  EXPECT_TRUE(daemons[0]->reported_next.empty());
}

// As while a new version is rolled out.
TEST_F(load_exchange_test, MessagesOfOtherVersionsAreIgnored) {
  auto daemons = Neighbours(2);
  QUdpSocket other;
  for (const int first_byte :
       {0x00, 0xA9, 0xAB, 0xB0, 0xB1, 0xB2, 0xB3, 0xFF}) {
    QByteArray bytes(64, '\x01');
    bytes[0] = static_cast<char>(first_byte);
    other.writeDatagram(bytes, QHostAddress::LocalHost,
                        daemons[0]->address.port);
  }
  daemons[1]->current_load.waiting = 5;
  daemons[1]->exchange.ScheduleSend();
  EXPECT_TRUE(RunUntil(
      [&] { return daemons[0]->received[daemons[1]->Name()].waiting == 5; }));
  EXPECT_TRUE(daemons[0]->reported_next.empty());
  EXPECT_EQ(daemons[0]->daemon_count, 2);
}

}  // namespace
}  // namespace anvilridge
