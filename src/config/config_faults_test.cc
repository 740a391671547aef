#include <deque>
#include <memory>

#include "absl/strings/str_cat.h"
#include "config/apply_command.h"
#include "config/config_follower.h"
#include "config/config_log.h"
#include "config/config_publisher.h"
#include "config/config_snapshot.h"
#include "config/fake_log.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace anvilridge {
namespace {

using fault = fake_log::append_fault;

config_command Create(const std::string& team, int64_t base = 0) {
  config_command command;
  command.id = absl::StrCat("id-", team, "-", base);
  command.author = "ana";
  command.reason = "tests";
  command.time = absl::FromUnixSeconds(1'000'000);
  command.verb = base == 0 ? command_verb::create : command_verb::change;
  command.object = object_kind::team;
  command.name = team;
  command.base_version = base;
  if (base != 0) command.fields = {{"rate", "3"}};
  return command;
}

// Daemons over one log in virtual time, without I/O.
struct fleet {
  struct daemon {
    config_follower follower;
    std::deque<config_publisher> publishers;
    // A peer's snapshot, which arrives one turn later.
    std::optional<std::string> on_its_way;
  };
  fake_log log;
  std::vector<daemon> daemons;
  // Highest offset of a command that was accepted.
  int64_t highest_accepted = 0;

  explicit fleet(size_t count) : daemons(count) {
    for (auto& daemon : daemons) daemon.follower.limits.page_records = 4;
  }

  std::vector<peer_offset> PeersOf(size_t self) const {
    std::vector<peer_offset> peers;
    for (size_t i = 0; i < daemons.size(); ++i) {
      if (i == self) continue;
      peers.push_back({std::to_string(i), OffsetInForce(daemons[i].follower)});
    }
    return peers;
  }

  // One read of the log, one look at the peers and one turn of the publishers.
  void Step(size_t self) {
    daemon& daemon = daemons[self];
    const int64_t before = OffsetInForce(daemon.follower);
    ReadLog(daemon.follower);
    const auto peers = PeersOf(self);
    TakeSnapshot(daemon);
    if (const auto* peer = PeerToAsk(daemon.follower, peers, log.now)) {
      const auto& source = daemons[std::stoul(peer->address)].follower;
      daemon.on_its_way = SnapshotText(*source.in_force);
    }
    for (auto& publisher : daemon.publishers) Advance(daemon, publisher, peers);
    EXPECT_GE(OffsetInForce(daemon.follower), before);
    log.now += absl::Seconds(1);
  }

  static void TakeSnapshot(daemon& daemon) {
    if (!daemon.on_its_way) return;
    OnPeerSnapshot(daemon.follower, *ParseSnapshot(*daemon.on_its_way));
    daemon.on_its_way.reset();
  }

  void ReadLog(config_follower& follower) {
    const follow_step step = NextFollowStep(follower, log.now);
    if (step.what == follow_step::action::pause) return;
    const bool records = step.what == follow_step::action::read_records;
    const auto page = log.Read(records ? kConfigStream : kSnapshotStream,
                               step.from, step.limit);
    (records ? OnRecords : OnSnapshots)(follower, page, log.now);
  }

  void Advance(daemon& daemon, config_publisher& publisher,
               const std::vector<peer_offset>& peers) {
    if (!daemon.follower.in_force) return;
    if (ShouldAppend(publisher, log.now)) {
      OnAppendSent(publisher);
      const auto& command = publisher.command;
      OnAppendAnswer(
          publisher,
          log.Append(kConfigStream, {{command.id, EncodeCommand(command)}}),
          log.now);
    }
    OnConfigInForce(publisher, *daemon.follower.in_force, peers);
    if (publisher.phase == publish_phase::accepted) {
      highest_accepted = std::max(highest_accepted, publisher.offset);
    }
  }

  void Run(int turns) {
    for (int turn = 0; turn < turns; ++turn) {
      for (size_t i = 0; i < daemons.size(); ++i) Step(i);
    }
  }

  config_publisher& Publish(size_t self, config_command command) {
    auto& publishers = daemons[self].publishers;
    command.time = log.now;
    publishers.push_back(
        BeginPublish(*daemons[self].follower.in_force, std::move(command)));
    return publishers.back();
  }

  void Restart(size_t self) {
    daemon fresh;
    fresh.follower.limits = daemons[self].follower.limits;
    daemons[self] = std::move(fresh);
  }

  void WriteSnapshot(size_t self) {
    const auto state = daemons[self].follower.in_force;
    if (!state) return;
    (void)log.Append(kSnapshotStream, {{"s", EncodeSnapshot(*state)}});
  }

  int64_t Offset(size_t self) const {
    return OffsetInForce(daemons[self].follower);
  }
};

constexpr int kSettle = 12;

struct publish_case {
  const char* name;
  fault append;
  bool out_after_append;
  bool out_before;
  absl::string_view status;
  size_t records;
};

TEST(config_faults_test, PublishSettlesUnderEachFault) {
  const publish_case cases[] = {
      {"no fault", fault::none, false, false, "accepted", 1},
      {"refused", fault::refused, false, false, "failed", 0},
      {"outage before", fault::none, false, true, "failed", 0},
      {"lost, no effect", fault::lost_without_effect, false, false, "accepted",
       1},
      // The retry puts a second record in the log; it counts once.
      {"lost after the effect", fault::lost_after, false, false, "accepted", 1},
      {"lost after the effect, then outage", fault::lost_after, true, false,
       "pending", 1},
      {"outage after the append", fault::none, true, false, "pending", 1},
  };
  for (const publish_case& c : cases) {
    SCOPED_TRACE(c.name);
    fleet f(3);
    f.Run(kSettle);
    config_publisher& publisher = f.Publish(0, Create("choirs"));
    f.log.fault = c.append;
    f.log.out = c.out_before;
    f.Advance(f.daemons[0], publisher, f.PeersOf(0));
    f.log.out = c.out_after_append || c.out_before;
    f.Run(kSettle);
    EXPECT_EQ(PublishStatusName(publisher), c.status);
    EXPECT_EQ(f.log.streams["config"].records.size(), c.records);
    f.log.out = false;
    f.Run(kSettle);
    const bool nothing = c.records == 0;
    EXPECT_EQ(PublishStatusName(publisher), nothing ? "failed" : "accepted");
    for (size_t i = 0; i < 3; ++i) {
      EXPECT_EQ(f.daemons[i].follower.in_force->teams.count("choirs"),
                nothing ? 0U : 1U);
    }
  }
}

TEST(config_faults_test, OfTwoRacingOperatorsOneIsContestedAndSeesIt) {
  fleet f(2);
  f.Run(kSettle);
  f.Publish(0, Create("choirs"));
  f.Run(kSettle);
  auto& ana = f.Publish(0, Create("choirs", 1));
  auto& ivo = f.Publish(1, Create("choirs", 1));
  ivo.command.id = "ivo";
  ivo.command.fields = {{"rate", "9"}};
  f.Run(kSettle);
  EXPECT_EQ(PublishStatusName(ana), "accepted");
  EXPECT_EQ(PublishStatusName(ivo), "contested");
  EXPECT_EQ(f.daemons[1].follower.in_force->teams.at("choirs").rate, 3);
  EXPECT_NE(HistoryOf(*f.daemons[0].follower.in_force, "ivo"), nullptr);
}

TEST(config_faults_test, AcceptanceWaitsForAnotherLiveDaemon) {
  fleet f(2);
  f.Run(kSettle);
  auto& publisher = f.Publish(0, Create("choirs"));
  for (int i = 0; i < kSettle; ++i) f.Step(0);
  EXPECT_EQ(publisher.phase, publish_phase::spread);
  f.Run(2);
  EXPECT_EQ(publisher.phase, publish_phase::accepted);
}

TEST(config_faults_test, RestartInAnOutageTakesThePeersStateOrIsNotReady) {
  fleet f(2);
  f.Run(kSettle);
  f.Publish(0, Create("choirs"));
  f.Run(kSettle);
  f.log.out = true;
  f.Restart(0);
  f.Run(kSettle);
  EXPECT_EQ(f.Offset(0), 1);
  f.Restart(0);
  f.Restart(1);
  f.Run(kSettle);
  EXPECT_EQ(f.daemons[0].follower.in_force, nullptr);
  EXPECT_EQ(f.daemons[1].follower.in_force, nullptr);
}

TEST(config_faults_test, HalfReadLogIsNotInForce) {
  fleet f(1);
  f.Run(kSettle);
  for (int i = 0; i < 6; ++i) f.Publish(0, Create(absl::StrCat("t", i)));
  f.Run(kSettle);
  ASSERT_EQ(f.Offset(0), 6);
  f.Restart(0);
  f.log.page_cap = 1;
  while (f.daemons[0].follower.phase != follow_phase::read_records) f.Step(0);
  f.Step(0);
  EXPECT_EQ(f.daemons[0].follower.in_force, nullptr);
  f.log.out = true;
  f.Run(kSettle);
  EXPECT_EQ(f.daemons[0].follower.in_force, nullptr);
  f.log.out = false;
  f.Run(kSettle);
  EXPECT_EQ(f.Offset(0), 6);
}

TEST(config_faults_test, ExpiryDuringCatchUpNeedsANewerSnapshot) {
  fleet f(2);
  f.Run(kSettle);
  for (int i = 0; i < 9; ++i) f.Publish(0, Create(absl::StrCat("t", i)));
  for (int i = 0; i < kSettle; ++i) f.Step(0);
  f.Restart(1);
  f.log.Expire(kConfigStream, 8);
  config_follower& reader = f.daemons[1].follower;
  for (int i = 0; i < kSettle; ++i) f.ReadLog(reader);
  EXPECT_EQ(reader.in_force, nullptr);
  f.WriteSnapshot(0);
  (void)f.log.Append(kSnapshotStream, {{"s", QJsonObject{{"format", 1}}}});
  f.log.now += absl::Seconds(1);
  for (int i = 0; i < kSettle; ++i) f.ReadLog(reader);
  EXPECT_EQ(OffsetInForce(reader), 9);
}

TEST(config_faults_test, PeersOlderSnapshotIsNotTaken) {
  fleet f(2);
  f.Run(kSettle);
  const config_state old = *f.daemons[0].follower.in_force;
  f.Publish(0, Create("choirs"));
  f.Run(kSettle);
  EXPECT_FALSE(OnPeerSnapshot(f.daemons[0].follower, old));
  EXPECT_EQ(f.Offset(0), 1);
}

TEST(config_faults_test, SnapshotsAreDueByCountAndBeforeRetention) {
  config_follower follower;
  follower.limits.log_retention = absl::Hours(8);
  config_state state;
  state.applied_offset = 150;
  OnPeerSnapshot(follower, state);
  const absl::Time start = absl::FromUnixSeconds(1'000'000);
  NoteSnapshot(follower, 100, start);
  const absl::Time half = start + absl::Hours(4);
  EXPECT_FALSE(SnapshotDue(follower, half - absl::Seconds(1), 0.5, 10));
  EXPECT_FALSE(SnapshotDue(follower, half, 0.5, 10));
  EXPECT_TRUE(SnapshotDue(follower, half + absl::Seconds(10), 0.5, 10));
  NoteSnapshot(follower, 150, half);
  EXPECT_FALSE(SnapshotDue(follower, half + absl::Seconds(10), 0, 1));
  state.applied_offset = 350;
  OnPeerSnapshot(follower, state);
  EXPECT_TRUE(SnapshotDue(follower, half + absl::Seconds(10), 0, 1));
  NoteSnapshot(follower, 350, half);
  EXPECT_FALSE(SnapshotDue(follower, half, 0, 1));
}

TEST(config_faults_test, SnapshotIsDueAtOnceWhenRecordsBehindTheLastExpired) {
  config_follower follower;
  config_state state;
  state.applied_offset = 150;
  OnPeerSnapshot(follower, state);
  const absl::Time now = absl::FromUnixSeconds(1'800'000'000);
  NoteSnapshot(follower, 100, now);
  follower.oldest_record = 101;
  EXPECT_FALSE(SnapshotDue(follower, now, 0, 10));
  follower.oldest_record = 102;
  EXPECT_TRUE(SnapshotDue(follower, now, 0.09, 10));
  EXPECT_FALSE(SnapshotDue(follower, now, 0.1, 10));
  EXPECT_TRUE(SnapshotDue(follower, now, 0.99, 1));
  NoteSnapshot(follower, 150, now);
  EXPECT_FALSE(SnapshotDue(follower, now, 0, 10));
}

// Whatever the order of faults, no daemon goes back, what was accepted stays
// in force, and all agree in the end.
TEST(config_faults_test, AcceptedChangesNeverRevertUnderRandomFaults) {
  const bool held = rc::check([] {
    fleet f(3);
    f.Run(kSettle);
    const auto events =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 30));
    int made = 0;
    size_t down = 0;
    for (const int event : events) {
      const size_t self = event % 3;
      const auto& state = f.daemons[self].follower.in_force;
      if (event < 12) {
        f.Step(self);
      } else if (event < 18 && state) {
        const std::string team = absl::StrCat("t", event % 2);
        const auto found = state->teams.find(team);
        auto command = Create(
            team, found == state->teams.end() ? 0 : found->second.version);
        command.id = absl::StrCat("c", ++made);
        f.Publish(self, std::move(command));
      } else if (event < 21) {
        f.log.fault = static_cast<fault>(1 + event % 3);
      } else if (event < 24) {
        f.log.out = event == 21;
      } else if (event < 27) {
        // One at a time: another live daemon has what was accepted.
        if (self == down) f.Restart(self);
        f.Run(2);
        down = (down + 1) % 3;
      } else if (event == 27) {
        f.WriteSnapshot(0);
      } else {
        f.log.page_cap = 1 + event % 3;
      }
      int64_t known = 0;
      for (size_t i = 0; i < 3; ++i) known = std::max(known, f.Offset(i));
      RC_ASSERT(known >= f.highest_accepted);
    }
    f.log.out = false;
    f.Run(150);
    const std::string first = SnapshotText(*f.daemons[0].follower.in_force);
    config_state replay;
    for (const auto& record : f.log.streams["config"].records) {
      ApplyRecord(replay, record);
    }
    RC_ASSERT(first == SnapshotText(replay));
    RC_ASSERT(first == SnapshotText(*f.daemons[1].follower.in_force));
    RC_ASSERT(first == SnapshotText(*f.daemons[2].follower.in_force));
  });
  EXPECT_TRUE(held);
}

}  // namespace
}  // namespace anvilridge
