#include "planning/recorded_day.h"

#include <sstream>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr char kLog[] =
    R"(a line of another kind
1.0 d1 {"event":"upstream_entry","upstream":"e1","stage":1,"time":"x"}
1.0 d2 {"event":"upstream_entry","upstream":"e1","stage":1}
1.1 d1 {"event":"upstream_entry","upstream":"e2","stage":2}
1.2 d1 {"event":"upstream_entry","upstream":"s1","stage":0}
2.0 d1 {"event":"upstream_entry_removed","upstream":"e1"}
5.0 d1 {"event":"engines_chosen","request":"a","prompt":100,"output":700,"waited_ms":500}
6.5 d1 {"event":"request_answered","request":"a","events":4,"first_event_ms":800,"ms":2000}
7.0 d1 {"event":"request_refused","request":"b","prompt":300,"ms":0}
8.0 d2 {"event":"engines_chosen","request":"b","prompt":300,"output":900,"waited_ms":0}
9.0 d2 {"event":"stream_broken","request":"b","events":1,"first_event_ms":100,"ms":1000}
9.5 d2 {"event":"request_refused","request":"c","prompt":50,"ms":0}
9.6 d2 {"event":"request_answered","request":"call","status":200,"ms":3}
)";

TEST(recorded_day_test, StreamsAndEnginesAreReadFromTheLogs) {
  std::stringstream log(kLog);
  const recorded_day day = ReadRecordedDay(log, 10, absl::Milliseconds(900));
  EXPECT_EQ(day.engines, 2);
  ASSERT_EQ(day.arrivals.size(), 3u);
  // Request `a` was answered: its output is the 4 events of 10 tokens it
  // received. It began 800 ms after its arrival.
  EXPECT_EQ(day.arrivals[0].arrived_at,
            absl::UnixEpoch() + absl::Milliseconds(4500));
  EXPECT_EQ(day.arrivals[0].prompt_tokens, 100);
  EXPECT_EQ(day.arrivals[0].output_tokens, 40);
  // Request `b` was refused, repeated and then broken off: it keeps its first
  // arrival and gets its expected output length.
  EXPECT_EQ(day.arrivals[1].arrived_at, absl::UnixEpoch() + absl::Seconds(7));
  EXPECT_EQ(day.arrivals[1].output_tokens, 900);
  // Request `c` was only refused: it gets the mean length of the complete
  // responses.
  EXPECT_EQ(day.arrivals[2].output_tokens, 40);
  EXPECT_EQ(day.begun_on_time, 1);
}

TEST(recorded_day_test, TimeFieldIsUsedWithoutALeadingTimestamp) {
  std::stringstream log(
      R"({"event":"request_refused","request":"b","prompt":3,"ms":0,)"
      R"("time":"2026-01-01T00:00:01.500Z"})"
      "\n{broken\n");
  const recorded_day day = ReadRecordedDay(log, 10, absl::Milliseconds(900));
  ASSERT_EQ(day.arrivals.size(), 1u);
  EXPECT_EQ(absl::ToUnixMillis(day.arrivals[0].arrived_at) % 60'000, 1500);
}

}  // namespace
}  // namespace anvilridge
