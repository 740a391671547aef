#include "sharing/share_port.h"

#include <QHostAddress>
#include <QUdpSocket>

#include "base/testing/run_loop.h"
#include "dispatch/engine_cell.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

uint16_t FreePort() {
  QUdpSocket socket;
  socket.bind(QHostAddress::LocalHost);
  return socket.localPort();
}

// One daemon's end.
struct share_end {
  share_end() : port(Handler()) {
    address = {"127.0.0.1", FreePort()};
    EXPECT_TRUE(port.Listen(address).ok());
  }

  share_handler Handler() {
    share_handler handler;
    handler.own_share = [this] { return own; };
    handler.on_share = [this](absl::string_view peer, load_share share) {
      heard[std::string(peer)] = std::move(share);
    };
    handler.on_daemons = [this](int known) { daemons = known; };
    return handler;
  }

  std::string Name() const {
    return "127.0.0.1:" + std::to_string(address.port);
  }

  endpoint address;
  load_share own;
  std::map<std::string, load_share> heard;
  int daemons = 0;
  share_port port;
};

class share_port_test : public event_loop_test {};

TEST_F(share_port_test, TellsWhatItHasAndLearnsWhoTold) {
  share_end a;
  share_end b;
  a.own.engines[1].runs = {{800, 80, absl::Time()}};
  // Only `a` was told of `b`.
  a.port.SetPeers({a.Name(), b.Name()});
  ASSERT_TRUE(RunUntil([&] { return b.heard.contains(a.Name()); }));
  EXPECT_EQ(b.heard[a.Name()].engines.at(1).runs.size(), 1u);
  ASSERT_TRUE(RunUntil([&] { return a.heard.contains(b.Name()); }));
  EXPECT_EQ(a.daemons, 2);
  EXPECT_EQ(b.daemons, 2);
}

TEST_F(share_port_test, AChangeIsToldSoon) {
  share_end a;
  share_end b;
  a.port.SetPeers({b.Name()});
  ASSERT_TRUE(RunUntil([&] { return b.heard.contains(a.Name()); }));
  a.own.waiting = 7;
  a.port.NoteChange();
  EXPECT_TRUE(RunUntil([&] { return b.heard[a.Name()].waiting == 7; },
                       absl::Milliseconds(200)));
}

// More daemons than the group names: two that it leaves out learn of each other
// from one that both know.
TEST_F(share_port_test, DaemonsThatNobodyListsMeet) {
  share_end a;
  share_end listed;
  share_end c;
  a.own.waiting = 7;
  a.port.SetPeers({listed.Name()});
  c.port.SetPeers({listed.Name()});
  EXPECT_TRUE(RunUntil([&] { return c.heard[a.Name()].waiting == 7; }));
  EXPECT_TRUE(RunUntil([&] { return a.heard.contains(c.Name()); }));
  EXPECT_EQ(a.daemons, 3);
}

// Large deployments: daemons share within their cell, and find those of it
// through the others.
TEST_F(share_port_test, CellsShareWithinAndIntroduceAcross) {
  constexpr int kCells = 2;
  std::vector<std::unique_ptr<share_end>> ends;
  std::map<int, std::vector<share_end*>> cells;
  while (cells[0].size() < 2 || cells[1].empty()) {
    ends.push_back(std::make_unique<share_end>());
    ends.back()->port.SetCells(kCells);
    ends.back()->own.waiting = 7;
    cells[CellOf(ends.back()->Name(), kCells)].push_back(ends.back().get());
  }
  share_end& a = *cells[0][0];
  share_end& b = *cells[0][1];
  share_end& other = *cells[1][0];
  // Both are told only of one in another cell.
  a.port.SetPeers({other.Name()});
  b.port.SetPeers({other.Name()});
  EXPECT_TRUE(RunUntil([&] { return a.heard[b.Name()].waiting == 7; }));
  EXPECT_TRUE(RunUntil([&] { return b.heard[a.Name()].waiting == 7; }));
  EXPECT_FALSE(a.heard.contains(other.Name()));
  EXPECT_FALSE(other.heard.contains(a.Name()));
  EXPECT_EQ(a.daemons, 4);
}

TEST_F(share_port_test, OneThatLeavesHoldsNothing) {
  share_end a;
  share_end b;
  a.own.waiting = 7;
  a.port.SetPeers({b.Name()});
  ASSERT_TRUE(RunUntil([&] { return b.heard[a.Name()].waiting == 7; }));
  a.port.Leave();
  EXPECT_TRUE(RunUntil([&] { return b.heard[a.Name()].waiting == 0; }));
  EXPECT_TRUE(RunUntil([&] { return b.daemons == 1; }));
}

TEST_F(share_port_test, ForeignBytesDoNoHarm) {
  share_end a;
  QUdpSocket stranger;
  stranger.writeDatagram("hello", QHostAddress::LocalHost, a.address.port);
  RunUntil([] { return false; }, absl::Milliseconds(50));
  EXPECT_TRUE(a.heard.empty());
}

}  // namespace
}  // namespace anvilridge
