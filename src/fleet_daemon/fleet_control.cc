#include "fleet_daemon/fleet_control.h"

#include <QJsonObject>
#include <QObject>
#include <algorithm>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "fleet/upstream_registry.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// How often lapsed entries are looked at.
constexpr absl::Duration kLapseInterval = absl::Milliseconds(100);

}  // namespace

struct fleet_control::impl {
  fleet_sources sources;
  publisher publish;
  std::unique_ptr<topic_follower> config_follower;
  std::unique_ptr<topic_follower> upstream_follower;
  std::shared_ptr<const fleet_config> config;
  upstream_registry registry;
  std::shared_ptr<const fleet_view> view;
  std::unique_ptr<QTimer> lapse_timer;

  topic_events Events(const char* topic);
  void TakeConfig(const std::vector<keyed_record>& records);
  upstream_change ChangeOf(const keyed_record& record) const;
  std::vector<upstream_change> ChangesOf(
      const std::vector<keyed_record>& records) const;
  void Publish();
};

topic_events fleet_control::impl::Events(const char* topic) {
  topic_events events;
  events.on_lost = [this, topic](const absl::Status& why) {
    LogEvent(log_level::warn, "store_lost",
             {{"topic", topic}, {"why", QtText(why.message())}});
    NoteStoreLost(registry);
  };
  events.on_returned = [this, topic] {
    LogEvent(log_level::info, "store_returned", {{"topic", topic}});
    NoteStoreReturned(registry, MonotonicNow());
  };
  return events;
}

void fleet_control::impl::TakeConfig(const std::vector<keyed_record>& records) {
  // Only the last one counts; each is the whole configuration.
  const keyed_record* newest = nullptr;
  for (const keyed_record& record : records) {
    if (record.key == sources.config_key && record.value) newest = &record;
  }
  if (newest == nullptr) return;
  absl::StatusOr<fleet_config> read = sources.read_config(*newest->value);
  if (!read.ok()) {
    LogEvent(log_level::error, "config_unreadable",
             {{"offset", static_cast<double>(newest->offset)},
              {"why", QtText(read.status().message())}});
    return;
  }
  if (config && read->version <= config->version) return;
  LogEvent(log_level::info, "config_in_force",
           {{"version", static_cast<double>(read->version)},
            {"before", config ? static_cast<double>(config->version) : 0},
            {"routes", static_cast<int>(read->routes.size())},
            {"offset", static_cast<double>(newest->offset)}});
  config = std::make_shared<const fleet_config>(*std::move(read));
  Publish();
}

upstream_change fleet_control::impl::ChangeOf(
    const keyed_record& record) const {
  upstream_change change{record.key, std::nullopt, record.offset};
  if (!record.value) {
    LogEvent(log_level::info, "upstream_entry_removed",
             {{"upstream", QtText(record.key)},
              {"offset", static_cast<double>(record.offset)}});
    return change;
  }
  absl::StatusOr<fleet_upstream> upstream =
      sources.read_upstream(record.key, *record.value);
  if (!upstream.ok()) {
    LogEvent(log_level::warn, "upstream_entry_unreadable",
             {{"upstream", QtText(record.key)},
              {"offset", static_cast<double>(record.offset)},
              {"why", QtText(upstream.status().message())}});
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

std::vector<upstream_change> fleet_control::impl::ChangesOf(
    const std::vector<keyed_record>& records) const {
  std::vector<upstream_change> changes;
  changes.reserve(records.size());
  for (const keyed_record& record : records) {
    changes.push_back(ChangeOf(record));
  }
  return changes;
}

void fleet_control::impl::Publish() {
  auto next = std::make_shared<fleet_view>();
  next->config = config;
  for (const auto& [id, entry] : registry.upstreams) {
    next->upstreams[entry.upstream.service].push_back(entry.upstream);
  }
  view = std::move(next);
  publish(view);
}

fleet_control::fleet_control(fleet_sources sources, publisher publish)
    : impl_(std::make_unique<impl>()) {
  impl_->sources = std::move(sources);
  impl_->publish = std::move(publish);
}

fleet_control::~fleet_control() = default;

void fleet_control::Start() {
  impl* self = impl_.get();
  topic_events config_events = self->Events("config");
  config_events.on_listing = [self](const record_listing& listing) {
    self->TakeConfig(listing.records);
  };
  config_events.on_batch = [self](const record_batch& batch) {
    self->TakeConfig(batch.records);
  };
  topic_events upstream_events = self->Events("upstreams");
  upstream_events.on_listing = [self](const record_listing& listing) {
    ApplyListing(self->registry, self->ChangesOf(listing.records), listing.next,
                 MonotonicNow());
    self->Publish();
  };
  upstream_events.on_batch = [self](const record_batch& batch) {
    ApplyChanges(self->registry, self->ChangesOf(batch.records),
                 MonotonicNow());
    self->Publish();
  };
  self->config_follower = std::make_unique<topic_follower>(
      self->sources.config_topic, std::move(config_events));
  self->upstream_follower = std::make_unique<topic_follower>(
      self->sources.upstream_topic, std::move(upstream_events));
  self->config_follower->Start();
  self->upstream_follower->Start();
  self->lapse_timer = RunEvery(kLapseInterval, [self] {
    const auto lapsed = RemoveLapsed(self->registry, MonotonicNow());
    if (lapsed.empty()) return;
    for (const std::string& id : lapsed) {
      LogEvent(log_level::info, "upstream_lapsed", {{"upstream", QtText(id)}});
    }
    self->Publish();
  });
}

std::shared_ptr<const fleet_view> fleet_control::View() const {
  return impl_->view;
}

absl::Status fleet_control::Ready() const {
  if (!impl_->config) {
    return MakeError(error_kind::not_ready, "no configuration is known yet");
  }
  if (impl_->registry.upstreams.empty()) {
    return MakeError(error_kind::not_ready, "no upstream is known yet");
  }
  return absl::OkStatus();
}

}  // namespace anvilridge
