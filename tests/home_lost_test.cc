#include "gtest/gtest.h"
#include "harness/fleet.h"

namespace anvilridge {
namespace {

constexpr int kRequests = 10;

// Three of four daemons are homes of most engines; the survivor answers asks in
// their place before membership has noticed that they are gone.
TEST(home_lost_test, SurvivorServesAtOnceWhenTheHomesAreKilled) {
  fleet_options options;
  options.daemons = 4;
  options.prefill_engines = 2;
  options.decode_engines = 2;
  fleet fleet(options);
  for (size_t i = 0; i < 3; ++i) fleet.daemons[i].process->Kill();
  for (int i = 0; i < kRequests; ++i) {
    const test_answer answer =
        Post(fleet.daemons[3].caller, "/v1/completions",
             fleet::Completion("A short note.", 2, /*stream=*/false),
             fleet.Caller());
    EXPECT_EQ(answer.status, 200) << i << ": " << answer.body;
  }
}

}  // namespace
}  // namespace anvilridge
