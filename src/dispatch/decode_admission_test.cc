#include "dispatch/decode_admission.h"

#include <algorithm>
#include <map>
#include <optional>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/testing/run_loop.h"
#include "dispatch/stream_order.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr double kKvTokens = 70000;
constexpr double kPrompt = 5000;

class decode_admission_test : public event_loop_test {
 protected:
  decode_admission_test() {
    auto config = std::make_shared<fleet_config>();
    fleet_service& service = config->services["model"];
    service.name = "model";
    service.generates = true;
    service.engine.kv_tokens = static_cast<int64_t>(kKvTokens);
    service.engine.slots = 12;
    auto view = std::make_shared<fleet_view>();
    view->config = config;
    for (const char* id : {"a", "b", "c"}) {
      fleet_upstream engine;
      engine.id = id;
      engine.service = "model";
      engine.slots = 12;
      engine.stage = engine_stage::decode;
      view->upstreams["model"].push_back(engine);
    }
    state_.view = view;
  }

  std::shared_ptr<const fleet_view> OneDecodeEngine() const {
    auto view = std::make_shared<fleet_view>(*state_.view);
    view->upstreams["model"].resize(1);
    return view;
  }

  static waiting_stream Stream(double prompt) {
    waiting_stream stream;
    stream.request_id = "new";
    stream.service = "model";
    stream.prompt = prompt;
    stream.output = 4000;
    stream.gap_target = absl::Milliseconds(300);
    return stream;
  }

  // Returns a stream of which the caller already has `generated` tokens. Its
  // callback records the engine that the daemon with `state` has reserved.
  waiting_stream ResumedStream(const std::string& id, dispatch_state& state,
                               double generated = 3000) {
    waiting_stream stream = Stream(kPrompt);
    stream.request_id = id;
    stream.generated = generated;
    stream.latest_on_time_start = now_ + absl::Milliseconds(500);
    stream.latest_start = now_ + absl::Seconds(3);
    stream.done = [this, &state,
                   id](const absl::StatusOr<engine_reservation>& reservation) {
      ASSERT_TRUE(reservation.ok());
      chosen_[&state].push_back(reservation->decode.id);
      last_admitted_ = id;
    };
    return stream;
  }

  // Queues two resumed streams with one decode engine. "first" is admitted, and
  // "second" waits until the engine has prefilled "first".
  void QueueTwoResumedStreams() {
    state_.view = OneDecodeEngine();
    Run("1", "a", kPrompt);
    AdmitOrQueueStream(state_, ResumedStream("first", state_), now_);
    AdmitOrQueueStream(state_, ResumedStream("second", state_), now_);
  }

  // Records what the engine `id` states about itself.
  void State(const std::string& id, const upstream_statement& statement) {
    fleet_upstream engine;
    engine.id = id;
    RecordStatement(state_.absences, engine, statement, now_);
  }

  std::vector<std::string> UsableIds() {
    std::vector<std::string> ids;
    for (const fleet_upstream* engine :
         UsableUpstreams(state_, "model", {}, now_)) {
      ids.push_back(engine->id);
    }
    return ids;
  }

  void Run(const std::string& id, const std::string& engine, double context) {
    ReserveRun(state_.ledger, id, engine, context, 4000, now_);
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  dispatch_state state_;
  // Decode engines that each daemon has reserved.
  std::map<const dispatch_state*, std::vector<std::string>> chosen_;
  // Id of the stream that was admitted last.
  std::string last_admitted_;
};

// Lost prefills: decode engines must prefill prompts themselves. Guards against
// a second local prefill at an engine, which would make its streams late.
TEST_F(decode_admission_test, LocalPrefillAvoidsAnEngineThatPrefills) {
  Run("1", "a", kPrompt);
  Run("2", "b", 3 * kPrompt);
  Run("3", "c", 4 * kPrompt);
  BeginPrefill(state_.ledger, "1", "a", 2 * kPrompt);
  const auto engine =
      ChooseLocalPrefillEngine(state_, Stream(kPrompt), {}, now_);
  ASSERT_TRUE(engine);
  EXPECT_EQ(engine->id, "b");
}

TEST_F(decode_admission_test, ALongPromptGoesToAnEngineWithoutStreams) {
  Run("1", "a", kPrompt);
  Run("2", "b", kPrompt);
  const auto engine =
      ChooseLocalPrefillEngine(state_, Stream(3 * kPrompt), {}, now_);
  ASSERT_TRUE(engine);
  EXPECT_EQ(engine->id, "c");
}

TEST_F(decode_admission_test, LocalPrefillFallsBackToAnyEngineWithCapacity) {
  for (const char* engine : {"a", "b", "c"}) {
    Run(engine, engine, kPrompt);
    BeginPrefill(state_.ledger, engine, engine, kPrompt);
  }
  EXPECT_TRUE(ChooseLocalPrefillEngine(state_, Stream(kPrompt), {}, now_));
  EXPECT_FALSE(
      ChooseLocalPrefillEngine(state_, Stream(kPrompt), {"a", "b", "c"}, now_));
}

// Burst: a local prefill pauses an engine's other streams, so that prompts wait
// for a prefill engine as long as the wait leaves their own stream on time. Of
// two streams before a backlog of 400 ms, only the one with 300 ms left is
// prefilled locally.
TEST_F(decode_admission_test, PromptsWaitForPrefillWhileTheyAreOnTime) {
  auto view = std::make_shared<fleet_view>(*state_.view);
  fleet_upstream prefill;
  prefill.id = "p";
  prefill.service = "model";
  prefill.slots = 12;
  prefill.stage = engine_stage::prefill;
  view->upstreams["model"].push_back(prefill);
  state_.view = view;
  BeginPrefill(state_.ledger, "1", "p",
               400 * state_.ledger.prefill_tokens_per_ms);
  std::vector<bool> prefilled;
  for (const int left_ms : {500, 300}) {
    waiting_stream stream = Stream(kPrompt);
    stream.request_id = std::to_string(left_ms);
    stream.latest_on_time_start = now_ + absl::Milliseconds(left_ms);
    stream.latest_start = now_ + absl::Seconds(3);
    stream.done = [&](const absl::StatusOr<engine_reservation>& reservation) {
      ASSERT_TRUE(reservation.ok());
      prefilled.push_back(reservation->prefill.has_value());
    };
    AdmitOrQueueStream(state_, std::move(stream), now_);
  }
  EXPECT_EQ(prefilled, (std::vector<bool>{true, false}));
}

// Two kinds of streams compete for one engine: readings that are due within
// 0.8 s and others that are due within 2 s. Guards against the former being
// late behind a queue of the latter, which all have time.
TEST_F(decode_admission_test, AStreamThatIsDueSoonPassesOthersWithTime) {
  state_.view = OneDecodeEngine();
  Run("1", "a", 60000);
  std::vector<std::string> admitted;
  const auto queue = [&](const std::string& id, int due_ms) {
    waiting_stream stream = Stream(kPrompt);
    stream.request_id = id;
    stream.latest_on_time_start = now_ + absl::Milliseconds(due_ms);
    stream.latest_start = now_ + absl::Seconds(9);
    stream.done = [&admitted,
                   id](const absl::StatusOr<engine_reservation>& reservation) {
      if (reservation.ok()) admitted.push_back(id);
    };
    QueueInOrder(state_.waiting, std::move(stream));
  };
  queue("routine-1", 1200);
  queue("routine-2", 1201);
  queue("disputed", 480);
  ASSERT_TRUE(admitted.empty());
  EndRun(state_.ledger, "1");
  now_ += absl::Milliseconds(100);
  AdmitWaiting(state_, now_);
  ASSERT_FALSE(admitted.empty());
  EXPECT_EQ(admitted.front(), "disputed");
}

// Herd: after all daemons have lost power, callers resume their streams at two
// restarted daemons at the same moment, before either daemon has received the
// other's load. Guards against two resumed streams prefilled at one engine.
TEST_F(decode_admission_test, AHerdOfResumedStreamsPrefillsOncePerEngine) {
  dispatch_state other;
  other.view = state_.view;
  state_.name = "d1";
  other.name = "d2";
  state_.ledger.peers["d2"] = {{}, now_};
  other.ledger.peers["d1"] = {{}, now_};
  for (const char* engine : {"a", "b", "c"}) {
    for (dispatch_state* state : {&state_, &other}) {
      ReserveRun(state->ledger, engine, engine, kPrompt, 4000, now_);
    }
  }
  for (int i = 0; i < 4; ++i) {
    AdmitOrQueueStream(state_, ResumedStream(absl::StrCat("x", i), state_),
                       now_);
    AdmitOrQueueStream(other, ResumedStream(absl::StrCat("y", i), other), now_);
  }
  std::vector<std::string> all = chosen_[&state_];
  all.insert(all.end(), chosen_[&other].begin(), chosen_[&other].end());
  std::sort(all.begin(), all.end());
  EXPECT_EQ(all, (std::vector<std::string>{"a", "b", "c"}));
}

TEST_F(decode_admission_test, AResumedStreamBeginsOnceTheOneBeforeIsPrefilled) {
  QueueTwoResumedStreams();
  EXPECT_EQ(last_admitted_, "first");
  now_ += absl::Milliseconds(200);
  state_.ledger.peers.clear();
  AdmitWaiting(state_, now_);
  EXPECT_EQ(last_admitted_, "first");
  AdvanceRun(state_.ledger, "first", kPrompt + 3000, 1000, now_);
  AdmitWaiting(state_, now_);
  EXPECT_EQ(last_admitted_, "second");
}

TEST_F(decode_admission_test, AResumedStreamWaitsForALimitedTime) {
  QueueTwoResumedStreams();
  now_ += absl::Milliseconds(900);
  AdmitWaiting(state_, now_);
  EXPECT_EQ(last_admitted_, "first");
  now_ += absl::Milliseconds(200);
  AdmitWaiting(state_, now_);
  EXPECT_EQ(last_admitted_, "second");
}

TEST_F(decode_admission_test, AStreamRemovedFromTheQueueIsNotAdmitted) {
  QueueTwoResumedStreams();
  RemoveFromQueues(state_, "second");
  AdmitWaiting(state_, now_ + absl::Seconds(2));
  EXPECT_EQ(last_admitted_, "first");
}

// Guards against work for engines that are absent by their own statement when
// no other engine is left: engines that merely fail are used then.
TEST_F(decode_admission_test, AbsentEnginesAreNoLastResort) {
  State("a", {.leaving = true});
  State("b", {.pause = absl::Seconds(1)});
  RecordConnectFailure(state_.unavailable_upstreams, EngineKey("c"), now_);
  EXPECT_EQ(UsableIds(), std::vector<std::string>{"c"});
  State("c", {.pause = absl::Seconds(2)});
  // Neither the end of the router's own pause nor an accepted request ends an
  // absence.
  RecordAccepted(state_.unavailable_upstreams, EngineKey("b"));
  EXPECT_TRUE(UsableIds().empty());
  EXPECT_EQ(EarliestReturn(state_, "model", engine_stage::decode, now_),
            now_ + absl::Seconds(1));
  now_ += absl::Seconds(1);
  EXPECT_EQ(UsableIds(), std::vector<std::string>{"b"});
  EXPECT_FALSE(EarliestReturn(state_, "model", engine_stage::decode, now_));
}

// Guards against each daemon sending a request of its own to find out that an
// engine leaves. Such an engine remains the last resort: it has told this
// daemon nothing.
TEST_F(decode_admission_test, EnginesThatPeersReportAsLeavingAreAvoided) {
  stated_absences told;
  fleet_upstream engine;
  engine.id = "a";
  RecordStatement(told, engine, {.leaving = true}, now_);
  for (const uint32_t key : LeavingInstances(told)) {
    RecordReportedDeparture(state_.reported_leaving, key, now_);
  }
  EXPECT_EQ(UsableIds(), (std::vector<std::string>{"b", "c"}));
  State("b", {.leaving = true});
  State("c", {.leaving = true});
  EXPECT_EQ(UsableIds(), std::vector<std::string>{"a"});
  // Another instance that has started under the same id.
  engine.started_ms = 7;
  EXPECT_FALSE(IsReportedLeaving(state_.reported_leaving, engine, now_));
}

// Guards against a stream behind all queued ones since the engine that it had
// reserved has left.
TEST_F(decode_admission_test, AStreamWhoseEngineLeavesKeepsItsTurn) {
  state_.view = OneDecodeEngine();
  State("a", {.pause = absl::Milliseconds(400)});
  for (const char* id : {"second", "third"}) {
    waiting_stream stream = ResumedStream(id, state_, 0);
    AdmitOrQueueStream(state_, std::move(stream), now_);
  }
  EXPECT_EQ(state_.waiting.size(), 2u);
  AdmitOrQueueFirst(state_, ResumedStream("first", state_, 0), now_);
  EXPECT_EQ(state_.waiting.size(), 3u);
  EXPECT_EQ(state_.waiting.front().request_id, "first");
  AdmitWaiting(state_, now_ + absl::Milliseconds(300));
  EXPECT_EQ(last_admitted_, "");
  now_ += absl::Milliseconds(400);
  AdmitWaiting(state_, now_);
  EXPECT_EQ(chosen_[&state_].size(), 3u);
}

// Guards against streams that wait in vain: queued ones too are refused at
// once, with the time of return, when their engines return too late.
TEST_F(decode_admission_test, StreamsThatCannotWaitForAReturnAreRefused) {
  state_.view = OneDecodeEngine();
  State("a", {.pause = absl::Milliseconds(400)});
  absl::Status error;
  waiting_stream stream = ResumedStream("queued", state_, 0);
  stream.done = [&error](const absl::StatusOr<engine_reservation>& result) {
    error = result.status();
  };
  AdmitOrQueueStream(state_, stream, now_);
  EXPECT_EQ(state_.waiting.size(), 1u);
  State("a", {.pause = absl::Seconds(9)});
  AdmitWaiting(state_, now_ + absl::Milliseconds(20));
  EXPECT_TRUE(state_.waiting.empty());
  EXPECT_GT(RetryAfterOf(error), absl::Milliseconds(8900));
  for (const double generated : {0, 3000}) {
    error = absl::OkStatus();
    stream.generated = generated;
    AdmitOrQueueStream(state_, stream, now_);
    EXPECT_GT(RetryAfterOf(error), absl::Milliseconds(8900));
  }
}

// Guards against a stream that begins at a free engine although not even a
// short output can be generated by its time limit; in the queue it is refused.
TEST_F(decode_admission_test, AStreamWithoutTimeIsNotBegunAtAFreeEngine) {
  std::optional<absl::Status> end;
  waiting_stream stream = Stream(kPrompt);
  stream.deadline = now_ + absl::Milliseconds(400);
  stream.latest_on_time_start = now_ + absl::Milliseconds(300);
  stream.shortest_run = absl::Seconds(3);
  stream.done = [&end](const absl::StatusOr<engine_reservation>& result) {
    end = result.status();
  };
  AdmitOrQueueStream(state_, stream, now_);
  ASSERT_TRUE(end.has_value());
  EXPECT_FALSE(end->ok());
}

}  // namespace
}  // namespace anvilridge
