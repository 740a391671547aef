#include "dispatch/request_sends.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr send_purpose kPrefill = send_purpose::prefill;
constexpr send_purpose kDecode = send_purpose::decode;

TEST(request_sends_test, AnAcceptedPrefillAndItsDecodeAreOneSend) {
  request_sends sends;
  EXPECT_FALSE(NeedsBudget(sends, kPrefill));
  CountSend(sends, kPrefill);
  sends.prefill_accepted = true;
  EXPECT_FALSE(NeedsBudget(sends, kDecode));
  CountSend(sends, kDecode);
  EXPECT_EQ(ExtraSends(sends), 0);
  EXPECT_TRUE(NeedsBudget(sends, kDecode));
}

// Guards against repeats beyond the send budget while engines fail: a decode
// behind a prefill that was lost is an extra send.
TEST(request_sends_test, ADecodeBehindALostPrefillNeedsBudget) {
  request_sends sends;
  CountSend(sends, kPrefill);
  EXPECT_TRUE(NeedsBudget(sends, kDecode));
  EXPECT_TRUE(NeedsBudget(sends, kPrefill));
}

TEST(request_sends_test, EachLostPrefillCostsOneExtraSend) {
  request_sends sends;
  CountSend(sends, kPrefill);
  EXPECT_TRUE(NeedsBudget(sends, kPrefill));
  ++sends.budgeted;
  CountSend(sends, kPrefill);
  request_sends accepted = sends;
  accepted.prefill_accepted = true;
  EXPECT_FALSE(NeedsBudget(accepted, kDecode));
  EXPECT_TRUE(NeedsBudget(sends, kDecode));
}

TEST(request_sends_test, ASendThatReachedNoUpstreamIsNotCounted) {
  request_sends sends;
  CountSend(sends, kPrefill);
  UncountSend(sends, kPrefill);
  EXPECT_FALSE(NeedsBudget(sends, kPrefill));
  EXPECT_FALSE(NeedsBudget(sends, kDecode));
}

// Guards against attempts that one upstream uses up.
TEST(request_sends_test, AReturnIsNoAttemptButNeedsBudget) {
  request_sends sends;
  CountSend(sends, kDecode);
  EXPECT_TRUE(NeedsBudget(sends, kDecode));
  ++sends.budgeted;
  CountSend(sends, kDecode, /*returns=*/true);
  EXPECT_EQ(sends.attempts, 1);
  EXPECT_EQ(ExtraSends(sends), 1);
  UncountSend(sends, kDecode, /*returns=*/true);
  EXPECT_EQ(sends.attempts, 1);
  EXPECT_EQ(ExtraSends(sends), 0);
}

TEST(request_sends_test, AResumedRunNeedsBudget) {
  request_sends sends;
  CountSend(sends, kDecode);
  EXPECT_TRUE(NeedsBudget(sends, kDecode));
  ++sends.budgeted;
  EXPECT_FALSE(NeedsBudget(sends, kDecode));
}

}  // namespace
}  // namespace anvilridge
