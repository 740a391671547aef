#include "dispatch/stream_size.h"

#include <memory>
#include <utility>

#include "base/clock.h"
#include "dispatch/stop_admission.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

// Time for one token of an earlier stream.
constexpr absl::Duration kTokenTime = absl::Milliseconds(2);
constexpr int kTokensPerEvent = 10;
constexpr int64_t kLimit = 600;
// Length of all earlier streams in tokens.
constexpr double kUsualLength = 60;
constexpr int kEarlierStreams = 100;

class stream_size_test : public testing::Test {
 protected:
  stream_size_test() {
    auto config = std::make_shared<fleet_config>();
    fleet_service& service = config->services["model"];
    service.name = "model";
    service.engine.tokens_per_event = kTokensPerEvent;
    fleet_route& route = config->routes.emplace_back();
    routed_.service = &service;
    routed_.route = &route;
    routed_.config = std::move(config);
    routed_.request.max_output_tokens = kLimit;
    RecordDuration(state_.token_times["model"], kTokenTime, MonotonicNow());
  }

  void LearnLengths() {
    for (int i = 0; i < kEarlierStreams; ++i) {
      UpdateLengthStatistics(state_.lengths["model"], 0, kUsualLength);
    }
  }

  // Returns the entry of the stream after `events` events.
  waiting_stream Waiting(int events) {
    return MakeWaitingStream(
        state_, routed_,
        EstimateLength(state_.lengths["model"], 0,
                       static_cast<double>(routed_.request.max_output_tokens)),
        events);
  }

  // Returns the longest time for `tokens` more tokens after `prefilled` ones.
  absl::Duration TimeFor(double tokens, double prefilled) const {
    return LongestRun(state_, "model", tokens, prefilled, MonotonicNow());
  }

  dispatch_state state_;
  routed_request routed_;
};

// Guards against a bound on a stream's duration that comes from the lengths of
// others: in a stop, longer streams would be cut.
TEST_F(stream_size_test, TheLongestRunHasAllTheTokensThatAreAllowed) {
  EXPECT_EQ(Waiting(0).longest_run, TimeFor(kLimit, 0));
  LearnLengths();
  const waiting_stream waiting = Waiting(0);
  EXPECT_EQ(waiting.longest_run, TimeFor(kLimit, 0));
  EXPECT_LT(waiting.estimated_run, TimeFor(2 * kUsualLength, 0));
  EXPECT_GE(waiting.estimated_run, TimeFor(kUsualLength, 0));
}

// Guards against a resumed stream that is longer than the size of its events
// suggests.
TEST_F(stream_size_test, AnEventThatWasReceivedHasOneTokenAtLeast) {
  constexpr int kEvents = 20;
  EXPECT_EQ(Waiting(kEvents).longest_run,
            TimeFor(kLimit - kEvents, kEvents * kTokensPerEvent));
  EXPECT_EQ(Waiting(2 * kLimit).longest_run, TimeFor(0, kLimit));
}

// Guards against a stream without a limit that counts as one without tokens.
TEST_F(stream_size_test, AStreamWithoutALimitMayTakeForever) {
  LearnLengths();
  routed_.request.max_output_tokens = 0;
  EXPECT_EQ(Waiting(0).longest_run, absl::InfiniteDuration());
  EXPECT_EQ(Waiting(0).estimated_run, absl::InfiniteDuration());
}

TEST_F(stream_size_test, WithoutKnownLengthsThereIsNoEstimate) {
  EXPECT_EQ(Waiting(0).estimated_run, absl::InfiniteDuration());
}

}  // namespace
}  // namespace anvilridge
