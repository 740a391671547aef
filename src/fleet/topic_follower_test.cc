#include "fleet/topic_follower.h"

#include <deque>

#include "base/testing/run_loop.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

// Follows a topic whose replies the test sets.
class topic_follower_test : public event_loop_test {
 protected:
  topic_follower_test() {
    topic_calls calls;
    calls.list = [this](auto done) {
      ++list_calls_;
      if (failing_list_calls_ > 0) {
        --failing_list_calls_;
        return done(absl::UnavailableError("away"));
      }
      done(record_listing{{{"a", "1", 4}}, 5});
    };
    calls.read = [this](int64_t from, auto done) {
      read_offsets_.push_back(from);
      if (read_replies_.empty()) {
        unanswered_read_ = done;
        return;
      }
      const auto reply = read_replies_.front();
      read_replies_.pop_front();
      done(reply);
    };
    topic_events events;
    events.on_listing = [this](const record_listing&) { ++listings_; };
    events.on_batch = [this](const record_batch& batch) {
      for (const keyed_record& record : batch.records) {
        received_offsets_.push_back(record.offset);
      }
    };
    events.on_store_lost = [this](const absl::Status&) { ++lost_events_; };
    events.on_store_returned = [this] { ++returned_events_; };
    follower_ = std::make_unique<topic_follower>(calls, events);
  }

  int list_calls_ = 0;
  int failing_list_calls_ = 0;
  int listings_ = 0;
  int lost_events_ = 0;
  int returned_events_ = 0;
  std::vector<int64_t> read_offsets_;
  std::vector<int64_t> received_offsets_;
  std::deque<absl::StatusOr<record_batch>> read_replies_;
  std::function<void(absl::StatusOr<record_batch>)> unanswered_read_;
  std::unique_ptr<topic_follower> follower_;
};

TEST_F(topic_follower_test, ReadsTheRecordsAfterTheListing) {
  read_replies_ = {record_batch{{{"a", "2", 5}, {"b", "1", 6}}, 7}};
  follower_->Start();
  EXPECT_EQ(listings_, 1);
  EXPECT_EQ(received_offsets_, (std::vector<int64_t>{5, 6}));
  ASSERT_TRUE(RunUntil([&] { return read_offsets_.size() == 2; }));
  EXPECT_EQ(read_offsets_, (std::vector<int64_t>{5, 7}));
}

// When many upstreams come or go at once, each writes a record of its own.
TEST_F(topic_follower_test, RecordsCloseTogetherShareARead) {
  for (int64_t offset = 5; offset < 50; ++offset) {
    read_replies_.push_back(record_batch{{{"a", "2", offset}}, offset + 1});
  }
  follower_->Start();
  RunUntil([] { return false; }, absl::Milliseconds(700));
  EXPECT_EQ(received_offsets_.front(), 5);
  EXPECT_LE(read_offsets_.size(), 3u);
}

TEST_F(topic_follower_test, ListsAgainAfterAGap) {
  read_replies_ = {absl::OutOfRangeError("gone")};
  follower_->Start();
  ASSERT_TRUE(RunUntil([&] { return listings_ == 2; }));
  EXPECT_EQ(list_calls_, 2);
  EXPECT_EQ(lost_events_, 0);
}

TEST_F(topic_follower_test, RetriesAndReportsAnOutageOnce) {
  failing_list_calls_ = 2;
  follower_->Start();
  ASSERT_TRUE(RunUntil([&] { return listings_ == 1; }));
  EXPECT_EQ(lost_events_, 1);
  EXPECT_EQ(returned_events_, 1);
}

TEST_F(topic_follower_test, ContinuesAtTheSameOffsetAfterAnOutage) {
  read_replies_ = {absl::UnavailableError("reset"),
                   record_batch{{{"a", "2", 5}}, 6}};
  follower_->Start();
  ASSERT_TRUE(RunUntil([&] { return read_offsets_.size() == 3; }));
  EXPECT_EQ(received_offsets_.size(), 1u);
  EXPECT_EQ(list_calls_, 1);
  EXPECT_EQ(read_offsets_, (std::vector<int64_t>{5, 5, 6}));
}

// During an outage without a connection error, a read hangs and fails only when
// the store may already be back. Its retry must not add a delay.
TEST_F(topic_follower_test, AReadThatHungIsRepeatedAtOnce) {
  follower_->Start();
  ASSERT_TRUE(RunUntil([&] { return read_offsets_.size() == 1; }));
  RunUntil([] { return false; }, absl::Milliseconds(500));
  const auto hung_read = unanswered_read_;
  hung_read(absl::UnavailableError("no progress in time"));
  EXPECT_TRUE(RunUntil([&] { return read_offsets_.size() == 2; },
                       topic_follower::kInitialRetryDelay / 2));
}

TEST_F(topic_follower_test, ReplyAfterDestructionIsIgnored) {
  follower_->Start();
  follower_.reset();
  unanswered_read_(record_batch{{{"a", "2", 5}}, 6});
  EXPECT_TRUE(received_offsets_.empty());
}

}  // namespace
}  // namespace anvilridge
