#include "dispatch/stage_plan.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kSwitch = absl::Seconds(6);

// Returns a workload of streams with a prompt of 5,200 tokens and an output of
// 5,000, on engines that prefill 55 tokens per millisecond and generate 1.4.
stream_workload Workload() {
  stream_workload workload;
  workload.streams = 40;
  workload.mean_prompt = 5200;
  workload.mean_output = 5000;
  workload.prefill_tokens_per_ms = 55;
  workload.decode_tokens_per_ms = 1.4;
  workload.kv_tokens = 75000;
  workload.slots = 12;
  return workload;
}

std::vector<fleet_upstream> Engines(int prefill, int decode) {
  std::vector<fleet_upstream> engines;
  for (int i = 0; i < prefill + decode; ++i) {
    fleet_upstream engine;
    engine.id = "e" + std::to_string(i);
    engine.failure_domain = i % 2 == 0 ? "a" : "b";
    engine.stage = i < prefill ? engine_stage::prefill : engine_stage::decode;
    engines.push_back(engine);
  }
  return engines;
}

class stage_plan_test : public testing::Test {
 protected:
  std::optional<stage_change> Plan(const std::vector<fleet_upstream>& engines) {
    return PlanStageChange(steering_, workload_, engines, kSwitch, now_);
  }
  // Plans every 250 ms and returns the first change within `time`.
  std::optional<stage_change> PlanWithin(
      const std::vector<fleet_upstream>& engines, absl::Duration time) {
    for (const absl::Time end = now_ + time; now_ < end;
         now_ += absl::Milliseconds(250)) {
      if (auto change = Plan(engines)) return change;
    }
    return std::nullopt;
  }

  stage_steering steering_;
  stream_workload workload_ = Workload();
  absl::Time now_ = absl::FromUnixSeconds(1000);
};

TEST_F(stage_plan_test, BalancesBothStages) {
  // A stream takes 104 ms of a prefill engine's time, and a decode engine's
  // memory for 360 ms.
  EXPECT_NEAR(PrefillShare(workload_), 0.22, 0.03);
  workload_.mean_output = 500;
  EXPECT_GT(PrefillShare(workload_), 0.6);
  workload_ = Workload();
  workload_.mean_prompt = 300;
  EXPECT_LT(PrefillShare(workload_), 0.05);
}

TEST_F(stage_plan_test, ChangesSurplusPrefillEnginesOneByOne) {
  const auto change = PlanWithin(Engines(5, 9), absl::Seconds(2));
  ASSERT_TRUE(change.has_value());
  EXPECT_EQ(change->stage, engine_stage::decode);
  EXPECT_EQ(change->engine.stage, engine_stage::prefill);
}

TEST_F(stage_plan_test, ChangesNothingWhenStagesAreBalanced) {
  EXPECT_FALSE(PlanWithin(Engines(3, 11), absl::Seconds(30)).has_value());
}

TEST_F(stage_plan_test, ChangesNothingBeforeTheTargetHasSettled) {
  EXPECT_FALSE(Plan(Engines(5, 9)).has_value());
  now_ += absl::Milliseconds(500);
  EXPECT_FALSE(Plan(Engines(5, 9)).has_value());
}

TEST_F(stage_plan_test, DoesNotChangeBackBeforeTheLastEngineIsBack) {
  ASSERT_TRUE(PlanWithin(Engines(5, 9), absl::Seconds(2)).has_value());
  workload_.mean_output = 500;
  const absl::Time changed = now_;
  ASSERT_TRUE(PlanWithin(Engines(3, 11), absl::Seconds(20)).has_value());
  EXPECT_GE(now_ - changed, kSwitch);
}

TEST_F(stage_plan_test, KeepsOneEngineOfEachStage) {
  workload_.mean_prompt = 1;
  for (int prefill = 2; prefill > 1; --prefill) {
    PlanWithin(Engines(prefill, 2), absl::Seconds(5));
  }
  EXPECT_FALSE(PlanWithin(Engines(1, 3), absl::Seconds(30)).has_value());
}

TEST_F(stage_plan_test, ChangesNothingAfterFewStreams) {
  workload_.streams = 3;
  EXPECT_FALSE(PlanWithin(Engines(5, 9), absl::Seconds(30)).has_value());
}

TEST_F(stage_plan_test, DrainingEnginesDoNotCount) {
  std::vector<fleet_upstream> engines = Engines(5, 9);
  engines[0].draining = true;
  engines[1].draining = true;
  EXPECT_FALSE(PlanWithin(engines, absl::Seconds(30)).has_value());
}

}  // namespace
}  // namespace anvilridge
