#include "model_loads/engine_orders.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'000'000);

upstream_order Load(std::string version, int64_t fence,
                    std::string adapter = "") {
  return {order_kind::load,   "m",  std::move(version), std::move(adapter),
          pool_role::service, fence};
}

upstream_order Role(pool_role role, int64_t fence) {
  return {order_kind::role, "", "", "", role, fence};
}

// Simulates an engine and its home in virtual time; every call succeeds at
// once.
class engine_orders_test : public testing::Test {
 protected:
  engine_orders_test() { engine_.name = "e1"; }

  // Carries out one step every 250 ms for `span`; returns the `fetch` and
  // `send` steps in order.
  std::vector<step_kind> RunFor(absl::Duration span) {
    std::vector<step_kind> done;
    const absl::Time end = now_ + span;
    for (; now_ < end; now_ += absl::Milliseconds(250)) {
      UpdateOrders(state_, engine_);
      const order_step step = Next();
      if (step.kind == step_kind::fetch || step.kind == step_kind::send) {
        done.push_back(step.kind);
        sent_fences_.push_back(step.order.fence);
      }
      Apply(step);
    }
    UpdateOrders(state_, engine_);
    return done;
  }

  order_step Next() const {
    return NextStep(state_, engine_, limits_, policy_, now_);
  }

  void Apply(const order_step& step) {
    order_record* record =
        step.order.fence == 0 ? nullptr : &state_.orders.at(step.order.fence);
    switch (step.kind) {
      case step_kind::none:
        return;
      case step_kind::poll_info:
        state_.info_polled_at = now_;
        state_.info = reported_info_;
        return;
      case step_kind::fetch:
        record->delivered = true;
        return;
      case step_kind::leave:
        state_.leaving_since = now_;
        return;
      case step_kind::count_requests:
        state_.requests_counted_at = now_;
        state_.request_count = request_count_;
        return;
      case step_kind::send:
        record->stage =
            IsVisibleInInfo(step.order) ? order_stage::sent : order_stage::done;
        record->sent_at = now_;
        if (orders_take_effect_) ApplyEffect(step.order);
        return;
    }
  }

  void ApplyEffect(const upstream_order& order) {
    if (order.kind == order_kind::role) reported_info_.role = "decode";
    const bool is_model_load =
        order.kind == order_kind::load && order.adapter.empty();
    if (is_model_load) reported_info_.version = order.model_version;
  }

  order_stage StageOf(int64_t fence) const {
    return state_.orders.at(fence).stage;
  }

  absl::Time now_ = kStart;
  order_policy policy_;
  order_limits limits_;
  upstream_config engine_;
  engine_order_state state_;
  engine_info reported_info_ = {"m", "1", "prefill"};
  int request_count_ = 0;
  bool orders_take_effect_ = true;
  std::vector<int64_t> sent_fences_;
};

using steps = std::vector<step_kind>;

TEST_F(engine_orders_test, LoadIsFetchedThenSentToAnEmptyEngineThenServed) {
  engine_.orders = {Load("2", 5)};
  request_count_ = 3;
  EXPECT_EQ(RunFor(absl::Seconds(10)), steps{step_kind::fetch});
  EXPECT_TRUE(state_.leaving_since.has_value());
  request_count_ = 0;
  EXPECT_EQ(RunFor(absl::Seconds(10)), steps{step_kind::send});
  EXPECT_EQ(StageOf(5), order_stage::done);
  EXPECT_FALSE(state_.leaving_since.has_value());
}

TEST_F(engine_orders_test, NoOrderIsSentBeforeLeavingReachesAllDaemons) {
  engine_.orders = {Role(pool_role::decode, 5)};
  EXPECT_TRUE(RunFor(policy_.leave_propagation_time).empty());
  EXPECT_TRUE(state_.leaving_since.has_value());
  EXPECT_EQ(RunFor(absl::Seconds(1)), steps{step_kind::send});
}

TEST_F(engine_orders_test, NewHomeCarriesOutOnlyOrdersNotYetInEffect) {
  engine_.orders = {Load("1", 5), Role(pool_role::decode, 6)};
  EXPECT_EQ(RunFor(absl::Seconds(10)), steps{step_kind::send});
  EXPECT_EQ(sent_fences_, std::vector<int64_t>{6});
  EXPECT_EQ(StageOf(5), order_stage::done);
}

TEST_F(engine_orders_test, OrdersAreSentOldestFirstAndOnlyTheLatestLoad) {
  upstream_order other = Load("9", 4);
  other.model = "previous";
  engine_.orders = {Role(pool_role::decode, 8), other, Load("2", 7),
                    Load("2", 6, "adapter")};
  RunFor(absl::Seconds(30));
  EXPECT_EQ(sent_fences_, (std::vector<int64_t>{6, 6, 7, 7, 8}));
}

TEST_F(engine_orders_test, OrderWithoutEffectIsResentUntilInfoShowsIt) {
  engine_.orders = {Role(pool_role::decode, 5)};
  orders_take_effect_ = false;
  EXPECT_EQ(RunFor(policy_.resend_after).size(), 1U);
  EXPECT_EQ(RunFor(policy_.resend_after).size(), 1U);
  EXPECT_EQ(StageOf(5), order_stage::sent);
  reported_info_.role = "decode";
  RunFor(absl::Seconds(1));
  EXPECT_EQ(StageOf(5), order_stage::done);
}

TEST_F(engine_orders_test, OrderIsSentAgainAfterItsEffectIsUndone) {
  engine_.orders = {Role(pool_role::decode, 5)};
  RunFor(absl::Seconds(10));
  ASSERT_EQ(StageOf(5), order_stage::done);
  reported_info_.role = "prefill";
  EXPECT_EQ(RunFor(absl::Seconds(20)), steps{step_kind::send});
  EXPECT_EQ(StageOf(5), order_stage::done);
}

TEST_F(engine_orders_test, RefusedOrderIsNotRetriedAndTheEngineStaysLeaving) {
  engine_.orders = {Role(pool_role::decode, 5)};
  orders_take_effect_ = false;
  RunFor(absl::Seconds(3));
  state_.orders.at(5).stage = order_stage::refused;
  EXPECT_TRUE(RunFor(absl::Minutes(2)).empty());
  EXPECT_TRUE(state_.leaving_since.has_value());
}

TEST_F(engine_orders_test, LimitsDelayFetchesAndLoadsButNotRoleChanges) {
  engine_.orders = {Load("2", 5)};
  limits_.can_fetch = false;
  EXPECT_TRUE(RunFor(absl::Seconds(5)).empty());
  limits_ = {true, true, false};
  EXPECT_EQ(RunFor(absl::Seconds(5)), steps{step_kind::fetch});
  EXPECT_FALSE(state_.leaving_since.has_value());
  engine_.orders = {Role(pool_role::decode, 6)};
  EXPECT_EQ(RunFor(absl::Seconds(5)), steps{step_kind::send});
}

TEST_F(engine_orders_test, FailedOrdersAreRetriedWithGrowingDelays) {
  engine_.orders = {Load("2", 5)};
  UpdateOrders(state_, engine_);
  for (const int seconds : {1, 2, 4, 8, 16, 30, 30}) {
    RecordFailure(state_, 5, policy_, now_);
    EXPECT_EQ(state_.orders.at(5).retry_at - now_, absl::Seconds(seconds));
  }
  state_.info = reported_info_;
  state_.info_polled_at = now_;
  EXPECT_EQ(Next().kind, step_kind::none);
}

}  // namespace
}  // namespace anvilridge
