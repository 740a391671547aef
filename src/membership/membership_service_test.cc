#include "membership/membership_service.h"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QHostAddress>
#include <QUdpSocket>
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kInterval = absl::Milliseconds(50);
constexpr absl::Duration kLease = absl::Seconds(2);
constexpr absl::Duration kTimeout = absl::Seconds(20);

class membership_service_test : public testing::Test {
 protected:
  static void SetUpTestSuite() {
    static int argc = 1;
    static char name[] = "membership_test";
    static char* argv[] = {name, nullptr};
    if (QCoreApplication::instance() == nullptr) {
      new QCoreApplication(argc, argv);  // Qt needs it until process exit.
    }
  }

  std::unique_ptr<membership_service> Make(
      const std::string& name, const std::string& key = "key",
      const membership_service::clock& now = MonotonicNow) {
    identity_settings identity;
    identity.name = name;
    identity.failure_domain = "zagreb-a";
    peer_settings peers;
    peers.probe_interval = kInterval;
    peers.lease = kLease;
    if (!first_address_.empty()) peers.seeds = {first_address_};
    auto service =
        std::make_unique<membership_service>(identity, peers, key, now);
    EXPECT_TRUE(service->Start("127.0.0.1:0").ok());
    if (first_address_.empty()) {
      first_address_ = service->Members()[0].peer_address;
    }
    return service;
  }

  /// Runs the event loop until `done` returns true or the timeout has passed;
  /// returns the last result of `done`.
  static bool RunUntil(const std::function<bool()>& done) {
    const absl::Time end = MonotonicNow() + kTimeout;
    while (!done() && MonotonicNow() < end) {
      QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
    }
    return done();
  }

  static const member* FindMember(const std::vector<member>& members,
                                  absl::string_view name) {
    const auto found =
        std::find_if(members.begin(), members.end(),
                     [&](const member& m) { return m.id.daemon == name; });
    return found == members.end() ? nullptr : &*found;
  }

  std::string first_address_;
};

TEST_F(membership_service_test, MembersJoinPropagateConfigOffsetLeaveAndStop) {
  auto a = Make("a");
  auto b = Make("b");
  auto c = Make("c");
  const auto lists_three = [](const membership_service& s) {
    return s.Live().size() == 3;
  };
  ASSERT_TRUE(RunUntil(
      [&] { return lists_three(*a) && lists_three(*b) && lists_three(*c); }));
  int changes = 0;
  a->OnChange([&] { ++changes; });
  c->SetConfigOffset(42);
  ASSERT_TRUE(RunUntil([&] {
    const auto members = a->Members();
    return FindMember(members, "c")->config_offset == 42;
  }));
  EXPECT_GT(changes, 0);

  const owner_id c_before_restart = c->Self();
  c->Leave();
  ASSERT_TRUE(
      RunUntil([&] { return a->Live().size() == 2 && b->Live().size() == 2; }));
  EXPECT_EQ(a->IsOwnerLive(c_before_restart), true)
      << "a leaving daemon still finishes its requests";
  c.reset();
  ASSERT_TRUE(RunUntil([&] {
    return a->IsOwnerLive(c_before_restart) == false &&
           b->IsOwnerLive(c_before_restart) == false;
  }));
  const auto members = a->Members();
  EXPECT_EQ(FindMember(members, "c")->state, member_state::left);
  c = Make("c");
  EXPECT_GT(c->Self().incarnation, c_before_restart.incarnation);
  ASSERT_TRUE(RunUntil(
      [&] { return lists_three(*a) && lists_three(*b) && lists_three(*c); }));
}

TEST_F(membership_service_test, PauseLongerThanTheLeaseEndsTheIncarnation) {
  absl::Duration paused = absl::ZeroDuration();
  auto a = Make("a", "key", [&] { return MonotonicNow() + paused; });
  const owner_id before = a->Self();
  std::vector<owner_id> expired;
  a->OnExpired([&](const owner_id& old_self) { expired.push_back(old_self); });
  EXPECT_TRUE(a->IsLeaseValid());
  paused = kLease + absl::Seconds(1);
  EXPECT_FALSE(a->IsLeaseValid());
  EXPECT_FALSE(a->IsLeaseValid(before.incarnation));
  ASSERT_TRUE(RunUntil([&] { return !expired.empty(); }));
  EXPECT_EQ(expired[0], before);
  EXPECT_GT(a->Self().incarnation, before.incarnation);
  EXPECT_TRUE(a->IsLeaseValid());
  EXPECT_FALSE(a->IsLeaseValid(before.incarnation));
}

TEST_F(membership_service_test, DatagramsWithAnotherKeyAreDroppedAndCounted) {
  auto a = Make("a");
  auto other_deployment = Make("x", "another key");
  ASSERT_TRUE(RunUntil([&] { return a->DatagramsRejected() > 2; }));
  QUdpSocket socket;
  const std::string address = a->Members()[0].peer_address;
  const uint16_t port =
      static_cast<uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
  other_deployment.reset();
  const uint64_t before = a->DatagramsRejected();
  socket.writeDatagram(QByteArray(2000, 'x'), QHostAddress::LocalHost, port);
  socket.writeDatagram(QByteArray(), QHostAddress::LocalHost, port);
  EXPECT_TRUE(RunUntil([&] { return a->DatagramsRejected() >= before + 1; }));
  EXPECT_EQ(a->Members().size(), 1u);
}

}  // namespace
}  // namespace anvilridge
