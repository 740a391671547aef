#include "fleet/topic_follower.h"

#include <deque>

#include "base/testing/run_loop.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

// A topic whose answers the test writes.
class topic_follower_test : public event_loop_test {
 protected:
  topic_follower_test() {
    topic_calls calls;
    calls.list = [this](auto done) {
      ++lists_;
      if (lists_fail_ > 0) {
        --lists_fail_;
        return done(absl::UnavailableError("away"));
      }
      done(record_listing{{{"a", "1", 4}}, 5});
    };
    calls.read = [this](int64_t from, auto done) {
      reads_.push_back(from);
      if (answers_.empty()) {
        pending_ = done;
        return;
      }
      const auto answer = answers_.front();
      answers_.pop_front();
      done(answer);
    };
    topic_events events;
    events.on_listing = [this](const record_listing&) { ++listings_; };
    events.on_batch = [this](const record_batch& batch) {
      for (const keyed_record& record : batch.records) {
        seen_.push_back(record.offset);
      }
    };
    events.on_lost = [this](const absl::Status&) { ++lost_; };
    events.on_returned = [this] { ++returned_; };
    follower_ = std::make_unique<topic_follower>(calls, events);
  }

  int lists_ = 0;
  int lists_fail_ = 0;
  int listings_ = 0;
  int lost_ = 0;
  int returned_ = 0;
  std::vector<int64_t> reads_;
  std::vector<int64_t> seen_;
  std::deque<absl::StatusOr<record_batch>> answers_;
  std::function<void(absl::StatusOr<record_batch>)> pending_;
  std::unique_ptr<topic_follower> follower_;
};

TEST_F(topic_follower_test, ReadsOnFromTheListing) {
  answers_ = {record_batch{{{"a", "2", 5}, {"b", "1", 6}}, 7}};
  follower_->Start();
  EXPECT_EQ(listings_, 1);
  EXPECT_EQ(seen_, (std::vector<int64_t>{5, 6}));
  ASSERT_TRUE(RunUntil([&] { return reads_.size() == 2; }));
  EXPECT_EQ(reads_, (std::vector<int64_t>{5, 7}));
}

// Many upstreams come or go at once: news of each in a record of its own.
TEST_F(topic_follower_test, NewsCloseTogetherShareARead) {
  for (int64_t offset = 5; offset < 50; ++offset) {
    answers_.push_back(record_batch{{{"a", "2", offset}}, offset + 1});
  }
  follower_->Start();
  RunUntil([] { return false; }, absl::Milliseconds(700));
  EXPECT_EQ(seen_.front(), 5);
  EXPECT_LE(reads_.size(), 3u);
}

TEST_F(topic_follower_test, ListsAgainAfterAGap) {
  answers_ = {absl::OutOfRangeError("gone")};
  follower_->Start();
  ASSERT_TRUE(RunUntil([&] { return listings_ == 2; }));
  EXPECT_EQ(lists_, 2);
  EXPECT_EQ(lost_, 0);
}

TEST_F(topic_follower_test, TriesAgainAndTellsOnceThatTheStoreIsAway) {
  lists_fail_ = 2;
  follower_->Start();
  ASSERT_TRUE(RunUntil([&] { return listings_ == 1; }));
  EXPECT_EQ(lost_, 1);
  EXPECT_EQ(returned_, 1);
}

TEST_F(topic_follower_test, KeepsItsPlaceThroughAnOutage) {
  answers_ = {absl::UnavailableError("reset"),
              record_batch{{{"a", "2", 5}}, 6}};
  follower_->Start();
  ASSERT_TRUE(RunUntil([&] { return reads_.size() == 3; }));
  EXPECT_EQ(seen_.size(), 1u);
  EXPECT_EQ(lists_, 1);
  EXPECT_EQ(reads_, (std::vector<int64_t>{5, 5, 6}));
}

// A store that was silent: the read that hung fails behind its return.
TEST_F(topic_follower_test, AReadThatHungIsRepeatedAtOnce) {
  follower_->Start();
  ASSERT_TRUE(RunUntil([&] { return reads_.size() == 1; }));
  RunUntil([] { return false; }, absl::Milliseconds(500));
  const auto hung = pending_;
  hung(absl::UnavailableError("no progress in time"));
  EXPECT_TRUE(RunUntil([&] { return reads_.size() == 2; },
                       topic_follower::kFirstPause / 2));
}

TEST_F(topic_follower_test, AnAnswerAfterItsEndIsIgnored) {
  follower_->Start();
  follower_.reset();
  pending_(record_batch{{{"a", "2", 5}}, 6});
  EXPECT_TRUE(seen_.empty());
}

}  // namespace
}  // namespace anvilridge
