#include "dispatch/stream_order.h"

#include <string>
#include <vector>

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

const absl::Time kNow = absl::FromUnixSeconds(1000);

waiting_stream Stream(const std::string& id, int due_ms, int priority = 5) {
  waiting_stream stream;
  stream.request_id = id;
  stream.latest_on_time_start = kNow + absl::Milliseconds(due_ms);
  stream.priority = priority;
  return stream;
}

std::vector<std::string> Ids(const std::list<waiting_stream>& queue) {
  std::vector<std::string> ids;
  for (const waiting_stream& stream : queue) ids.push_back(stream.request_id);
  return ids;
}

// A burst of streams that are due in 2 s, and one that is due in 0.8 s: guards
// against a queue in which the latter gets late behind the former.
TEST(stream_order_test, TheStreamThatIsDueFirstIsServedFirst) {
  std::list<waiting_stream> queue;
  QueueInOrder(queue, Stream("routine-1", 1200));
  QueueInOrder(queue, Stream("routine-2", 1210));
  EXPECT_EQ(StreamsAhead(queue, Stream("audit", 480)), 0u);
  QueueInOrder(queue, Stream("audit", 480));
  EXPECT_EQ(StreamsAhead(queue, Stream("routine-3", 1220)), 3u);
  EXPECT_THAT(Ids(queue), ElementsAre("audit", "routine-1", "routine-2"));
}

// Guards against a change for deployments with one target and priority.
TEST(stream_order_test, EqualStreamsAreServedInOrderOfArrival) {
  std::list<waiting_stream> queue;
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(StreamsAhead(queue, Stream("", 500 + i)), queue.size());
    QueueInOrder(queue, Stream(std::to_string(i), 500 + i));
  }
  EXPECT_THAT(Ids(queue), ElementsAre("0", "1", "2", "3"));
}

TEST(stream_order_test, AnUrgentStreamPassesOthersOfTheSameAge) {
  std::list<waiting_stream> queue;
  QueueInOrder(queue, Stream("low", 500, 9));
  QueueInOrder(queue, Stream("high", 510, 0));
  EXPECT_THAT(Ids(queue), ElementsAre("high", "low"));
}

// Guards against streams that are passed by for ever.
TEST(stream_order_test, TheLeastUrgentStreamIsServedOnceItHasWaited) {
  std::list<waiting_stream> queue;
  QueueInOrder(queue, Stream("low", 500, 9));
  QueueInOrder(queue, Stream("later", 1000, 0));
  EXPECT_THAT(Ids(queue), ElementsAre("low", "later"));
}

// A stream whose reserved engine has left keeps its turn.
TEST(stream_order_test, NothingPassesStreamsThatGoFirst) {
  std::list<waiting_stream> queue;
  waiting_stream first = Stream("first", 5000);
  first.goes_first = true;
  queue.push_front(first);
  QueueInOrder(queue, Stream("urgent", 100, 0));
  EXPECT_THAT(Ids(queue), ElementsAre("first", "urgent"));
}

// Guards against a late stream that blocks the queue behind one that isn't.
TEST(stream_order_test, MovesLateStreamsWhereverTheyWait) {
  std::list<waiting_stream> queue;
  std::list<waiting_stream> late;
  queue.push_back(Stream("on-time", 100));
  queue.push_back(Stream("late", -1));
  queue.push_back(Stream("also-on-time", 200));
  MoveLateStreams(queue, late, kNow);
  EXPECT_THAT(Ids(queue), ElementsAre("on-time", "also-on-time"));
  EXPECT_THAT(Ids(late), ElementsAre("late"));
  MoveLateStreams(queue, late, kNow + absl::Seconds(1));
  EXPECT_THAT(Ids(queue), IsEmpty());
}

}  // namespace
}  // namespace anvilridge
