#ifndef ANVILRIDGE_SETTINGS_DAEMON_SETTINGS_H_
#define ANVILRIDGE_SETTINGS_DAEMON_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace anvilridge {

/// An IP address and a TCP or UDP port; port 0 lets the system choose.
struct endpoint {
  std::string address = "127.0.0.1";
  uint16_t port = 0;
};

/// `[daemon]`: who this daemon is.
struct identity_settings {
  std::string name;
  std::string failure_domain;
  std::string region;
  int traffic_threads = 2;
  /// Written at start with the ports that were bound, as INI; empty for none.
  std::string ports_file;
};

/// `[caller]`, `[operator]`, `[peer]`, `[metrics]`: the ports.
struct port_settings {
  endpoint listen;
  bool tls = false;
  std::string certificate_file;
  std::string private_key_file;
};

/// `[limits]`: bounds on what callers may send and hold.
struct limit_settings {
  int64_t max_body_bytes = 1 << 20;
  int64_t max_header_bytes = 16 << 10;
  int max_connections = 2000;
  int max_requests = 1000;
  /// From the first byte of a request to its last.
  absl::Duration request_timeout = absl::Seconds(10);
  /// From the first byte of a request to the end of its header fields;
  /// `request_timeout` if absent. No key of its own.
  std::optional<absl::Duration> header_timeout;
  absl::Duration idle_timeout = absl::Seconds(60);
  /// Unsent bytes of one answer past which its reader is cut off.
  int64_t max_unsent_bytes = 256 << 10;
  /// Bytes kept for the callers of one port beyond which longer requests are
  /// refused. The fleet daemon derives its own from its machine's memory.
  int64_t max_held_bytes = 256 << 20;
};

/// `[platform]`: the platform's services.
struct platform_settings {
  endpoint log;
  endpoint vm_list;
  /// Port 0 where engines fetch weights by themselves.
  endpoint weight_store;
  /// Appends per second that this deployment may use in all.
  int log_appends_per_second = 200;
  /// How long the log keeps records.
  absl::Duration log_retention = absl::Hours(24);
};

/// `[peers]`: how the daemons of a deployment find and trust each other.
struct peer_settings {
  /// `address:port` of peer ports to ask first; the VM list adds to them.
  std::vector<std::string> seeds;
  /// File with the shared secret of the deployment's daemons.
  std::string key_file;
  absl::Duration probe_interval = absl::Seconds(1);
  absl::Duration lease = absl::Seconds(5);
};

/// How engines are chosen for a completion. All but `homes` are baselines of
/// measurements: they promise nothing before a prefill starts.
enum class placement_policy { homes, round_robin, least_loaded };

/// `[placement]`: how engines are chosen.
struct placement_settings {
  placement_policy policy = placement_policy::homes;
  /// Whether prefill engines are chosen by what their prefix caches may hold.
  bool prefix_affinity = true;
};

/// `[health]`: when a failing upstream gets no new work, and how it comes back.
struct health_settings {
  int consecutive_failures = 3;
  /// Share of the window's calls, in percent.
  int failure_percent = 50;
  int least_calls = 10;
  absl::Duration window = absl::Seconds(10);
  absl::Duration first_ejection = absl::Seconds(1);
  absl::Duration longest_ejection = absl::Seconds(30);
  absl::Duration return_over = absl::Seconds(5);
};

/// `[retries]`: how often failed calls are tried elsewhere. Budgets are kept by
/// route and traffic thread.
struct retry_settings {
  /// Retries that a request earns, in percent.
  int percent = 10;
  /// Retries that may be saved up.
  int burst = 10;
  absl::Duration first_pause = absl::Milliseconds(20);
  absl::Duration longest_pause = absl::Milliseconds(500);
};

/// `[log]`: level and destination of the JSON log lines.
struct log_settings {
  std::string level = "info";
  /// `stdout`, `stderr` or a file path.
  std::string destination = "stderr";
};

/// All settings of one daemon, as checked from its INI file.
struct daemon_settings {
  identity_settings identity;
  port_settings caller;
  port_settings operators;
  port_settings peer;
  port_settings metrics;
  limit_settings limits;
  platform_settings platform;
  peer_settings peers;
  placement_settings placement;
  health_settings health;
  retry_settings retries;
  log_settings log;
  /// `[bootstrap]`: file with an administrator's key, accepted on the operator
  /// port beside the keys of the configuration.
  std::string administrator_key_file;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_SETTINGS_DAEMON_SETTINGS_H_
