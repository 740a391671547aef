#ifndef ANVILRIDGE_FLEET_DAEMON_FLEET_CONTROL_H_
#define ANVILRIDGE_FLEET_DAEMON_FLEET_CONTROL_H_

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "fleet/fleet_view.h"
#include "fleet/group_member.h"
#include "fleet/topic_follower.h"

namespace anvilridge {

/// Store calls and parsers through which a daemon obtains its configuration,
/// its upstreams and the group of daemons.
struct fleet_sources {
  topic_calls config_topic;
  topic_calls upstream_topic;
  /// Calls of the group of all daemons.
  group_calls group;
  /// Key of the configuration's record in `config_topic`; records with other
  /// keys are ignored.
  std::string config_key;
  /// Parses the value of the configuration's record, or returns an error.
  std::function<absl::StatusOr<fleet_config>(absl::string_view value)>
      parse_config;
  /// Returns the value of the configuration's record without the callers' keys,
  /// for other daemons; `parse_config` parses that, too.
  std::function<std::string(absl::string_view value)> without_keys =
      [](absl::string_view value) { return std::string(value); };
  /// Parses the entry of the upstream `id`, or returns an error.
  std::function<absl::StatusOr<fleet_upstream>(absl::string_view id,
                                               absl::string_view value)>
      parse_upstream;
};

/// Follows the configuration and the upstreams in the store, and publishes both
/// together as one immutable view. Some daemons read the store for all; the
/// others take what is new from their reports. Used only on the control thread.
class fleet_control {
 public:
  using view_callback = std::function<void(std::shared_ptr<const fleet_view>)>;
  using report_callback = std::function<void(const store_report&)>;

  /// @param on_view called on the control thread with each new view.
  /// @param on_report called on the control thread with each report for the
  ///     other daemons, while this daemon is a reader.
  fleet_control(
      fleet_sources sources, view_callback on_view,
      report_callback on_report = [](const store_report&) {});
  ~fleet_control();

  /// Starts to follow both topics.
  void Start();

  /// Sets whether this daemon reads the store for others.
  void SetReader(bool is_reader);

  /// Applies the report of a reader.
  void HandleReport(const store_report& report);

  /// Returns whether this daemon reads the store for others.
  bool IsReader() const;

  /// Returns the latest time, by the monotonic clock, at which this daemon had
  /// all records of both topics; the infinite past before the first.
  absl::Time CompleteAt() const;

  /// Returns the latest view; null before the first one is published.
  std::shared_ptr<const fleet_view> View() const;

  /// Returns OK if a configuration and at least one upstream are available, or
  /// a `not_ready` error.
  absl::Status Ready() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_DAEMON_FLEET_CONTROL_H_
