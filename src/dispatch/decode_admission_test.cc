#include "dispatch/decode_admission.h"

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

  static waiting_stream Stream(double prompt) {
    waiting_stream stream;
    stream.request_id = "new";
    stream.service = "model";
    stream.prompt = prompt;
    stream.output = 4000;
    stream.gap_target = absl::Milliseconds(300);
    return stream;
  }

  void Run(const std::string& id, const std::string& engine, double context) {
    PromiseRun(state_.ledger, id, engine, context, 4000, now_);
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  dispatch_state state_;
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

}  // namespace
}  // namespace anvilridge
