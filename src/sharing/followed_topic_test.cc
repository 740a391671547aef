// Load pattern: many daemons follow one topic that changes now and then. All
// want each record at once, and together they must not call the store more
// often than a few of them would.
#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "base/testing/run_loop.h"
#include "fleet/topic_follower.h"
#include "gtest/gtest.h"
#include "sharing/store_readers.h"

namespace anvilridge {
namespace {

constexpr int kDaemons = 60;
constexpr absl::Duration kReadHold = absl::Seconds(1);
// Time after which a call counts as failed, beyond that for which it is held.
constexpr absl::Duration kResponseTimeout = absl::Milliseconds(800);
constexpr absl::Duration kStoreLatency = absl::Milliseconds(4);
constexpr absl::Duration kReportInterval = absl::Milliseconds(300);
constexpr double kDatagramLoss = 0.05;

// How a daemon's calls end that the store doesn't answer.
enum class loss { silence, refusal, reset };

// A store with one topic that holds reads until a record is there.
class fake_store {
 public:
  void Append(std::string key) {
    records_.push_back({std::move(key), "value", End()});
    written_at_.push_back(MonotonicNow());
    auto waiting = std::move(waiting_);
    waiting_.clear();
    for (const auto& [id, read] : waiting) Reply(read);
  }

  // Returns the calls of the daemon `name`.
  topic_calls Calls(const std::string& name) {
    topic_calls calls;
    calls.list = [this, name](const auto& done) {
      ++call_count_;
      ++listings_[name];
      RunAfter(&context_, kStoreLatency, [this, name, done] {
        if (cut_off_.contains(name)) {
          return done(absl::UnavailableError("no reply"));
        }
        done(record_listing{records_, End(), era_});
      });
    };
    calls.read_now = [this, name](int64_t from, const auto& done) {
      ++call_count_;
      Reply({name, from, done, absl::ZeroDuration()});
    };
    calls.read = [this, name](int64_t from, const auto& done) {
      ++call_count_;
      const held_read read{name, from, done, kReadHold};
      if (cut_off_.contains(name)) return Fail(read);
      if (from != End()) return Reply(read);
      const int id = ++last_id_;
      waiting_[id] = read;
      RunAfter(&context_, kReadHold, [this, id] {
        const auto found = waiting_.find(id);
        if (found == waiting_.end()) return;
        const held_read held = found->second;
        waiting_.erase(found);
        Reply(held);
      });
    };
    return calls;
  }

  // Lets the calls of `name` from now on, and those that are held, get no
  // reply.
  void CutOff(const std::string& name, loss how = loss::silence) {
    cut_off_[name] = how;
    if (how != loss::reset) return;
    // Held calls end with their connections.
    const auto held = waiting_;
    for (const auto& [id, read] : held) {
      if (read.name != name) continue;
      waiting_.erase(id);
      Fail(read);
    }
  }

  // Lets the store answer everybody again.
  void EndCuts() { cut_off_.clear(); }

  // Goes back to the first `end` records, and then writes `count` records. Held
  // reads end with their connections.
  void ReturnFromCopy(int64_t end, int count) {
    for (const auto& [id, read] : waiting_) {
      RunAfter(&context_, kStoreLatency,
               [read = read] { read.done(absl::UnavailableError("reset")); });
    }
    waiting_.clear();
    records_.resize(static_cast<size_t>(end));
    written_at_.resize(static_cast<size_t>(end));
    era_ = store_era{static_cast<int64_t>(era_) + 1};
    listings_.clear();
    for (int i = 0; i < count; ++i) Append(absl::StrCat("again-", End()));
  }

  store_era Era() const { return era_; }
  // Returns the keys of all records.
  std::vector<std::string> Keys() const {
    std::vector<std::string> keys;
    for (const keyed_record& record : records_) keys.push_back(record.key);
    return keys;
  }
  // Returns how often `name` has listed the topic since the last return.
  int ListingsOf(const std::string& name) const {
    const auto found = listings_.find(name);
    return found == listings_.end() ? 0 : found->second;
  }

  int64_t End() const { return static_cast<int64_t>(records_.size()); }
  int CallCount() const { return call_count_; }
  absl::Time WrittenAt(int64_t offset) const {
    return written_at_[static_cast<size_t>(offset)];
  }

 private:
  struct held_read {
    std::string name;
    int64_t from = 0;
    std::function<void(absl::StatusOr<record_batch>)> done;
    // Longest time for which the store holds the read.
    absl::Duration hold;
  };

  void Fail(const held_read& read) {
    const bool silent = cut_off_[read.name] == loss::silence;
    RunAfter(&context_, silent ? read.hold + kResponseTimeout : kStoreLatency,
             [read] { read.done(absl::UnavailableError("no reply")); });
  }

  void Reply(const held_read& read) {
    if (cut_off_.contains(read.name)) return Fail(read);
    RunAfter(&context_, kStoreLatency, [this, read] {
      if (read.from > End()) return read.done(absl::OutOfRangeError("gone"));
      record_batch batch;
      batch.records.assign(records_.begin() + read.from, records_.end());
      batch.next = End();
      batch.era = era_;
      read.done(batch);
    });
  }

  QObject context_;
  std::vector<keyed_record> records_;
  std::vector<absl::Time> written_at_;
  std::map<int, held_read> waiting_;
  std::map<std::string, loss> cut_off_;
  int last_id_ = 0;
  int call_count_ = 0;
  store_era era_ = store_era{1};
  std::map<std::string, int> listings_;
};

struct test_daemon {
  std::string name;
  std::unique_ptr<topic_follower> follower;
  bool is_reader = true;
  // Next offset that it expects, and the longest time that a record took.
  int64_t next = 0;
  absl::Duration longest_delay = absl::ZeroDuration();
  // Outages of the store that it noticed, and the ends of outages.
  int lost = 0;
  int returned = 0;
  // Keys of the topic as it knows them, by offset, and their era.
  std::vector<std::string> keys;
  store_era era = store_era::none;
};

class followed_topic_test : public event_loop_test {
 protected:
  void StartDaemons() {
    for (int i = 0; i < kDaemons; ++i) {
      auto made = std::make_unique<test_daemon>();
      made->name = absl::StrCat("10.0.0.", i, ":7660");
      daemons_.push_back(std::move(made));
    }
    for (const auto& each : daemons_) StartFollower(*each);
    report_timer_ = RunEvery(kReportInterval, [this] {
      for (const auto& each : daemons_) Tick(*each);
    });
  }

  void StartFollower(test_daemon& each) {
    topic_events events;
    events.on_listing = [&each](const record_listing& listing) {
      each.next = listing.next;
      each.era = listing.era;
      each.keys.clear();
      for (const keyed_record& record : listing.records) {
        each.keys.push_back(record.key);
      }
    };
    events.on_batch = [this, &each](const record_batch& batch) {
      EXPECT_EQ(batch.era, each.era) << each.name;
      for (const keyed_record& record : batch.records) {
        each.keys.push_back(record.key);
      }
      for (const keyed_record& record : batch.records) {
        EXPECT_EQ(record.offset, each.next) << each.name;
        each.next = record.offset + 1;
        each.longest_delay =
            std::max(each.longest_delay,
                     MonotonicNow() - store_.WrittenAt(record.offset));
      }
    };
    events.on_store_lost = [&each](const absl::Status&) { ++each.lost; };
    events.on_store_returned = [&each] { ++each.returned; };
    events.on_news = [this, &each](const topic_report& report) {
      if (each.is_reader) Send(each, report);
    };
    each.follower =
        std::make_unique<topic_follower>(store_.Calls(each.name), events);
    each.follower->Start();
  }

  // Elects `each` or not, by the daemons that live, and sends its report.
  void Tick(test_daemon& each) {
    std::vector<absl::string_view> peers;
    for (const auto& peer : daemons_) {
      if (peer.get() != &each) peers.emplace_back(peer->name);
    }
    each.is_reader = IsStoreReader(each.name, peers);
    each.follower->SetReader(each.is_reader);
    if (each.is_reader) Send(each, each.follower->Report());
  }

  void Send(const test_daemon& sender, const topic_report& report) {
    for (const auto& peer : daemons_) {
      if (peer.get() == &sender || absl::Bernoulli(random_, kDatagramLoss)) {
        continue;
      }
      if (silent_.contains(sender.name)) continue;
      RunAfter(&context_, lag_, [this, name = peer->name, report] {
        const auto found =
            std::find_if(daemons_.begin(), daemons_.end(),
                         [&](const auto& each) { return each->name == name; });
        if (found != daemons_.end()) (*found)->follower->HandleReport(report);
      });
    }
  }

  void EndReaders() {
    std::erase_if(daemons_, [](const auto& each) { return each->is_reader; });
  }

  // Appends a record every 500 ms for `duration`.
  void RunWithChanges(absl::Duration duration) {
    const absl::Time end = MonotonicNow() + duration;
    while (MonotonicNow() < end) {
      store_.Append(absl::StrCat("engine-", store_.End()));
      RunUntil([] { return false; }, absl::Milliseconds(500));
    }
  }

  std::vector<std::string> Readers() const {
    std::vector<std::string> readers;
    for (const auto& each : daemons_) {
      if (each->is_reader) readers.push_back(each->name);
    }
    return readers;
  }

  bool AllHaveAll() const { return AllHaveAllBut({}); }

  // Returns whether all daemons know the same records as the store.
  bool AllAgree() const {
    const std::vector<std::string> keys = store_.Keys();
    return std::all_of(
        daemons_.begin(), daemons_.end(),
        [&keys](const auto& each) { return each->keys == keys; });
  }

  // Returns the most listings that a daemon has made since the last return.
  int MostListings() const {
    int most = 0;
    for (const auto& each : daemons_) {
      most = std::max(most, store_.ListingsOf(each->name));
    }
    return most;
  }

  bool AllHaveAllBut(const std::set<std::string>& names) const {
    return std::all_of(
        daemons_.begin(), daemons_.end(), [this, &names](const auto& each) {
          return names.contains(each->name) || each->next == store_.End();
        });
  }

  absl::Duration LongestDelay() const {
    absl::Duration longest = absl::ZeroDuration();
    for (const auto& each : daemons_) {
      longest = std::max(longest, each->longest_delay);
    }
    return longest;
  }

  fake_store store_;
  QObject context_;
  std::vector<std::unique_ptr<test_daemon>> daemons_;
  std::unique_ptr<QTimer> report_timer_;
  // Daemons that send no reports, and the time that a report takes.
  std::set<std::string> silent_;
  absl::Duration lag_ = absl::ZeroDuration();
  absl::BitGen random_;
};

TEST_F(followed_topic_test, AFewReadersServeAll) {
  StartDaemons();
  RunUntil([] { return false; }, absl::Seconds(1));
  const int calls_at_start = store_.CallCount();
  RunWithChanges(absl::Seconds(4));
  EXPECT_TRUE(AllHaveAll());
  // Each daemon by itself would have read each of the 8 records.
  EXPECT_LT(store_.CallCount() - calls_at_start, 2 * kDaemons);
  EXPECT_LT(LongestDelay(), absl::Milliseconds(500));
}

// All readers end at once, as in a loss of power, and a change follows.
TEST_F(followed_topic_test, LostReadersAreReplacedInTime) {
  StartDaemons();
  RunWithChanges(absl::Seconds(2));
  report_timer_.reset();
  EndReaders();
  ASSERT_EQ(daemons_.size(), static_cast<size_t>(kDaemons - kStoreReaders));
  // Nobody has noticed the loss yet.
  store_.Append("engine-leaves");
  EXPECT_TRUE(RunUntil([this] { return AllHaveAll(); }, absl::Seconds(5)));
  EXPECT_LT(LongestDelay(),
            topic_follower::kMaxReportSilence + absl::Milliseconds(500));
}

// The readers live and send reports, but their reads get no reply any more.
TEST_F(followed_topic_test, ReadersThatAreCutFromTheStoreHideNothingForLong) {
  StartDaemons();
  RunWithChanges(absl::Seconds(2));
  const std::vector<std::string> readers = Readers();
  ASSERT_EQ(readers.size(), static_cast<size_t>(kStoreReaders));
  for (const std::string& reader : readers) store_.CutOff(reader);
  store_.Append("engine-leaves");
  const std::set<std::string> cut(readers.begin(), readers.end());
  EXPECT_TRUE(RunUntil([&] { return AllHaveAllBut(cut); }, absl::Seconds(5)));
  EXPECT_LT(LongestDelay(),
            topic_follower::kMaxReplyAge + absl::Milliseconds(500));
}

class cut_readers_test : public followed_topic_test,
                         public testing::WithParamInterface<loss> {};

// Guards against an outage that daemons conclude from the reports of readers
// that are cut off, while their own calls succeed: they would put off all
// removals until the cut ends.
TEST_P(cut_readers_test, CutOffReadersAreNoOutageOfTheStore) {
  StartDaemons();
  RunWithChanges(absl::Seconds(2));
  const std::vector<std::string> readers = Readers();
  ASSERT_EQ(readers.size(), static_cast<size_t>(kStoreReaders));
  for (const std::string& reader : readers) {
    store_.CutOff(reader, GetParam());
  }
  const std::set<std::string> cut(readers.begin(), readers.end());
  RunWithChanges(absl::Seconds(6));
  EXPECT_TRUE(RunUntil([&] { return AllHaveAllBut(cut); }, absl::Seconds(5)));
  store_.EndCuts();
  RunWithChanges(absl::Seconds(3));
  for (const auto& each : daemons_) {
    if (cut.contains(each->name)) continue;
    EXPECT_EQ(each->lost, 0) << each->name;
    EXPECT_EQ(each->returned, 0) << each->name;
    EXPECT_LT(each->longest_delay,
              topic_follower::kMaxReplyAge + absl::Milliseconds(500))
        << each->name;
  }
}

// Guards against an outage of the store that some daemons don't notice, as they
// make no calls: they would take what it removed for gone.
TEST_P(cut_readers_test, AnOutageOfTheStoreIsNoticedByAll) {
  StartDaemons();
  RunWithChanges(absl::Seconds(2));
  for (const auto& each : daemons_) store_.CutOff(each->name, GetParam());
  RunUntil([] { return false; }, absl::Seconds(5));
  store_.EndCuts();
  store_.Append("engine-lapsed");
  EXPECT_TRUE(RunUntil([&] { return AllHaveAll(); }, absl::Seconds(5)));
  for (const auto& each : daemons_) {
    EXPECT_GE(each->lost + each->returned, 1) << each->name;
    EXPECT_GE(each->returned, 1) << each->name;
  }
}

INSTANTIATE_TEST_SUITE_P(ways, cut_readers_test,
                         testing::Values(loss::silence, loss::refusal,
                                         loss::reset),
                         [](const auto& info) {
                           switch (info.param) {
                             case loss::silence:
                               return "Silence";
                             case loss::refusal:
                               return "Refusal";
                             case loss::reset:
                               return "Reset";
                           }
                           return "";
                         });

TEST_F(followed_topic_test, ReadersThatLagDelayAChangeByTheirLagAtMost) {
  lag_ = absl::Milliseconds(700);
  StartDaemons();
  RunWithChanges(absl::Seconds(3));
  EXPECT_TRUE(RunUntil([this] { return AllHaveAll(); }, absl::Seconds(2)));
  EXPECT_LT(LongestDelay(), lag_ + absl::Milliseconds(500));
}

// Daemons of an older version hold the first places and report nothing, as
// while a new version is rolled out.
TEST_F(followed_topic_test, DaemonsBesideOlderOnesReadByThemselves) {
  StartDaemons();
  RunUntil([] { return false; }, absl::Seconds(1));
  for (const std::string& reader : Readers()) silent_.insert(reader);
  RunUntil([] { return false; }, topic_follower::kMaxReportSilence * 2);
  RunWithChanges(absl::Seconds(2));
  EXPECT_TRUE(AllHaveAll());
  EXPECT_LT(LongestDelay(), absl::Milliseconds(700));
}

// A reader that was cut off or frozen and comes back with what it had.
TEST_F(followed_topic_test, AnOldReportTakesNothingBack) {
  StartDaemons();
  RunWithChanges(absl::Seconds(2));
  test_daemon& follower =
      **std::find_if(daemons_.begin(), daemons_.end(),
                     [](const auto& each) { return !each->is_reader; });
  const int64_t next = follower.next;
  topic_report old;
  old.era = store_.Era();
  old.next = 1;
  old.from = 0;
  old.reply_age = absl::ZeroDuration();
  old.records = {{"engine-0", "value", 0}};
  follower.follower->HandleReport(old);
  EXPECT_EQ(follower.next, next);
  EXPECT_EQ(follower.follower->Report().next, next);
}

// Time after the return of the store within which all agree again. Some
// deployments allow 2 s for a change to be in force.
constexpr absl::Duration kAgreeBound = absl::Seconds(2);

// How far the topic has grown, after it went back by ten records, before the
// daemons read it again.
class returned_store_test : public followed_topic_test,
                            public testing::WithParamInterface<int> {};

// Guards against daemons that go by the offsets of the old copy: they never
// read what was written below the old end, or wait until the topic is as long
// again.
TEST_P(returned_store_test, AllAgreeSoonAndListOnce) {
  StartDaemons();
  RunWithChanges(absl::Seconds(6));
  ASSERT_TRUE(RunUntil([this] { return AllHaveAll(); }));
  const int64_t end = store_.End();
  store_.ReturnFromCopy(end - 10, GetParam());
  EXPECT_TRUE(RunUntil([this] { return AllAgree(); }, kAgreeBound));
  RunWithChanges(absl::Seconds(3));
  EXPECT_TRUE(RunUntil([this] { return AllAgree(); }, kAgreeBound));
  EXPECT_EQ(MostListings(), 1);
}

// The store is away for a while first, and some daemons for longer.
TEST_P(returned_store_test, DaemonsThatLearnOfItLateAgreeToo) {
  StartDaemons();
  RunWithChanges(absl::Seconds(6));
  for (const auto& each : daemons_) store_.CutOff(each->name, loss::refusal);
  RunUntil([] { return false; }, absl::Seconds(2));
  store_.EndCuts();
  const std::vector<std::string> readers = Readers();
  store_.CutOff(readers.front(), loss::silence);
  store_.CutOff(daemons_.back()->name, loss::reset);
  store_.ReturnFromCopy(store_.End() - 10, GetParam());
  RunWithChanges(absl::Seconds(3));
  store_.EndCuts();
  EXPECT_TRUE(RunUntil([this] { return AllAgree(); }, absl::Seconds(4)));
}

TEST_P(returned_store_test, AllAgreeAfterTwoReturnsWithinSeconds) {
  StartDaemons();
  RunWithChanges(absl::Seconds(6));
  const int64_t end = store_.End();
  store_.ReturnFromCopy(end - 5, GetParam());
  RunUntil([] { return false; }, absl::Milliseconds(700));
  store_.ReturnFromCopy(end - 10, GetParam() + 3);
  EXPECT_TRUE(RunUntil([this] { return AllAgree(); }, kAgreeBound));
  RunWithChanges(absl::Seconds(2));
  EXPECT_TRUE(RunUntil([this] { return AllAgree(); }, kAgreeBound));
  EXPECT_EQ(MostListings(), 1);
}

INSTANTIATE_TEST_SUITE_P(records, returned_store_test,
                         testing::Values(0, 4, 10, 40));

}  // namespace
}  // namespace anvilridge
