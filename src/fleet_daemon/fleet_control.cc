#include "fleet_daemon/fleet_control.h"

#include <QJsonObject>
#include <QObject>
#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "absl/algorithm/container.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "fleet/upstream_registry.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Time between two checks for removed entries whose grace period has expired.
constexpr absl::Duration kExpiryInterval = absl::Milliseconds(100);
// Interval at which a reader reports without news. Three reports fall within
// `topic_follower::kMaxReportSilence`.
constexpr absl::Duration kReportInterval = absl::Milliseconds(300);

}  // namespace

struct fleet_control::impl {
  fleet_sources sources;
  view_callback on_view;
  report_callback on_report;
  // Whether this daemon is a reader; unset until that is determined.
  std::optional<bool> is_reader;
  // Not null while this daemon is a reader.
  std::unique_ptr<QTimer> report_timer;
  std::unique_ptr<topic_follower> config_follower;
  std::unique_ptr<topic_follower> upstream_follower;
  std::shared_ptr<const fleet_config> config;
  upstream_registry registry;
  std::shared_ptr<const fleet_view> view;
  std::unique_ptr<QTimer> expiry_timer;

  // Returns the handlers of store outages; `topic` is the name in the log.
  topic_events MakeOutageHandlers(const char* topic);
  // Logs the parts of `next` that can't be used and that the current
  // configuration lacks.
  void LogUnusableParts(const fleet_config& next) const;
  // Adopts the newest readable configuration among `records`.
  void ApplyConfig(const std::vector<keyed_record>& records);
  // Replaces the configuration by `next`, read at `offset`, if the version of
  // that is higher.
  void AdoptConfig(fleet_config next, int64_t offset);
  // Converts a record of the upstream topic, of the era `era`.
  upstream_change ParseChange(const keyed_record& record, store_era era) const;
  std::vector<upstream_change> ParseChanges(
      const std::vector<keyed_record>& records, store_era era) const;
  void PublishView();
  // Returns `report`, of the configuration's topic, without callers' keys: they
  // don't leave the daemon.
  topic_report WithoutKeys(topic_report report) const;
  // Reports both topics, without records.
  void ReportTopics();
};

topic_events fleet_control::impl::MakeOutageHandlers(const char* topic) {
  topic_events events;
  events.on_store_lost = [this, topic](const absl::Status& why) {
    LogEvent(log_level::warn, "store_lost",
             {{"topic", topic}, {"why", QtText(why.message())}});
    RecordStoreLost(registry);
  };
  events.on_store_returned = [this, topic] {
    LogEvent(log_level::info, "store_returned", {{"topic", topic}});
    RecordStoreReturned(registry, MonotonicNow());
  };
  events.on_new_era = [topic](store_position before, store_position now) {
    LogEvent(log_level::warn, "store_era_began",
             {{"topic", topic},
              {"era", static_cast<double>(now.era)},
              {"end", static_cast<double>(now.number)},
              {"era_before", static_cast<double>(before.era)},
              {"end_before", static_cast<double>(before.number)}});
  };
  return events;
}

void fleet_control::impl::LogUnusableParts(const fleet_config& next) const {
  for (const std::string& limit : next.limits.unusable) {
    const bool logged =
        config && absl::c_linear_search(config->limits.unusable, limit);
    if (logged) continue;
    LogEvent(log_level::warn, "config_limit_unusable",
             {{"version", static_cast<double>(next.version)},
              {"limit", QtText(limit)}});
  }
  for (const std::string& part : next.teams.unusable) {
    const bool logged =
        config && absl::c_linear_search(config->teams.unusable, part);
    if (logged) continue;
    LogEvent(log_level::warn, "config_team_unusable",
             {{"version", static_cast<double>(next.version)},
              {"part", QtText(part)}});
  }
}

void fleet_control::impl::ApplyConfig(
    const std::vector<keyed_record>& records) {
  // Each record holds the whole configuration, so only the last readable one
  // matters.
  for (auto record = records.rbegin(); record != records.rend(); ++record) {
    if (record->key != sources.config_key || !record->value) continue;
    absl::StatusOr<fleet_config> parsed = sources.parse_config(*record->value);
    if (parsed.ok()) return AdoptConfig(*std::move(parsed), record->offset);
    LogEvent(log_level::error, "config_unreadable",
             {{"offset", static_cast<double>(record->offset)},
              {"why", QtText(parsed.status().message())}});
  }
}

void fleet_control::impl::AdoptConfig(fleet_config next, int64_t offset) {
  if (config && next.version <= config->version) return;
  LogUnusableParts(next);
  LogEvent(log_level::info, "config_in_force",
           {{"version", static_cast<double>(next.version)},
            {"before", config ? static_cast<double>(config->version) : 0},
            {"routes", static_cast<int>(next.routes.size())},
            {"offset", static_cast<double>(offset)}});
  config = std::make_shared<const fleet_config>(std::move(next));
  PublishView();
}

upstream_change fleet_control::impl::ParseChange(const keyed_record& record,
                                                 store_era era) const {
  upstream_change change{record.key, std::nullopt, {era, record.offset}};
  if (!record.value) {
    LogEvent(log_level::info, "upstream_entry_removed",
             {{"upstream", QtText(record.key)},
              {"offset", static_cast<double>(record.offset)}});
    return change;
  }
  absl::StatusOr<fleet_upstream> upstream =
      sources.parse_upstream(record.key, *record.value);
  if (!upstream.ok()) {
    LogEvent(log_level::warn, "upstream_entry_unreadable",
             {{"upstream", QtText(record.key)},
              {"offset", static_cast<double>(record.offset)},
              {"why", QtText(upstream.status().message())}});
    change.unreadable = true;
    return change;
  }
  LogEvent(log_level::info, "upstream_entry",
           {{"upstream", QtText(record.key)},
            {"offset", static_cast<double>(record.offset)},
            {"service", QtText(upstream->service)},
            {"address", QtText(upstream->address)},
            {"stage", static_cast<int>(upstream->stage)},
            {"draining", upstream->draining}});
  change.upstream = *std::move(upstream);
  return change;
}

std::vector<upstream_change> fleet_control::impl::ParseChanges(
    const std::vector<keyed_record>& records, store_era era) const {
  std::vector<upstream_change> changes;
  changes.reserve(records.size());
  for (const keyed_record& record : records) {
    changes.push_back(ParseChange(record, era));
  }
  return changes;
}

void fleet_control::impl::PublishView() {
  auto next = std::make_shared<fleet_view>();
  next->config = config;
  for (const auto& [id, entry] : registry.upstreams) {
    next->upstreams[entry.upstream.service].push_back(entry.upstream);
  }
  view = std::move(next);
  on_view(view);
}

topic_report fleet_control::impl::WithoutKeys(topic_report report) const {
  for (keyed_record& record : report.records) {
    if (record.key != sources.config_key || !record.value) continue;
    record.value = sources.without_keys(*record.value);
  }
  return report;
}

void fleet_control::impl::ReportTopics() {
  on_report({config_follower->Report(), upstream_follower->Report()});
}

fleet_control::fleet_control(fleet_sources sources, view_callback on_view,
                             report_callback on_report)
    : impl_(std::make_unique<impl>()) {
  impl_->sources = std::move(sources);
  impl_->on_view = std::move(on_view);
  impl_->on_report = std::move(on_report);
}

fleet_control::~fleet_control() = default;

void fleet_control::Start() {
  impl* self = impl_.get();
  topic_events config_events = self->MakeOutageHandlers("config");
  config_events.on_listing = [self](const record_listing& listing) {
    self->ApplyConfig(listing.records);
  };
  config_events.on_batch = [self](const record_batch& batch) {
    self->ApplyConfig(batch.records);
  };
  config_events.on_news = [self](const topic_report& report) {
    if (!self->report_timer) return;
    self->on_report(
        {self->WithoutKeys(report), self->upstream_follower->Report()});
  };
  topic_events upstream_events = self->MakeOutageHandlers("upstreams");
  upstream_events.on_listing = [self](const record_listing& listing) {
    ApplyListing(self->registry,
                 self->ParseChanges(listing.records, listing.era),
                 {listing.era, listing.next}, MonotonicNow());
    self->PublishView();
  };
  upstream_events.on_batch = [self](const record_batch& batch) {
    ApplyChanges(self->registry, self->ParseChanges(batch.records, batch.era),
                 MonotonicNow());
    self->PublishView();
  };
  upstream_events.on_news = [self](const topic_report& report) {
    if (!self->report_timer) return;
    self->on_report({self->config_follower->Report(), report});
  };
  self->config_follower = std::make_unique<topic_follower>(
      self->sources.config_topic, std::move(config_events));
  self->upstream_follower = std::make_unique<topic_follower>(
      self->sources.upstream_topic, std::move(upstream_events));
  self->config_follower->Start();
  self->upstream_follower->Start();
  self->expiry_timer = RunEvery(kExpiryInterval, [self] {
    const absl::Time now = MonotonicNow();
    const auto expired = RemoveExpired(self->registry, now);
    for (const std::string& id : expired) {
      LogEvent(log_level::info, "upstream_lapsed", {{"upstream", QtText(id)}});
    }
    const auto returned = RegisterReturned(self->registry, now);
    for (const std::string& id : returned) {
      LogEvent(log_level::info, "upstream_returned",
               {{"upstream", QtText(id)}});
    }
    if (!expired.empty() || !returned.empty()) self->PublishView();
  });
}

void fleet_control::SetReader(bool is_reader) {
  impl* self = impl_.get();
  if (self->is_reader == is_reader) return;
  self->is_reader = is_reader;
  LogEvent(log_level::info, is_reader ? "store_reading" : "store_followed");
  self->report_timer.reset();
  if (is_reader) {
    self->report_timer =
        RunEvery(kReportInterval, [self] { self->ReportTopics(); });
  }
  self->config_follower->SetReader(is_reader);
  self->upstream_follower->SetReader(is_reader);
}

void fleet_control::HandleReport(const store_report& report) {
  impl_->config_follower->HandleReport(report.config);
  impl_->upstream_follower->HandleReport(report.upstreams);
}

bool fleet_control::IsReader() const { return impl_->report_timer != nullptr; }

absl::Time fleet_control::CompleteAt() const {
  return std::min(impl_->config_follower->CompleteAt(),
                  impl_->upstream_follower->CompleteAt());
}

std::shared_ptr<const fleet_view> fleet_control::View() const {
  return impl_->view;
}

absl::Status fleet_control::Ready() const {
  if (!impl_->config) {
    return MakeError(error_kind::not_ready,
                     "no configuration has been received from the store");
  }
  if (impl_->registry.upstreams.empty()) {
    return MakeError(error_kind::not_ready,
                     "no upstream is registered in the store");
  }
  return absl::OkStatus();
}

}  // namespace anvilridge
