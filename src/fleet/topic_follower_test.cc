#include "fleet/topic_follower.h"

#include <deque>

#include "base/clock.h"
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
      record_listing listing{{{"a", "1", 4}}, 5};
      listing.era = listed_era_;
      done(listing);
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
      returned_events_at_batch_ = returned_events_;
    };
    events.on_store_lost = [this](const absl::Status&) { ++lost_events_; };
    events.on_store_returned = [this] { ++returned_events_; };
    events.on_new_era = [this](store_position before, store_position now) {
      new_eras_.push_back({before, now});
    };
    events.on_news = [this](const topic_report& report) {
      news_.push_back(report);
    };
    follower_ = std::make_unique<topic_follower>(calls, events);
  }

  // Returns the report of a reader that has all records before `next`.
  static topic_report ReportUpTo(int64_t next,
                                 store_era era = store_era::none) {
    topic_report report;
    report.era = era;
    report.next = next;
    report.from = next;
    report.reply_age = absl::Milliseconds(100);
    return report;
  }

  // Returns the report of a reader that has just read `records`.
  static topic_report NewsOf(std::vector<keyed_record> records) {
    topic_report report = ReportUpTo(records.back().offset + 1);
    report.from = records.front().offset;
    report.records = std::move(records);
    return report;
  }

  // Returns the reply to a read that began at offset 5 and found `count`
  // records.
  static record_batch BatchOf(int count, store_era era) {
    record_batch batch;
    batch.next = 5 + count;
    batch.era = era;
    for (int64_t offset = 5; offset < batch.next; ++offset) {
      batch.records.push_back({"a", "2", offset});
    }
    return batch;
  }

  // Starts in the first era as a daemon that isn't a reader and hears one.
  void StartBesideReaderInFirstEra() {
    listed_era_ = store_era{1};
    follower_->SetReader(false);
    follower_->HandleReport(ReportUpTo(5, store_era{1}));
    follower_->Start();
  }

  // Starts as a daemon that isn't a reader and hears one that misses nothing.
  void StartBesideReader() {
    follower_->SetReader(false);
    follower_->HandleReport(ReportUpTo(5));
    follower_->Start();
  }

  // Era that listings name.
  store_era listed_era_ = store_era::none;
  std::vector<std::pair<store_position, store_position>> new_eras_;
  int list_calls_ = 0;
  int failing_list_calls_ = 0;
  int listings_ = 0;
  int lost_events_ = 0;
  int returned_events_ = 0;
  int returned_events_at_batch_ = 0;
  std::vector<topic_report> news_;
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

TEST_F(topic_follower_test, AReaderReportsWhatItHasRead) {
  read_replies_ = {record_batch{{{"a", "2", 5}, {"b", "1", 6}}, 7}};
  follower_->Start();
  ASSERT_EQ(news_.size(), 2u);
  EXPECT_EQ(news_[0].next, 5);
  EXPECT_TRUE(news_[0].records.empty());
  EXPECT_EQ(news_[1].from, 5);
  EXPECT_EQ(news_[1].next, 7);
  EXPECT_EQ(news_[1].records.size(), 2u);
  EXPECT_EQ(follower_->Report().next, 7);
  EXPECT_TRUE(follower_->Report().records.empty());
}

TEST_F(topic_follower_test, ADaemonBesideReadersMakesNoReads) {
  StartBesideReader();
  for (int i = 0; i < 5; ++i) {
    RunUntil([] { return false; }, topic_follower::kMaxReportSilence / 3);
    follower_->HandleReport(ReportUpTo(5));
  }
  EXPECT_TRUE(read_offsets_.empty());
  EXPECT_EQ(list_calls_, 1);
  EXPECT_GT(follower_->CompleteAt(),
            MonotonicNow() - topic_follower::kMaxReportSilence);
}

TEST_F(topic_follower_test, WhenTheReportsStopADaemonReads) {
  StartBesideReader();
  EXPECT_TRUE(
      RunUntil([&] { return !read_offsets_.empty(); },
               topic_follower::kMaxReportSilence + absl::Milliseconds(200)));
}

TEST_F(topic_follower_test, NewRecordsAreTakenFromReportsOnce) {
  StartBesideReader();
  follower_->HandleReport(NewsOf({{"a", "2", 5}, {"b", "1", 6}}));
  follower_->HandleReport(NewsOf({{"b", "1", 6}, {"c", "1", 7}}));
  follower_->HandleReport(NewsOf({{"a", "2", 5}, {"b", "1", 6}}));
  EXPECT_EQ(received_offsets_, (std::vector<int64_t>{5, 6, 7}));
  EXPECT_TRUE(read_offsets_.empty());
}

// The datagram with the records was lost, or they were too many for it.
TEST_F(topic_follower_test, RecordsThatAReportLeavesOutAreRead) {
  read_replies_ = {record_batch{{{"a", "2", 5}, {"b", "1", 6}}, 7}};
  StartBesideReader();
  follower_->HandleReport(ReportUpTo(7));
  EXPECT_EQ(received_offsets_, (std::vector<int64_t>{5, 6}));
  follower_->HandleReport(NewsOf({{"d", "1", 8}, {"e", "1", 9}}));
  ASSERT_TRUE(RunUntil([&] { return read_offsets_.size() == 2; }));
  EXPECT_EQ(read_offsets_, (std::vector<int64_t>{5, 7}));
}

// A record that a report brings while a read is in progress is also in the
// reply to the read.
TEST_F(topic_follower_test, AReadInProgressRepeatsNoRecord) {
  follower_->Start();
  ASSERT_EQ(read_offsets_.size(), 1u);
  follower_->HandleReport(NewsOf({{"a", "2", 5}, {"b", "1", 6}}));
  unanswered_read_(record_batch{{{"a", "2", 5}}, 6});
  EXPECT_EQ(received_offsets_, (std::vector<int64_t>{5, 6}));
  ASSERT_TRUE(RunUntil([&] { return read_offsets_.size() == 2; }));
  EXPECT_EQ(read_offsets_.back(), 7);
}

TEST_F(topic_follower_test, ReportsOfReadersWithoutTheStoreDoNotCount) {
  topic_report lost = ReportUpTo(5);
  lost.store_lost = true;
  topic_report old = ReportUpTo(5);
  old.reply_age = topic_follower::kMaxReplyAge + absl::Milliseconds(1);
  follower_->SetReader(false);
  follower_->HandleReport(lost);
  follower_->HandleReport(old);
  follower_->HandleReport(topic_report());
  follower_->Start();
  EXPECT_EQ(read_offsets_.size(), 1u);
}

// Records that an outage has caused must not be applied before its end is
// known.
TEST_F(topic_follower_test, TheEndOfAnOutageIsKnownBeforeItsRecords) {
  StartBesideReader();
  RunUntil([] { return false; },
           topic_follower::kMaxReplyAge + absl::Milliseconds(200));
  topic_report news = NewsOf({{"a", std::nullopt, 5}});
  news.reply_age = absl::ZeroDuration();
  news.outage_age = absl::Milliseconds(20);
  follower_->HandleReport(news);
  EXPECT_EQ(received_offsets_.size(), 1u);
  EXPECT_EQ(returned_events_, 1);
  EXPECT_EQ(returned_events_at_batch_, 1);
  // The other readers report the same outage.
  news.outage_age = absl::Milliseconds(320);
  follower_->HandleReport(news);
  EXPECT_EQ(returned_events_, 1);
}

// Otherwise removals would take effect late wherever one reader was cut off.
TEST_F(topic_follower_test, AnOutageOfOneReaderIsNoOutageOfTheStore) {
  StartBesideReader();
  topic_report lost = ReportUpTo(5);
  lost.store_lost = true;
  follower_->HandleReport(lost);
  topic_report back = ReportUpTo(5);
  back.outage_age = absl::Milliseconds(20);
  follower_->HandleReport(back);
  EXPECT_EQ(lost_events_, 0);
  EXPECT_EQ(returned_events_, 0);
}

// A daemon that makes no calls must know of an outage before its own call
// brings the records that the outage has caused.
TEST_F(topic_follower_test, AnOutageOfAllReadersIsAnOutageOfTheStore) {
  StartBesideReader();
  topic_report lost = ReportUpTo(5);
  lost.store_lost = true;
  RunUntil([] { return false; },
           topic_follower::kMaxReportSilence + absl::Milliseconds(100));
  follower_->HandleReport(lost);
  follower_->HandleReport(lost);
  EXPECT_EQ(lost_events_, 1);
  ASSERT_EQ(read_offsets_.size(), 1u);
  unanswered_read_(record_batch{{{"a", std::nullopt, 5}}, 6});
  EXPECT_EQ(returned_events_at_batch_, 1);
}

TEST_F(topic_follower_test, AnOutageOfLongAgoIsNotReported) {
  StartBesideReader();
  topic_report report = ReportUpTo(5);
  report.outage_age = absl::Minutes(10);
  follower_->HandleReport(report);
  EXPECT_EQ(returned_events_, 0);
}

// A daemon that is cut off from the store alone still learns what is new, and
// doesn't take the store for lost.
TEST_F(topic_follower_test, ADaemonCutFromTheStoreFollowsTheReaders) {
  follower_->Start();
  follower_->HandleReport(ReportUpTo(5));
  unanswered_read_(absl::UnavailableError("no progress in time"));
  EXPECT_EQ(lost_events_, 0);
  EXPECT_TRUE(follower_->Report().store_lost);
  follower_->HandleReport(NewsOf({{"a", "2", 5}}));
  EXPECT_EQ(received_offsets_, (std::vector<int64_t>{5}));
}

TEST_F(topic_follower_test, ADaemonThatBecomesAReaderReadsAtOnce) {
  StartBesideReader();
  EXPECT_TRUE(read_offsets_.empty());
  follower_->SetReader(true);
  EXPECT_EQ(read_offsets_.size(), 1u);
}

// A change that a report tells of must not wait for the retry of a call that
// failed in an outage.
TEST_F(topic_follower_test, TheReturnOfTheStoreEndsTheDelayOfARetry) {
  follower_->SetReader(false);
  read_replies_.assign(5, absl::UnavailableError("reset"));
  follower_->Start();
  ASSERT_TRUE(RunUntil([&] { return read_replies_.empty(); }));
  const size_t reads = read_offsets_.size();
  read_replies_ = {record_batch{{{"a", "2", 5}}, 6}};
  follower_->HandleReport(ReportUpTo(6));
  EXPECT_TRUE(RunUntil([&] { return read_offsets_.size() > reads; },
                       topic_follower::kMinReadInterval));
  EXPECT_EQ(received_offsets_, (std::vector<int64_t>{5}));
  EXPECT_EQ(returned_events_, 1);
}

// In an outage of the store the readers look for its end for all.
TEST_F(topic_follower_test, RetriesAreFewWhileReadersHaveLostTheStore) {
  follower_->SetReader(false);
  read_replies_.assign(50, absl::UnavailableError("reset"));
  topic_report lost = ReportUpTo(5);
  lost.store_lost = true;
  follower_->HandleReport(lost);
  follower_->Start();
  const absl::Time end = MonotonicNow() + absl::Seconds(4);
  while (MonotonicNow() < end) {
    RunUntil([] { return false; }, topic_follower::kMaxReportSilence / 3);
    follower_->HandleReport(lost);
  }
  // At 0, 0.15, 0.45, 1.05, 2.25 and 4.25 s.
  EXPECT_LE(read_offsets_.size(), 6u);
}

// The readers' connections to the store have gone silent, without a failure.
TEST_F(topic_follower_test, ADaemonReadsWhenTheReadersRepliesGrowOld) {
  StartBesideReader();
  const absl::Time start = MonotonicNow();
  while (read_offsets_.empty() && MonotonicNow() < start + absl::Seconds(3)) {
    RunUntil([&] { return !read_offsets_.empty(); },
             topic_follower::kMaxReportSilence / 3);
    topic_report report = ReportUpTo(5);
    report.reply_age = absl::Milliseconds(100) + MonotonicNow() - start;
    follower_->HandleReport(report);
  }
  EXPECT_LT(MonotonicNow() - start,
            topic_follower::kMaxReplyAge + absl::Milliseconds(400));
}

// Guards against records that are never read: the topic of the copy has grown
// past the old end before the next read, so the store keeps all that is asked.
TEST_F(topic_follower_test, AReplyOfANewEraIsNotAppliedButListed) {
  listed_era_ = store_era{1};
  follower_->Start();
  ASSERT_EQ(read_offsets_.size(), 1u);
  listed_era_ = store_era{2};
  unanswered_read_(BatchOf(3, store_era{2}));
  EXPECT_TRUE(received_offsets_.empty());
  EXPECT_EQ(listings_, 2);
  EXPECT_EQ(returned_events_, 1);
  ASSERT_EQ(new_eras_.size(), 1u);
  EXPECT_EQ(new_eras_[0].first, (store_position{store_era{1}, 5}));
  EXPECT_EQ(new_eras_[0].second, (store_position{store_era{2}, 5}));
  EXPECT_EQ(news_.back().era, store_era{2});
  // Reads go on behind the listing.
  ASSERT_TRUE(RunUntil([&] { return read_offsets_.size() == 2; }));
  unanswered_read_(BatchOf(1, store_era{2}));
  EXPECT_EQ(received_offsets_, (std::vector<int64_t>{5}));
  EXPECT_EQ(list_calls_, 2);
}

TEST_F(topic_follower_test, AGapOfANewEraIsListedOnce) {
  listed_era_ = store_era{1};
  follower_->Start();
  listed_era_ = store_era{2};
  unanswered_read_(absl::OutOfRangeError("gone"));
  EXPECT_EQ(list_calls_, 2);
  EXPECT_EQ(returned_events_, 1);
  EXPECT_EQ(new_eras_.size(), 1u);
  ASSERT_TRUE(RunUntil([&] { return read_offsets_.size() == 2; }));
  follower_->HandleReport(ReportUpTo(5, store_era{2}));
  EXPECT_EQ(list_calls_, 2);
}

// Guards against a daemon that goes by the offsets of the old copy for good
// while it follows the reports of others.
TEST_F(topic_follower_test, AReportOfANewEraIsListedOnce) {
  StartBesideReaderInFirstEra();
  EXPECT_TRUE(read_offsets_.empty());
  listed_era_ = store_era{2};
  topic_report news = NewsOf({{"b", "1", 2}});
  news.era = store_era{2};
  follower_->HandleReport(news);
  EXPECT_EQ(list_calls_, 2);
  EXPECT_EQ(listings_, 2);
  EXPECT_TRUE(received_offsets_.empty());
  for (int64_t next = 3; next < 6; ++next) {
    follower_->HandleReport(ReportUpTo(next, store_era{2}));
  }
  RunUntil([] { return false; }, absl::Milliseconds(400));
  EXPECT_EQ(list_calls_, 2);
  news = NewsOf({{"b", "2", 5}});
  news.era = store_era{2};
  follower_->HandleReport(news);
  EXPECT_EQ(received_offsets_, (std::vector<int64_t>{5}));
}

// Guards against a reader of the old era that holds others back, or makes them
// read for ever.
TEST_F(topic_follower_test, AReportOfAnEarlierEraIsNotHeard) {
  listed_era_ = store_era{2};
  follower_->SetReader(false);
  follower_->HandleReport(ReportUpTo(5, store_era{2}));
  follower_->Start();
  EXPECT_TRUE(read_offsets_.empty());
  const absl::Time end = MonotonicNow() + topic_follower::kMaxReportSilence;
  while (MonotonicNow() < end) {
    topic_report old = NewsOf({{"old", "1", 5}, {"old", "1", 40}});
    old.era = store_era{1};
    follower_->HandleReport(old);
    RunUntil([] { return false; }, topic_follower::kMaxReportSilence / 4);
  }
  EXPECT_TRUE(received_offsets_.empty());
  // Only such reports are heard, so the daemon reads by itself.
  EXPECT_EQ(read_offsets_.size(), 1u);
  EXPECT_EQ(list_calls_, 1);
  // It rests again beside a reader that has noticed the return.
  unanswered_read_(BatchOf(0, store_era{2}));
  follower_->HandleReport(ReportUpTo(5, store_era{2}));
  RunUntil([] { return false; }, topic_follower::kMinReadInterval * 2);
  EXPECT_EQ(read_offsets_.size(), 1u);
}

// A read that was answered before the return, and whose answer came after the
// report of it.
TEST_F(topic_follower_test, AReplyBehindAReportOfANewEraIsNotApplied) {
  listed_era_ = store_era{1};
  follower_->Start();
  ASSERT_EQ(read_offsets_.size(), 1u);
  follower_->HandleReport(ReportUpTo(3, store_era{2}));
  listed_era_ = store_era{2};
  unanswered_read_(BatchOf(2, store_era{1}));
  EXPECT_TRUE(received_offsets_.empty());
  EXPECT_EQ(list_calls_, 2);
  EXPECT_EQ(follower_->Report().era, store_era{2});
}

// While the topic must be listed, a reader must not report what it knew before.
TEST_F(topic_follower_test, NothingIsReportedBeforeTheListingOfANewEra) {
  listed_era_ = store_era{1};
  follower_->Start();
  failing_list_calls_ = 1;
  listed_era_ = store_era{2};
  unanswered_read_(BatchOf(3, store_era{2}));
  EXPECT_LT(follower_->Report().next, 0);
  ASSERT_TRUE(RunUntil([&] { return listings_ == 2; }));
  EXPECT_EQ(follower_->Report().era, store_era{2});
  EXPECT_EQ(follower_->Report().next, 5);
}

TEST_F(topic_follower_test, AnAnswerOfAnEarlierEraIsDropped) {
  listed_era_ = store_era{2};
  follower_->Start();
  unanswered_read_(BatchOf(2, store_era{1}));
  EXPECT_TRUE(received_offsets_.empty());
  ASSERT_TRUE(RunUntil([&] { return read_offsets_.size() == 2; }));
  EXPECT_EQ(read_offsets_.back(), 5);
  EXPECT_EQ(list_calls_, 1);
  EXPECT_TRUE(new_eras_.empty());
}

// The next return while the listing of the first one is in progress.
TEST_F(topic_follower_test, ASecondReturnIsListedToo) {
  listed_era_ = store_era{1};
  follower_->Start();
  listed_era_ = store_era{2};
  unanswered_read_(BatchOf(1, store_era{2}));
  listed_era_ = store_era{3};
  ASSERT_TRUE(RunUntil([&] { return read_offsets_.size() == 2; }));
  unanswered_read_(BatchOf(1, store_era{3}));
  EXPECT_TRUE(received_offsets_.empty());
  EXPECT_EQ(listings_, 3);
  EXPECT_EQ(returned_events_, 2);
  ASSERT_EQ(new_eras_.size(), 2u);
  EXPECT_EQ(new_eras_[1].second.era, store_era{3});
}

// A wrong report must not make a daemon drop the store's answers.
TEST_F(topic_follower_test, AWrongReportOfANewEraCostsOneListing) {
  StartBesideReaderInFirstEra();
  for (int i = 0; i < 3; ++i) {
    follower_->HandleReport(ReportUpTo(5, store_era{9}));
    RunUntil([] { return false; }, topic_follower::kMinReadInterval);
  }
  EXPECT_EQ(list_calls_, 2);
  EXPECT_TRUE(new_eras_.empty());
  ASSERT_FALSE(read_offsets_.empty());
  unanswered_read_(BatchOf(2, store_era{1}));
  EXPECT_EQ(received_offsets_, (std::vector<int64_t>{5, 6}));
  // Without such reports the daemon rests again.
  ASSERT_TRUE(
      RunUntil([&] { return read_offsets_.back() == 7; }, absl::Seconds(1)));
  unanswered_read_(BatchOf(2, store_era{1}));
  const size_t reads = read_offsets_.size();
  for (int i = 0; i < 4; ++i) {
    follower_->HandleReport(ReportUpTo(7, store_era{1}));
    RunUntil([] { return false; }, topic_follower::kMinReadInterval);
  }
  EXPECT_EQ(read_offsets_.size(), reads);
}

TEST_F(topic_follower_test, AReplyWithoutAnEraShowsNoChange) {
  listed_era_ = store_era{2};
  follower_->Start();
  unanswered_read_(BatchOf(2, store_era::none));
  EXPECT_EQ(received_offsets_, (std::vector<int64_t>{5, 6}));
  EXPECT_EQ(follower_->Report().era, store_era{2});
  EXPECT_EQ(list_calls_, 1);
}

}  // namespace
}  // namespace anvilridge
