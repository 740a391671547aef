#include "settings/settings_table.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "settings/settings_keys.h"
#include "settings/settings_values.h"

namespace anvilridge {
namespace {

using key_rows = std::vector<settings_key>;

void AddIdentity(key_rows& rows) {
  rows.push_back(NameKey(
      {"daemon", "name", "Name of this daemon, unique in the fleet.",
       /*required=*/true},
      [](auto& s) -> auto& { return s.identity.name; }));
  rows.push_back(NameKey(
      {"daemon", "failure_domain", "Failure domain that this VM is in.",
       /*required=*/true},
      [](auto& s) -> auto& { return s.identity.failure_domain; }));
  rows.push_back(NameKey(
      {"daemon", "region", "Region, for logs."},
      [](auto& s) -> auto& { return s.identity.region; }));
  rows.push_back(IntegerKey<int>(
      {"daemon", "traffic_threads", "Threads that carry traffic."}, 1, 64,
      [](auto& s) -> auto& { return s.identity.traffic_threads; }));
  rows.push_back(TextKey(
      {"daemon", "ports_file",
       "File written at start with the ports that were bound, as INI."},
      "a file name", [](auto& s) -> auto& { return s.identity.ports_file; },
      [](absl::string_view value) { return !value.empty(); }));
}

void AddPort(key_rows& rows, const std::string& section,
             const std::string& what,
             const std::function<port_settings&(daemon_settings&)>& port,
             bool with_tls) {
  rows.push_back(EndpointKey(
      {section, "listen",
       absl::StrCat("Where ", what, "; port 0 lets the system choose.")},
      0, [port](auto& s) -> auto& { return port(s).listen; }));
  if (!with_tls) return;
  rows.push_back(BooleanKey(
      {section, "tls", "Whether the port speaks TLS only."},
      [port](auto& s) -> auto& { return port(s).tls; }));
  rows.push_back(FileKey(
      {section, "certificate_file",
       "Certificate chain in PEM; required with tls."},
      [port](auto& s) -> auto& { return port(s).certificate_file; }));
  rows.push_back(FileKey(
      {section, "private_key_file",
       "RSA or EC private key in PEM; required with tls."},
      [port](auto& s) -> auto& { return port(s).private_key_file; }));
}

void AddPorts(key_rows& rows) {
  AddPort(
      rows, "caller", "callers are served",
      [](auto& s) -> auto& { return s.caller; }, /*with_tls=*/true);
  AddPort(
      rows, "operator", "operators give commands",
      [](auto& s) -> auto& { return s.operators; }, /*with_tls=*/true);
  AddPort(
      rows, "peer", "the other daemons connect",
      [](auto& s) -> auto& { return s.peer; }, /*with_tls=*/false);
  AddPort(
      rows, "metrics", "/healthz, /readyz and /metrics are served",
      [](auto& s) -> auto& { return s.metrics; }, /*with_tls=*/false);
}

void AddLimits(key_rows& rows) {
  constexpr int64_t kKibibyte = 1 << 10;
  constexpr int64_t kMebibyte = 1 << 20;
  constexpr int64_t kGibibyte = 1 << 30;
  rows.push_back(IntegerKey<int64_t>(
      {"limits", "max_body_bytes", "Largest request body."}, kKibibyte,
      64 * kMebibyte,
      [](auto& s) -> auto& { return s.limits.max_body_bytes; }));
  rows.push_back(IntegerKey<int64_t>(
      {"limits", "max_header_bytes", "Largest request line and header fields."},
      kKibibyte, kMebibyte,
      [](auto& s) -> auto& { return s.limits.max_header_bytes; }));
  rows.push_back(IntegerKey<int>(
      {"limits", "max_connections", "Most open connections of one port."}, 1,
      60000, [](auto& s) -> auto& { return s.limits.max_connections; }));
  rows.push_back(IntegerKey<int>(
      {"limits", "max_requests", "Most requests in progress on one port."}, 1,
      60000, [](auto& s) -> auto& { return s.limits.max_requests; }));
  rows.push_back(DurationKey(
      {"limits", "request_timeout",
       "From the first byte of a request to its last; also the longest time "
       "in which a caller may take nothing of its answer."},
      absl::Milliseconds(100), absl::Minutes(5),
      [](auto& s) -> auto& { return s.limits.request_timeout; }));
  rows.push_back(DurationKey(
      {"limits", "idle_timeout",
       "How long a connection may stay open without a request."},
      absl::Milliseconds(100), absl::Hours(1),
      [](auto& s) -> auto& { return s.limits.idle_timeout; }));
  rows.push_back(IntegerKey<int64_t>(
      {"limits", "max_unsent_bytes",
       "Unsent bytes of one streamed answer past which its reader is cut off."},
      4 * kKibibyte, 16 * kMebibyte,
      [](auto& s) -> auto& { return s.limits.max_unsent_bytes; }));
  rows.push_back(IntegerKey<int64_t>(
      {"limits", "max_held_bytes",
       "Bytes kept for the callers of one port, of requests and of answers "
       "that they have not taken, beyond which requests are refused."},
      kMebibyte, 64 * kGibibyte,
      [](auto& s) -> auto& { return s.limits.max_held_bytes; }));
}

void AddPlatform(key_rows& rows) {
  rows.push_back(EndpointKey(
      {"platform", "log", "The platform's log service.", /*required=*/true}, 1,
      [](auto& s) -> auto& { return s.platform.log; }));
  rows.push_back(EndpointKey(
      {"platform", "vm_list", "The platform's VM list.", /*required=*/true}, 1,
      [](auto& s) -> auto& { return s.platform.vm_list; }));
  settings_key weight_store = EndpointKey(
      {"platform", "weight_store",
       "The platform's weight store; without it, engines fetch the weights of "
       "a load by themselves."},
      1, [](auto& s) -> auto& { return s.platform.weight_store; });
  weight_store.show = [](daemon_settings& s) {
    const endpoint& store = s.platform.weight_store;
    return store.port == 0 ? "" : EndpointText(store);
  };
  rows.push_back(std::move(weight_store));
  rows.push_back(IntegerKey<int>(
      {"platform", "log_appends_per_second",
       "Appends that all daemons of the deployment may use together."},
      1, 100000,
      [](auto& s) -> auto& { return s.platform.log_appends_per_second; }));
  rows.push_back(DurationKey(
      {"platform", "log_retention", "How long the log keeps records."},
      absl::Minutes(1), absl::Hours(24 * 366),
      [](auto& s) -> auto& { return s.platform.log_retention; }));
}

settings_key SeedsKey() {
  settings_key row = MakeKey(
      {"peers", "seeds", "Peer ports to ask first; the VM list adds to them."},
      "a list of ip:port separated by commas");
  row.set = [](absl::string_view value, daemon_settings& s) {
    auto list = ParseEndpointList(value);
    if (!list) return false;
    s.peers.seeds = *std::move(list);
    return true;
  };
  row.show = [](daemon_settings& s) {
    return absl::StrJoin(s.peers.seeds, ", ");
  };
  return row;
}

void AddPeers(key_rows& rows) {
  rows.push_back(SeedsKey());
  rows.push_back(FileKey(
      {"peers", "key_file",
       "File with the secret that the deployment's daemons "
       "share.",
       /*required=*/true},
      [](auto& s) -> auto& { return s.peers.key_file; }));
  rows.push_back(DurationKey(
      {"peers", "probe_interval", "Time between two probes."},
      absl::Milliseconds(10), absl::Minutes(1),
      [](auto& s) -> auto& { return s.peers.probe_interval; }));
  rows.push_back(DurationKey(
      {"peers", "lease",
       "How long a daemon may act without hearing from others; at least twice "
       "the probe interval."},
      absl::Milliseconds(20), absl::Minutes(10),
      [](auto& s) -> auto& { return s.peers.lease; }));
}

struct policy_name {
  placement_policy policy;
  absl::string_view name;
};

constexpr policy_name kPolicyNames[] = {
    {placement_policy::homes, "homes"},
    {placement_policy::round_robin, "round_robin"},
    {placement_policy::least_loaded, "least_loaded"}};

settings_key PolicyKey() {
  settings_key row = MakeKey(
      {"placement", "policy",
       "How engines are chosen; all but homes are baselines of measurements "
       "that promise no place before a prefill starts."},
      "homes, round_robin or least_loaded");
  row.set = [](absl::string_view value, daemon_settings& s) {
    for (const policy_name& row : kPolicyNames) {
      if (row.name != value) continue;
      s.placement.policy = row.policy;
      return true;
    }
    return false;
  };
  row.show = [](daemon_settings& s) {
    for (const policy_name& row : kPolicyNames) {
      if (row.policy == s.placement.policy) return std::string(row.name);
    }
    return std::string();
  };
  return row;
}

void AddHealth(key_rows& rows) {
  rows.push_back(IntegerKey<int>(
      {"health", "consecutive_failures",
       "Failed or stalled calls in a row that eject an upstream."},
      1, 1000, [](auto& s) -> auto& { return s.health.consecutive_failures; }));
  rows.push_back(IntegerKey<int>(
      {"health", "failure_percent",
       "Share of failed or stalled calls within the window that ejects an "
       "upstream, in percent."},
      1, 100, [](auto& s) -> auto& { return s.health.failure_percent; }));
  rows.push_back(IntegerKey<int>(
      {"health", "least_calls",
       "Calls within the window below which failure_percent says nothing."},
      1, 100000, [](auto& s) -> auto& { return s.health.least_calls; }));
  rows.push_back(DurationKey(
      {"health", "window", "Over how long failure_percent is taken."},
      absl::Milliseconds(100), absl::Hours(1),
      [](auto& s) -> auto& { return s.health.window; }));
  rows.push_back(DurationKey(
      {"health", "first_ejection",
       "How long the first ejection lasts; each further one lasts twice as "
       "long."},
      absl::Milliseconds(100), absl::Hours(1),
      [](auto& s) -> auto& { return s.health.first_ejection; }));
  rows.push_back(DurationKey(
      {"health", "longest_ejection",
       "Longest ejection; at least first_ejection."},
      absl::Milliseconds(100), absl::Hours(24),
      [](auto& s) -> auto& { return s.health.longest_ejection; }));
  rows.push_back(DurationKey(
      {"health", "return_over",
       "How long the share of work of an upstream grows after an ejection."},
      absl::Milliseconds(100), absl::Hours(1),
      [](auto& s) -> auto& { return s.health.return_over; }));
}

void AddRetries(key_rows& rows) {
  rows.push_back(IntegerKey<int>(
      {"retries", "percent",
       "Retries of failed calls, in percent of the requests of a route; 0 for "
       "none."},
      0, 100, [](auto& s) -> auto& { return s.retries.percent; }));
  rows.push_back(IntegerKey<int>(
      {"retries", "burst",
       "Retries that each route may have saved up, by traffic thread."},
      1, 10000, [](auto& s) -> auto& { return s.retries.burst; }));
  rows.push_back(DurationKey(
      {"retries", "first_pause",
       "Longest pause before the first retry; it doubles with each further "
       "one."},
      absl::Milliseconds(1), absl::Seconds(10),
      [](auto& s) -> auto& { return s.retries.first_pause; }));
  rows.push_back(DurationKey(
      {"retries", "longest_pause", "Longest pause before any retry."},
      absl::Milliseconds(1), absl::Seconds(10),
      [](auto& s) -> auto& { return s.retries.longest_pause; }));
}

void AddLogAndBootstrap(key_rows& rows) {
  rows.push_back(TextKey(
      {"log", "level", "Least level of the log lines written."},
      "debug, info, warn or error",
      [](auto& s) -> auto& { return s.log.level; },
      [](absl::string_view value) {
        return value == "debug" || value == "info" || value == "warn" ||
               value == "error";
      }));
  rows.push_back(TextKey(
      {"log", "destination", "Where the log lines go."},
      "stdout, stderr or a file name",
      [](auto& s) -> auto& { return s.log.destination; },
      [](absl::string_view value) { return !value.empty(); }));
  rows.push_back(FileKey(
      {"bootstrap", "administrator_key_file",
       "File with an administrator's key, accepted on the operator port beside "
       "the keys of the configuration."},
      [](auto& s) -> auto& { return s.administrator_key_file; }));
}

key_rows MakeTable() {
  key_rows rows;
  AddIdentity(rows);
  AddPorts(rows);
  AddLimits(rows);
  AddPlatform(rows);
  AddPeers(rows);
  rows.push_back(PolicyKey());
  rows.push_back(BooleanKey(
      {"placement", "prefix_affinity",
       "Whether prefill engines are chosen by what their prefix caches may "
       "hold, as told by their cache events."},
      [](auto& s) -> auto& { return s.placement.prefix_affinity; }));
  AddHealth(rows);
  AddRetries(rows);
  AddLogAndBootstrap(rows);
  return rows;
}

}  // namespace

const std::vector<settings_key>& SettingsTable() {
  static const key_rows* const kTable = new key_rows(MakeTable());
  return *kTable;
}

const settings_key* FindSettingsKey(absl::string_view section,
                                    absl::string_view key) {
  for (const settings_key& row : SettingsTable()) {
    if (row.section == section && row.key == key) return &row;
  }
  return nullptr;
}

bool IsSettingsSection(absl::string_view section) {
  const auto& table = SettingsTable();
  return std::any_of(table.begin(), table.end(),
                     [&](const auto& row) { return row.section == section; });
}

}  // namespace anvilridge
