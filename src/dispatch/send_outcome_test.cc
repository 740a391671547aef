#include "dispatch/send_outcome.h"

#include "base/error_kind.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

http_result Ended(absl::Status status, int http_status = 200) {
  http_result result;
  result.status = std::move(status);
  result.http_status = http_status;
  return result;
}

TEST(send_outcome_test, OnlyACompleteAuthenticResponseCountsAsAnswered) {
  EXPECT_EQ(ClassifySend(Ended(absl::OkStatus()), {.authentic = true}),
            send_outcome::answered);
  EXPECT_EQ(ClassifySend(Ended(absl::OkStatus()), {}), send_outcome::unknown);
  EXPECT_EQ(ClassifySend(Ended(MakeError(error_kind::upstream_failed, "",
                                         run_state::unknown)),
                         {.authentic = true}),
            send_outcome::unknown);
}

TEST(send_outcome_test, IsRefusedOnlyIfTheUpstreamReportsItDidNotRunIt) {
  EXPECT_EQ(ClassifySend(Ended(absl::OkStatus(), 503), {.not_run = true}),
            send_outcome::refused);
  EXPECT_EQ(
      ClassifySend(Ended(absl::OkStatus(), 421), {.other_instance = true}),
      send_outcome::refused);
  EXPECT_EQ(ClassifySend(Ended(absl::OkStatus(), 503), {}),
            send_outcome::unknown);
  // The headers say that the request was not run, but the response is
  // incomplete.
  EXPECT_EQ(ClassifySend(Ended(MakeError(error_kind::upstream_failed, "",
                                         run_state::unknown),
                               503),
                         {.not_run = true}),
            send_outcome::unknown);
}

TEST(send_outcome_test, IsUnsentIfNoConnectionWasEstablished) {
  EXPECT_EQ(ClassifySend(Ended(MakeError(error_kind::upstream_stalled, "",
                                         run_state::not_run),
                               0),
                         {}),
            send_outcome::unsent);
}

// A request that must run at most once is neither sent again nor reported as
// not run once it may have run.
TEST(send_outcome_test, AtMostOnceHoldsWhateverIsLeft) {
  retry_context retry;
  retry.rule = run_rule::at_most_once;
  retry.max_sends = 9;
  for (const int status : {0, 200, 500, 503, 504}) {
    EXPECT_EQ(DecideNextStep(send_outcome::unknown, status, retry),
              next_step::fail);
    EXPECT_EQ(DecideNextStep(send_outcome::answered, status, retry),
              next_step::deliver);
  }
  retry.may_have_run = true;
  retry.has_other_upstream = false;
  EXPECT_EQ(DecideNextStep(send_outcome::refused, 503, retry), next_step::fail);
  EXPECT_EQ(DecideNextStep(send_outcome::unsent, 0, retry), next_step::fail);
}

TEST(send_outcome_test, ARefusedRequestIsSentAgainWithinMaxSendsAndBudget) {
  retry_context retry;
  retry.sends = 1;
  retry.max_sends = 2;
  EXPECT_EQ(DecideNextStep(send_outcome::refused, 503, retry),
            next_step::send_again);
  retry.sends = 2;
  EXPECT_EQ(DecideNextStep(send_outcome::refused, 503, retry),
            next_step::refuse);
  retry.sends = 1;
  retry.has_budget = false;
  EXPECT_EQ(DecideNextStep(send_outcome::refused, 503, retry),
            next_step::refuse);
}

TEST(send_outcome_test, AnUnsentRequestUsesNeitherSendsNorBudget) {
  retry_context retry;
  retry.sends = 1;
  retry.max_sends = 1;
  retry.has_budget = false;
  EXPECT_EQ(DecideNextStep(send_outcome::unsent, 0, retry),
            next_step::send_again);
  retry.has_other_upstream = false;
  EXPECT_EQ(DecideNextStep(send_outcome::unsent, 0, retry), next_step::refuse);
}

TEST(send_outcome_test, ARepeatableRequestIsSentAgainAfterAFailure) {
  retry_context retry;
  retry.rule = run_rule::repeatable;
  retry.sends = 1;
  retry.max_sends = 2;
  EXPECT_EQ(DecideNextStep(send_outcome::unknown, 0, retry),
            next_step::send_again);
  EXPECT_EQ(DecideNextStep(send_outcome::answered, 500, retry),
            next_step::send_again);
  EXPECT_EQ(DecideNextStep(send_outcome::answered, 404, retry),
            next_step::deliver);
  retry.sends = 2;
  EXPECT_EQ(DecideNextStep(send_outcome::answered, 500, retry),
            next_step::deliver);
  EXPECT_EQ(DecideNextStep(send_outcome::unknown, 0, retry), next_step::fail);
}

}  // namespace
}  // namespace anvilridge
