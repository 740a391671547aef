#include "fleet_daemon/fleet_control.h"

#include <QObject>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr char kKey[] = "config";

// Records with `values`; each is a version or unreadable.
std::vector<keyed_record> Records(const std::vector<std::string>& values) {
  std::vector<keyed_record> records;
  records.reserve(values.size());
  for (const std::string& value : values) {
    keyed_record& record = records.emplace_back();
    record.key = kKey;
    record.value = value;
    record.offset = static_cast<int64_t>(records.size()) - 1;
  }
  return records;
}

class fleet_control_test : public event_loop_test {
 protected:
  // Follows a topic that lists nothing and is read as one batch of `values`.
  void StartWith(const std::vector<std::string>& values) {
    fleet_sources sources;
    sources.config_key = kKey;
    sources.parse_config =
        [](absl::string_view value) -> absl::StatusOr<fleet_config> {
      fleet_config config;
      if (!absl::SimpleAtoi(value, &config.version)) {
        return MakeError(error_kind::config_invalid, "no version");
      }
      return config;
    };
    sources.config_topic.list = [](const auto& done) {
      done(record_listing());
    };
    sources.config_topic.read = [values](int64_t from, const auto& done) {
      if (from > 0) return;
      record_batch batch;
      batch.records = Records(values);
      batch.next = 1;
      done(std::move(batch));
    };
    sources.upstream_topic.list = [](const auto&) {};
    control_.emplace(std::move(sources),
                     [](const std::shared_ptr<const fleet_view>&) {});
    control_->Start();
  }

  int64_t Version() const {
    const auto view = control_->View();
    return view && view->config ? view->config->version : 0;
  }

  std::optional<fleet_control> control_;
};

// Guards against a configuration that isn't applied because an unreadable one
// was read together with it.
TEST_F(fleet_control_test, AnUnreadableConfigurationDoesNotHideAnOlderOne) {
  StartWith({"3", "4", "?", "?"});
  EXPECT_EQ(Version(), 4);
}

TEST_F(fleet_control_test, TheNewestReadableConfigurationIsApplied) {
  StartWith({"3", "?", "5"});
  EXPECT_EQ(Version(), 5);
}

TEST_F(fleet_control_test, UnreadableConfigurationsAloneAreNotApplied) {
  StartWith({"?", "?"});
  EXPECT_EQ(Version(), 0);
}

// Guards against a daemon that reads the store for ever beside those that read
// it for all: one that starts among others has never been a reader.
TEST_F(fleet_control_test, ADaemonThatStartsAmongReadersMakesNoCalls) {
  constexpr absl::Duration kReadHold = absl::Milliseconds(50);
  int reads = 0;
  QObject context;
  topic_calls calls;
  calls.list = [](const auto& done) { done(record_listing()); };
  calls.read = [&](int64_t, const auto& done) {
    ++reads;
    RunAfter(&context, kReadHold, [done] { done(record_batch()); });
  };
  fleet_sources sources;
  sources.config_topic = calls;
  sources.upstream_topic = calls;
  control_.emplace(std::move(sources),
                   [](const std::shared_ptr<const fleet_view>&) {});
  control_->Start();
  control_->SetReader(false);
  const auto reports = RunEvery(absl::Milliseconds(100), [this] {
    topic_report topic;
    topic.next = 0;
    topic.from = 0;
    topic.reply_age = absl::ZeroDuration();
    topic.outage_age = absl::InfiniteDuration();
    control_->HandleReport({topic, topic});
  });
  RunUntil([] { return false; }, absl::Milliseconds(700));
  const int reads_before = reads;
  RunUntil([] { return false; }, absl::Seconds(2));
  EXPECT_EQ(reads, reads_before);
  EXPECT_FALSE(control_->IsReader());
}

// Guards against a removed upstream that stays in use while the daemons that
// read the store for all are cut off from it, though the store answers this
// one.
TEST_F(fleet_control_test, CutOffReadersPutOffNoRemoval) {
  constexpr absl::Duration kReadHold = absl::Milliseconds(400);
  constexpr absl::Duration kReportInterval = absl::Milliseconds(100);
  constexpr absl::Duration kMaxDelay = absl::Seconds(1);
  const keyed_record entry{"engine", "entry", 0};
  const keyed_record removal{"engine", std::nullopt, 1};
  bool removed = false;
  QObject context;
  topic_calls calls;
  calls.list = [&](const auto& done) { done(record_listing{{entry}, 1}); };
  calls.read_now = [&](int64_t from, const auto& done) {
    record_batch batch;
    batch.next = from;
    if (removed && from == 1) batch = {{removal}, 2};
    RunAfter(&context, absl::Milliseconds(4), [done, batch] { done(batch); });
  };
  calls.read = [&](int64_t from, const auto& done) {
    RunAfter(&context, kReadHold,
             [&calls, from, done] { calls.read_now(from, done); });
  };
  fleet_sources sources;
  sources.config_key = kKey;
  sources.config_topic = calls;
  sources.upstream_topic = calls;
  sources.parse_upstream = [](absl::string_view id, absl::string_view) {
    fleet_upstream upstream;
    upstream.id = std::string(id);
    return absl::StatusOr<fleet_upstream>(upstream);
  };
  bool used = false;
  control_.emplace(std::move(sources),
                   [&used](const std::shared_ptr<const fleet_view>& view) {
                     used = !view->upstreams.empty();
                   });
  control_->Start();
  control_->SetReader(false);
  topic_report topic;
  topic.next = 1;
  topic.from = 1;
  topic.reply_age = absl::ZeroDuration();
  const auto reports = RunEvery(kReportInterval, [&] {
    topic.reply_age += topic.store_lost ? kReportInterval : absl::Duration();
    control_->HandleReport({topic, topic});
  });
  RunUntil([] { return false; }, absl::Seconds(1));
  topic.store_lost = true;
  RunUntil([] { return false; }, absl::Seconds(3));
  ASSERT_TRUE(used);
  removed = true;
  EXPECT_TRUE(RunUntil([&used] { return !used; }, kMaxDelay));
}

// Guards against callers' keys that a reader passes on to other daemons.
TEST_F(fleet_control_test, ReportsOfTheConfigurationHaveNoKeys) {
  std::vector<std::string> reported;
  QObject context;
  fleet_sources sources;
  sources.config_key = kKey;
  sources.parse_config = [](absl::string_view) {
    return absl::StatusOr<fleet_config>(fleet_config());
  };
  sources.without_keys = [](absl::string_view value) {
    return absl::StrCat(value, " without keys");
  };
  sources.config_topic.list = [](const auto& done) { done(record_listing()); };
  sources.config_topic.read = [&context](int64_t from, const auto& done) {
    if (from > 0) return;
    // Answers once the daemon reports what it reads.
    RunAfter(&context, absl::Milliseconds(50), [done] {
      record_batch batch;
      batch.records = Records({"record"});
      batch.next = 1;
      done(std::move(batch));
    });
  };
  sources.upstream_topic.list = [](const auto&) {};
  control_.emplace(
      std::move(sources), [](const std::shared_ptr<const fleet_view>&) {},
      [&reported](const store_report& report) {
        for (const keyed_record& record : report.config.records) {
          reported.push_back(record.value.value_or(""));
        }
      });
  control_->Start();
  control_->SetReader(true);
  ASSERT_TRUE(RunUntil([&reported] { return !reported.empty(); }));
  EXPECT_EQ(reported.front(), "record without keys");
}

}  // namespace
}  // namespace anvilridge
