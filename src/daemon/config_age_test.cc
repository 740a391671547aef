#include "daemon/config_age.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(config_age_test, CountsFromTheFirstOffsetThatIsMissed) {
  struct step {
    int second;
    int64_t in_force;
    int64_t latest;
    int age_seconds;
  };
  const step steps[] = {{0, 5, 5, 0}, {1, 5, 7, 0},  {3, 5, 9, 2},
                        {4, 6, 9, 3}, {5, 7, 9, 0},  {8, 8, 9, 3},
                        {9, 9, 9, 0}, {20, 9, 9, 0}, {21, 9, 4, 0}};
  config_age age;
  for (const step& s : steps) {
    const absl::Time now = absl::FromUnixSeconds(1000 + s.second);
    NoteOffsets(age, s.in_force, s.latest, now);
    EXPECT_EQ(AgeOf(age, now), absl::Seconds(s.age_seconds)) << s.second;
  }
}

}  // namespace
}  // namespace anvilridge
