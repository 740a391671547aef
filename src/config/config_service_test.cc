#include "config/config_service.h"

#include <QCoreApplication>
#include <QEventLoop>

#include "base/clock.h"
#include "base/event_loop.h"
#include "config/config_snapshot.h"
#include "config/fake_log.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

// A daemon's service over a fake log whose answers come later, as over a wire.
struct service_under_test {
  QObject context;
  fake_log& log;
  std::vector<peer_offset> peers;
  std::string peer_snapshot;
  config_service service;

  explicit service_under_test(fake_log& shared, follow_limits limits = {})
      : log(shared), service(Calls(), Peers(), limits) {}

  config_log Calls() {
    config_log calls;
    calls.append = [this](auto stream, const auto& records, auto done) {
      PostTo(&context,
             [answer = log.Append(stream, records), done] { done(answer); });
    };
    calls.read = [this](auto stream, auto from, auto limit, auto wait,
                        auto done) {
      constexpr absl::Duration kPoll = absl::Milliseconds(5);
      auto answer = log.Read(stream, from, limit);
      const bool empty = answer.ok() && answer->records.empty();
      RunAfter(&context, empty ? std::min(wait, kPoll) : absl::ZeroDuration(),
               [answer, done] { done(answer); });
    };
    return calls;
  }

  config_peers Peers() {
    return {[this] { return peers; },
            [this](const std::string&, auto done) {
              PostTo(&context, [this, done] { done(peer_snapshot); });
            }};
  }
};

// Runs the event loop until `reached`, at most 5 s.
bool RunUntil(const std::function<bool()>& reached) {
  const absl::Time end = MonotonicNow() + absl::Seconds(5);
  while (!reached() && MonotonicNow() < end) {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 10);
  }
  return reached();
}

config_command CreateTeam(const std::string& name) {
  config_command command;
  command.id = "create-" + name;
  command.author = "ana";
  command.reason = "tests";
  command.time = absl::FromUnixSeconds(1'000'000);
  command.object = object_kind::team;
  command.name = name;
  return command;
}

class config_service_test : public ::testing::Test {
 protected:
  int argc_ = 0;
  QCoreApplication application_{argc_, nullptr};
  fake_log log_;
};

TEST_F(config_service_test, PublishesReadsBackAndTellsListeners) {
  service_under_test daemon(log_);
  int changes = 0;
  daemon.service.OnChange([&](const auto&) { ++changes; });
  daemon.service.Start();
  ASSERT_TRUE(RunUntil([&] { return daemon.service.InForce() != nullptr; }));
  daemon.peers = {{"peer", 0}};
  log_.fault = fake_log::append_fault::lost_after;
  std::vector<publish_result> answers;
  const auto keep = [&](const publish_result& result) {
    answers.push_back(result);
  };
  daemon.service.Publish(CreateTeam("choirs"), absl::Milliseconds(50), keep);
  ASSERT_TRUE(RunUntil([&] { return !answers.empty(); }));
  EXPECT_EQ(answers[0].status, "pending");
  ASSERT_TRUE(
      RunUntil([&] { return daemon.service.InForce()->teams.size() == 1; }));
  EXPECT_EQ(daemon.service.Pending().size(), 1U);
  daemon.peers = {{"peer", 1}};
  daemon.service.PeersChanged();
  EXPECT_EQ(daemon.service.StatusOf("create-choirs")->status, "accepted");
  EXPECT_EQ(answers.size(), 1U);
  EXPECT_EQ(changes, 2);
  EXPECT_FALSE(daemon.service.StatusOf("nobody").ok());
}

TEST_F(config_service_test, TakesAPeersSnapshotInAnOutage) {
  log_.out = true;
  service_under_test daemon(log_);
  config_state state;
  state.applied_offset = 7;
  daemon.peers = {{"peer", 7}};
  daemon.peer_snapshot = SnapshotText(state);
  daemon.service.Start();
  ASSERT_TRUE(RunUntil([&] { return daemon.service.InForce() != nullptr; }));
  EXPECT_EQ(daemon.service.InForce()->applied_offset, 7);
  EXPECT_TRUE(daemon.service.LogOut());
}

TEST_F(config_service_test, WritesOneSnapshotForTwoDaemons) {
  follow_limits limits;
  limits.snapshot_spacing = absl::Milliseconds(1);
  log_.now = WallNow();
  service_under_test first(log_, limits);
  service_under_test second(log_, limits);
  first.service.Start();
  ASSERT_TRUE(RunUntil([&] { return first.service.InForce() != nullptr; }));
  auto command = CreateTeam("choirs");
  command.time = log_.now;
  first.service.Publish(command, absl::Seconds(1), [](const auto&) {});
  auto& snapshots = log_.streams["config-snapshots"].records;
  ASSERT_TRUE(RunUntil([&] { return !snapshots.empty(); }));
  second.service.Start();
  ASSERT_TRUE(RunUntil([&] { return second.service.InForce() != nullptr; }));
  EXPECT_EQ(second.service.InForce()->teams.size(), 1U);
  // Two turns of the timer that would write another.
  const absl::Time end = MonotonicNow() + absl::Milliseconds(500);
  RunUntil([&] { return MonotonicNow() >= end; });
  EXPECT_EQ(snapshots.size(), 1U);
}

}  // namespace
}  // namespace anvilridge
