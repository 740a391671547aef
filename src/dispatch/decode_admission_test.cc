#include "dispatch/decode_admission.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "base/testing/run_loop.h"
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

  // A stream whose caller has a part of it already.
  waiting_stream Resumed(const std::string& id, dispatch_state& at,
                         double generated = 3000) {
    waiting_stream stream = Stream(kPrompt);
    stream.request_id = id;
    stream.generated = generated;
    stream.start_by = now_ + absl::Milliseconds(500);
    stream.give_up = now_ + absl::Seconds(3);
    stream.done = [this, &at,
                   id](const absl::StatusOr<engine_promise>& promise) {
      ASSERT_TRUE(promise.ok());
      chosen_[&at].push_back(promise->decode.id);
      last_ = id;
    };
    return stream;
  }

  // The first is admitted, and the second waits until it has been read.
  void TwoGoOnAtOneEngine() {
    state_.view = OneDecodeEngine();
    Run("1", "a", kPrompt);
    AwaitEngines(state_, Resumed("first", state_), now_);
    AwaitEngines(state_, Resumed("second", state_), now_);
  }

  void Run(const std::string& id, const std::string& engine, double context) {
    PromiseRun(state_.ledger, id, engine, context, 4000, now_);
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  dispatch_state state_;
  // Decode engines by the daemon that chose them, and who was admitted last.
  std::map<const dispatch_state*, std::vector<std::string>> chosen_;
  std::string last_;
};

// Lost prefills: decode engines must read prompts themselves. One that reads
// already would make its streams late.
TEST_F(decode_admission_test, AReaderIsOneThatReadsNothingElse) {
  Run("1", "a", kPrompt);
  Run("2", "b", 3 * kPrompt);
  Run("3", "c", 4 * kPrompt);
  BeginPrefill(state_.ledger, "1", "a", 2 * kPrompt);
  const auto reader = PromiseReader(state_, Stream(kPrompt), {}, now_);
  ASSERT_TRUE(reader);
  EXPECT_EQ(reader->id, "b");
}

TEST_F(decode_admission_test, ALongPromptGoesToAnEngineWithoutStreams) {
  Run("1", "a", kPrompt);
  Run("2", "b", kPrompt);
  const auto reader = PromiseReader(state_, Stream(3 * kPrompt), {}, now_);
  ASSERT_TRUE(reader);
  EXPECT_EQ(reader->id, "c");
}

TEST_F(decode_admission_test, WithoutAQuietReaderAnyWithRoomIsTaken) {
  for (const char* engine : {"a", "b", "c"}) {
    Run(engine, engine, kPrompt);
    BeginPrefill(state_.ledger, engine, engine, kPrompt);
  }
  EXPECT_TRUE(PromiseReader(state_, Stream(kPrompt), {}, now_));
  EXPECT_FALSE(PromiseReader(state_, Stream(kPrompt), {"a", "b", "c"}, now_));
}

// Burst: a queue for prefill that a stream can bear is no reason to make others
// pause.
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
    stream.start_by = now_ + absl::Milliseconds(left_ms);
    stream.give_up = now_ + absl::Seconds(3);
    stream.done = [&](const absl::StatusOr<engine_promise>& promise) {
      ASSERT_TRUE(promise.ok());
      prefilled.push_back(promise->prefill.has_value());
    };
    AwaitEngines(state_, std::move(stream), now_);
  }
  EXPECT_EQ(prefilled, (std::vector<bool>{true, false}));
}

// Herd: all daemons lost power, and the callers ask both new ones for the rest
// of their streams at the same moment. Neither knows yet what the other does.
TEST_F(decode_admission_test, AHerdOfResumedStreamsReadsOnceAtEachEngine) {
  dispatch_state other;
  other.view = state_.view;
  state_.name = "d1";
  other.name = "d2";
  state_.ledger.peers["d2"] = {{}, now_};
  other.ledger.peers["d1"] = {{}, now_};
  for (const char* engine : {"a", "b", "c"}) {
    for (dispatch_state* at : {&state_, &other}) {
      PromiseRun(at->ledger, engine, engine, kPrompt, 4000, now_);
    }
  }
  for (int i = 0; i < 4; ++i) {
    AwaitEngines(state_, Resumed(absl::StrCat("x", i), state_), now_);
    AwaitEngines(other, Resumed(absl::StrCat("y", i), other), now_);
  }
  std::vector<std::string> all = chosen_[&state_];
  all.insert(all.end(), chosen_[&other].begin(), chosen_[&other].end());
  std::sort(all.begin(), all.end());
  EXPECT_EQ(all, (std::vector<std::string>{"a", "b", "c"}));
}

TEST_F(decode_admission_test, AResumedStreamTakesTheTurnOfOneThatHasBeenRead) {
  TwoGoOnAtOneEngine();
  EXPECT_EQ(last_, "first");
  now_ += absl::Milliseconds(200);
  state_.ledger.peers.clear();
  AdmitWaiting(state_, now_);
  EXPECT_EQ(last_, "first");
  AdvanceRun(state_.ledger, "first", kPrompt + 3000, 1000, now_);
  AdmitWaiting(state_, now_);
  EXPECT_EQ(last_, "second");
}

TEST_F(decode_admission_test, AResumedStreamDoesNotWaitForQuietForEver) {
  TwoGoOnAtOneEngine();
  now_ += absl::Milliseconds(900);
  AdmitWaiting(state_, now_);
  EXPECT_EQ(last_, "first");
  now_ += absl::Milliseconds(200);
  AdmitWaiting(state_, now_);
  EXPECT_EQ(last_, "second");
}

TEST_F(decode_admission_test, ACallerThatLeavesWaitsNoMore) {
  TwoGoOnAtOneEngine();
  LeaveQueue(state_, "second");
  AdmitWaiting(state_, now_ + absl::Seconds(2));
  EXPECT_EQ(last_, "first");
}

}  // namespace
}  // namespace anvilridge
