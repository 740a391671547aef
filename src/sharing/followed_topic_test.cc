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
constexpr absl::Duration kReadHold = absl::Seconds(2);
constexpr absl::Duration kStoreLatency = absl::Milliseconds(4);
constexpr absl::Duration kReportInterval = absl::Milliseconds(300);
constexpr double kDatagramLoss = 0.05;

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

  topic_calls Calls() {
    topic_calls calls;
    calls.list = [this](const auto& done) {
      ++call_count_;
      RunAfter(&context_, kStoreLatency, [this, done] {
        done(record_listing{records_, End()});
      });
    };
    calls.read = [this](int64_t from, const auto& done) {
      ++call_count_;
      const held_read read{from, done};
      if (from < End()) return Reply(read);
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

  int64_t End() const { return static_cast<int64_t>(records_.size()); }
  int CallCount() const { return call_count_; }
  absl::Time WrittenAt(int64_t offset) const {
    return written_at_[static_cast<size_t>(offset)];
  }

 private:
  struct held_read {
    int64_t from = 0;
    std::function<void(absl::StatusOr<record_batch>)> done;
  };

  void Reply(const held_read& read) {
    RunAfter(&context_, kStoreLatency, [this, read] {
      record_batch batch;
      batch.records.assign(records_.begin() + read.from, records_.end());
      batch.next = End();
      read.done(batch);
    });
  }

  QObject context_;
  std::vector<keyed_record> records_;
  std::vector<absl::Time> written_at_;
  std::map<int, held_read> waiting_;
  int last_id_ = 0;
  int call_count_ = 0;
};

struct test_daemon {
  std::string name;
  std::unique_ptr<topic_follower> follower;
  bool is_reader = true;
  // Next offset that it expects, and the longest time that a record took.
  int64_t next = 0;
  absl::Duration longest_delay = absl::ZeroDuration();
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
    };
    events.on_batch = [this, &each](const record_batch& batch) {
      for (const keyed_record& record : batch.records) {
        EXPECT_EQ(record.offset, each.next) << each.name;
        each.next = record.offset + 1;
        each.longest_delay =
            std::max(each.longest_delay,
                     MonotonicNow() - store_.WrittenAt(record.offset));
      }
    };
    events.on_store_lost = [](const absl::Status&) {};
    events.on_store_returned = [] {};
    events.on_news = [this, &each](const topic_report& report) {
      if (each.is_reader) Send(each, report);
    };
    each.follower = std::make_unique<topic_follower>(store_.Calls(), events);
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
      PostTo(&context_, [this, name = peer->name, report] {
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

  bool AllHaveAll() const {
    return std::all_of(
        daemons_.begin(), daemons_.end(),
        [this](const auto& each) { return each->next == store_.End(); });
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

}  // namespace
}  // namespace anvilridge
