#include "dispatch/stop_admission.h"

#include "absl/strings/string_view.h"
#include "base/error_kind.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr char kRoute[] = "ledger";

class stop_admission_test : public testing::Test {
 protected:
  // The service "model" has one decode engine with one slot.
  stop_admission_test() {
    auto config = std::make_shared<fleet_config>();
    fleet_service& service = config->services["model"];
    service.name = "model";
    service.generates = true;
    service.engine.kv_tokens = 70000;
    service.engine.slots = 1;
    auto view = std::make_shared<fleet_view>();
    view->config = config;
    fleet_upstream engine;
    engine.id = "engine";
    engine.service = "model";
    engine.slots = 1;
    engine.stage = engine_stage::decode;
    view->upstreams["model"].push_back(engine);
    state_.view = view;
  }

  // Begins a stop that ends after 8 s at the latest and 3 s at the earliest.
  void BeginStop() {
    state_.earliest_stop_end = now_ + absl::Seconds(3);
    state_.stop_deadline = now_ + absl::Seconds(8);
  }

  void HearPeer(const std::string& name,
                std::optional<absl::Duration> stop_left) {
    peer_load& peer = state_.ledger.peers[name];
    peer.load.stop_left = stop_left;
    peer.received = now_;
  }

  // Returns the retry delay of a refused request with `time_left`.
  absl::Duration RetryAfter(absl::Duration time_left) {
    return RetryAfterOf(StoppingError(state_, now_ + time_left, now_));
  }

  // Returns a stream of 30 s that takes at most `longest_run`.
  waiting_stream Stream(const std::string& id, absl::Duration longest_run) {
    waiting_stream stream;
    stream.request_id = id;
    stream.service = "model";
    stream.prompt = 100;
    stream.output = 100;
    stream.deadline = now_ + absl::Seconds(30);
    stream.longest_run = longest_run;
    stream.done = [this, id](const absl::StatusOr<engine_reservation>& result) {
      ASSERT_FALSE(result.ok());
      EXPECT_EQ(KindOf(result.status()), error_kind::shutting_down);
      EXPECT_EQ(RunStateOf(result.status()), run_state::not_run);
      refused_.push_back(id);
    };
    return stream;
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  dispatch_state state_;
  // Ids of the streams that were refused.
  std::vector<std::string> refused_;
};

// Guards against a daemon that refuses calls for many seconds because all took
// long before, although their upstreams are fast again.
TEST_F(stop_admission_test, LongCallsCountOnlyWhileCallsEnd) {
  recent_durations& durations = state_.call_durations[kRoute];
  for (int i = 0; i < 30; ++i) {
    RecordDuration(durations, absl::Seconds(2), now_);
  }
  EXPECT_EQ(ShortestCall(state_, kRoute, now_ + absl::Seconds(1)),
            absl::Seconds(2));
  EXPECT_EQ(ShortestCall(state_, kRoute, now_ + absl::Seconds(3)),
            absl::ZeroDuration());
}

TEST_F(stop_admission_test, EverythingEndsBeforeNoStop) {
  EXPECT_TRUE(EndsBeforeStop(state_, absl::InfiniteFuture(),
                             absl::InfiniteDuration(), now_));
}

// Guards against work that is begun though its caller still waits for it when
// the daemon has ended.
TEST_F(stop_admission_test, WhatOutlastsTheStopIsNotBegun) {
  BeginStop();
  const absl::Time late = now_ + absl::Seconds(30);
  EXPECT_FALSE(EndsBeforeStop(state_, late, absl::Milliseconds(8001), now_));
  EXPECT_FALSE(EndsBeforeStop(state_, late, absl::InfiniteDuration(), now_));
  EXPECT_TRUE(EndsBeforeStop(state_, late, absl::Seconds(8), now_));
  EXPECT_FALSE(EndsBeforeStop(state_, late, absl::Seconds(8),
                              now_ + absl::Milliseconds(1)));
}

TEST_F(stop_admission_test, WhatHasNoMoreTimeThanTheStopIsBegun) {
  BeginStop();
  EXPECT_TRUE(EndsBeforeStop(state_, now_ + absl::Seconds(8),
                             absl::InfiniteDuration(), now_));
  EXPECT_FALSE(EndsBeforeStop(state_, now_ + absl::Milliseconds(8001),
                              absl::InfiniteDuration(), now_));
}

TEST_F(stop_admission_test, ACallOfUnknownLengthMayTakeForever) {
  EXPECT_EQ(LongestCall(state_, kRoute, now_), absl::InfiniteDuration());
  recent_durations& durations = state_.call_durations[kRoute];
  RecordDuration(durations, absl::Milliseconds(200), now_);
  // Guards against a longest call that is told from a few short ones.
  for (int i = 0; i < 18; ++i) {
    RecordDuration(durations, absl::Milliseconds(100), now_);
  }
  EXPECT_EQ(LongestCall(state_, kRoute, now_), absl::InfiniteDuration());
  RecordDuration(durations, absl::Milliseconds(100), now_);
  EXPECT_EQ(LongestCall(state_, kRoute, now_), absl::Milliseconds(600));
  EXPECT_EQ(LongestCall(state_, "other", now_), absl::InfiniteDuration());
  EXPECT_EQ(LongestCall(state_, kRoute, now_ + 2 * kRecentSpan),
            absl::InfiniteDuration());
}

// Guards against calls that are begun although others in progress already take
// longer than any that has ended.
TEST_F(stop_admission_test, ACallInProgressIsNoShorterThanItsAge) {
  for (int i = 0; i < 20; ++i) {
    RecordDuration(state_.call_durations[kRoute], absl::Milliseconds(100),
                   now_);
  }
  open_request request;
  request.route = kRoute;
  request.received = now_ - absl::Seconds(2);
  const open_request_entry call(state_.open_requests, request);
  request.received = now_ - absl::Seconds(5);
  request.route = "other";
  const open_request_entry other(state_.open_requests, request);
  EXPECT_EQ(LongestCall(state_, kRoute, now_), absl::Seconds(6));
}

TEST_F(stop_admission_test, TheLongestRunHasItsPrefillAndSlackForFullEngines) {
  state_.ledger.prefill_tokens_per_ms = 50;
  RecordDuration(state_.token_times["model"], absl::Microseconds(400), now_);
  RecordDuration(state_.token_times["model"], absl::Microseconds(500), now_);
  EXPECT_EQ(LongestRun(state_, "model", 4000, 0, now_),
            absl::Milliseconds(2500));
  EXPECT_EQ(LongestRun(state_, "model", 4000, 10000, now_),
            absl::Milliseconds(2750));
  EXPECT_EQ(LongestRun(state_, "model", 0, 0, now_), absl::ZeroDuration());
}

// Guards against streams of unknown engines that are begun at a guessed pace.
TEST_F(stop_admission_test, ARunOfUnknownPaceMayTakeForever) {
  EXPECT_EQ(LongestRun(state_, "model", 1, 0, now_), absl::InfiniteDuration());
  RecordDuration(state_.token_times["model"], absl::Microseconds(400), now_);
  EXPECT_EQ(LongestRun(state_, "model", 1, 0, now_ + 2 * kRecentSpan),
            absl::InfiniteDuration());
}

// Guards against streams that are begun late in a stop by an estimate that some
// of them exceed, and cut when the daemon ends.
TEST_F(stop_admission_test, EstimatesCountOnlyWhileNewCallersAreSentHere) {
  waiting_stream stream = Stream("long", absl::Seconds(20));
  stream.estimated_run = absl::Seconds(1);
  EXPECT_TRUE(MayBeginStream(state_, stream, now_, now_));
  BeginStop();
  const absl::Time early = now_ + absl::Seconds(1);
  const absl::Time late = now_ + absl::Seconds(3);
  EXPECT_TRUE(MayBeginStream(state_, stream, now_, now_));
  EXPECT_TRUE(MayBeginStream(state_, stream, early, early));
  EXPECT_FALSE(MayBeginStream(state_, stream, late, late));
  // Its prefill took long.
  EXPECT_TRUE(MayBeginStream(state_, stream, early, late));
  EXPECT_FALSE(
      MayBeginStream(state_, stream, early, now_ + absl::Milliseconds(7500)));
  // All the tokens that its request allows fit in.
  stream.longest_run = absl::Seconds(5);
  EXPECT_TRUE(MayBeginStream(state_, stream, late, late));
  EXPECT_FALSE(
      MayBeginStream(state_, stream, late, late + absl::Milliseconds(1)));
  // So does its time limit.
  stream.longest_run = absl::InfiniteDuration();
  stream.deadline = now_ + absl::Seconds(8);
  EXPECT_TRUE(MayBeginStream(state_, stream, late, late));
}

// Guards against callers that a late SIGTERM handler takes for early ones.
TEST_F(stop_admission_test, EstimatesEndBeforeTheLoadBalancerDoes) {
  BeginStop();
  EXPECT_TRUE(MayBeginByEstimate(state_, now_ + absl::Milliseconds(2499)));
  EXPECT_FALSE(MayBeginByEstimate(state_, now_ + absl::Milliseconds(2500)));
}

// Guards against streams that stay queued in a stop until they could be begun
// only by an estimate.
TEST_F(stop_admission_test, QueuedStreamsThatBeginLateNeedACertainEnd) {
  state_.ledger.tokens_per_ms = 1;
  ReserveRun(state_.ledger, "running", "engine", 100, 3500, now_);
  waiting_stream stream = Stream("estimated", absl::Seconds(20));
  stream.estimated_run = absl::Seconds(1);
  state_.waiting.push_back(stream);
  stream = Stream("certain", absl::Seconds(3));
  stream.estimated_run = absl::Seconds(1);
  state_.late.push_back(stream);
  BeginStop();
  RefuseStreamsThatOutlastStop(state_, now_);
  EXPECT_EQ(refused_, std::vector<std::string>{"estimated"});
  EXPECT_EQ(state_.late.size(), 1u);
}

// Guards against calls that are begun late in a stop because earlier ones of
// their route were quick.
TEST_F(stop_admission_test, ALateCallIsBegunOnlyWithinItsTimeLimit) {
  for (int i = 0; i < 30; ++i) {
    RecordDuration(state_.call_durations[kRoute], absl::Milliseconds(10), now_);
  }
  BeginStop();
  const absl::Time late = now_ + absl::Seconds(3);
  const absl::Time far = now_ + absl::Seconds(30);
  EXPECT_TRUE(MayBeginCall(state_, kRoute, far, now_));
  EXPECT_FALSE(MayBeginCall(state_, kRoute, far, late));
  EXPECT_TRUE(MayBeginCall(state_, kRoute, now_ + absl::Seconds(8), late));
  EXPECT_FALSE(
      MayBeginCall(state_, kRoute, now_ + absl::Milliseconds(8001), late));
}

// Guards against streams that are left in a queue in a stop until they are cut.
TEST_F(stop_admission_test, QueuedStreamsThatOutlastTheStopAreRefused) {
  state_.waiting.push_back(Stream("long", absl::Seconds(9)));
  state_.waiting.push_back(Stream("short", absl::Seconds(2)));
  state_.late.push_back(Stream("late", absl::Seconds(9)));
  state_.resuming.push_back(Stream("resumed", absl::Seconds(9)));
  RefuseStreamsThatOutlastStop(state_, now_);
  EXPECT_TRUE(refused_.empty());
  BeginStop();
  RefuseStreamsThatOutlastStop(state_, now_);
  EXPECT_EQ(refused_, (std::vector<std::string>{"resumed", "long", "late"}));
  ASSERT_EQ(state_.waiting.size(), 1u);
  EXPECT_EQ(state_.waiting.front().request_id, "short");
  RefuseStreamsThatOutlastStop(state_, now_ + absl::Seconds(7));
  EXPECT_EQ(refused_.back(), "short");
  EXPECT_TRUE(state_.waiting.empty());
}

// Guards against streams that are refused only once they have waited in vain
// for an engine that gets room too late.
TEST_F(stop_admission_test, QueuedStreamsThatBeginTooLateAreRefused) {
  state_.ledger.tokens_per_ms = 1;
  ReserveRun(state_.ledger, "running", "engine", 100, 5000, now_);
  state_.waiting.push_back(Stream("first", absl::Seconds(2)));
  state_.late.push_back(Stream("second", absl::Milliseconds(3500)));
  BeginStop();
  RefuseStreamsThatOutlastStop(state_, now_);
  EXPECT_EQ(refused_, std::vector<std::string>{"second"});
  EXPECT_EQ(state_.waiting.size(), 1u);
}

TEST_F(stop_admission_test, AStopEndsWithTheLongestStreamWithinItsBounds) {
  EXPECT_EQ(StopLeft(state_, now_), std::nullopt);
  BeginStop();
  EXPECT_EQ(StopLeft(state_, now_), absl::Seconds(3));
  EXPECT_EQ(StopLeft(state_, now_ + absl::Seconds(4)), absl::ZeroDuration());
  state_.ledger.tokens_per_ms = 1;
  ReserveRun(state_.ledger, "a", "engine", 100, 4000, now_);
  EXPECT_EQ(StopLeft(state_, now_), absl::Seconds(5));
  ReserveRun(state_.ledger, "b", "engine", 100, 40000, now_);
  EXPECT_EQ(StopLeft(state_, now_), absl::Seconds(8));
}

TEST_F(stop_admission_test, CallersReturnAtOnceIfAnotherDaemonServes) {
  BeginStop();
  HearPeer("stopping", absl::Seconds(1));
  HearPeer("serving", std::nullopt);
  EXPECT_EQ(RetryAfter(absl::Seconds(60)), absl::Milliseconds(50));
}

// Guards against callers that are sent round between daemons that all stop, and
// use up their retries before one of them serves again.
TEST_F(stop_admission_test, CallersReturnWhenTheFirstDaemonIsBack) {
  BeginStop();
  HearPeer("later", absl::Seconds(7));
  EXPECT_EQ(TimeUntilServed(state_, now_), absl::Seconds(4));
  HearPeer("first", absl::Seconds(2));
  EXPECT_EQ(TimeUntilServed(state_, now_), absl::Seconds(3));
  EXPECT_GE(RetryAfter(absl::Seconds(60)), absl::Seconds(3));
  EXPECT_LE(RetryAfter(absl::Seconds(60)), absl::Seconds(6));
  // It has ended meanwhile and is starting again.
  EXPECT_EQ(TimeUntilServed(state_, now_ + absl::Milliseconds(2600)),
            absl::Milliseconds(400));
  // It hasn't come back; this daemon, which may end at any time, is the next
  // one.
  EXPECT_EQ(TimeUntilServed(state_, now_ + absl::Milliseconds(3200)),
            absl::Seconds(1));
}

TEST_F(stop_admission_test, ADaemonThatKnowsNoOtherNamesItsOwnReturn) {
  BeginStop();
  EXPECT_EQ(TimeUntilServed(state_, now_), absl::Seconds(4));
}

// A silent daemon may have ended.
TEST_F(stop_admission_test, ASilentDaemonDoesNotCountAsServing) {
  BeginStop();
  HearPeer("silent", std::nullopt);
  EXPECT_EQ(TimeUntilServed(state_, now_ + kPeerLoadLifetime),
            absl::Milliseconds(2500));
}

// Daemons of other cells are not heard, but serve.
TEST_F(stop_admission_test, CallersReturnAtOnceFromACellOfOneDaemon) {
  BeginStop();
  state_.cells = 3;
  EXPECT_EQ(RetryAfter(absl::Seconds(60)), absl::Milliseconds(50));
}

// Guards against retry delays that callers ignore: they follow one up to a
// third of the time that they have left.
TEST_F(stop_admission_test, TheRetryDelayIsOneThatTheCallerFollows) {
  BeginStop();
  EXPECT_EQ(RetryAfter(absl::Milliseconds(2400)), absl::Milliseconds(800));
  EXPECT_EQ(RetryAfter(absl::Milliseconds(30)), absl::Milliseconds(50));
  EXPECT_EQ(RetryAfter(-absl::Seconds(1)), absl::Milliseconds(50));
}

}  // namespace
}  // namespace anvilridge
