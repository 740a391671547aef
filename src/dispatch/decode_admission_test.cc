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

}  // namespace
}  // namespace anvilridge
