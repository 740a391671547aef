#ifndef ANVILRIDGE_TESTS_SOAK_SOAK_RECORD_H_
#define ANVILRIDGE_TESTS_SOAK_SOAK_RECORD_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace anvilridge {

enum class request_kind { posting, read, stream };

/// What one caller asked and got.
struct caller_record {
  std::string id;
  request_kind kind = request_kind::read;
  int daemon = 0;
  absl::Time began;
  absl::Time ended = absl::InfiniteFuture();
  /// When the caller closed its connection before the answer was complete.
  absl::Time left = absl::InfiniteFuture();
  /// Its own time limit; that of its route unless it has one.
  std::optional<absl::Duration> limit;
  /// How long an upstream takes for it.
  absl::Duration work;
  /// Whether its prompt has a part that crashes engines.
  bool deadly = false;
  /// Team whose key it has; none if nobody holds the key, or without one.
  std::string team = {};
  /// The one version of the configuration with its key; 0 if all have it.
  int key_version = 0;
  /// Tokens by which it counts towards the cap of its team.
  int tokens = 0;
  /// Whether a connection was made, over which it was sent.
  bool sent = false;
  /// 0 when no answer began.
  int status = 0;
  /// Whether the answer came to its end.
  bool whole = false;
  std::string retry_after;
  std::string body;
};

/// One arrival of a request at an upstream.
struct upstream_arrival {
  absl::Time at;
  /// Whether it was a prefill whose result the engine sent.
  bool accepted_prefill = false;
  /// Instance that it arrived at.
  std::string upstream = {};
};

/// What an instance stated about itself in its answer to a request.
struct upstream_word {
  std::string upstream;
  absl::Time told;
  /// Until when it wants nothing; infinite if it is leaving.
  absl::Time until;
};

/// What happened to one request at the upstreams.
struct upstream_record {
  std::string service;
  /// In order of time, also where it was refused, lost or not answered.
  std::vector<upstream_arrival> arrivals;
  /// Whether an upstream was silent while it had this request, and whether one
  /// broke off or failed it.
  bool silenced = false;
  bool failed = false;
  /// Teams that upstreams were told, and whether they saw a caller's key.
  std::set<std::string> teams;
  bool saw_key = false;
  std::vector<upstream_word> words;
  /// Times at which an upstream began to run it.
  std::vector<absl::Time> runs;
  /// Times at which an engine stopped generating it: its end or its caller's.
  std::vector<absl::Time> stops;
};

enum class fault_place { daemon, store, upstream };

/// A span in which something was disturbed.
struct fault_span {
  fault_place place = fault_place::daemon;
  /// Which daemon it concerns; -1 for all of them.
  int daemon = -1;
  absl::Time from;
  absl::Time to;
};

/// A configuration and when it was written to the store.
struct config_record {
  int version = 0;
  absl::Time written;
};

/// One question of which configuration a daemon has in force.
struct config_probe {
  int daemon = 0;
  absl::Time asked;
  /// 0 when it could not be told.
  int version = 0;
  /// How often the daemon had been started before.
  int starts = 0;
  absl::Time answered;
};

/// All that is known of one run, for the checks.
struct soak_record {
  std::vector<caller_record> callers;
  std::map<std::string, upstream_record> upstreams;
  std::vector<fault_span> faults;
  std::vector<config_record> configs;
  std::vector<config_probe> probes;
  /// Whether callers need keys of teams.
  bool teams = false;
  /// When engines crashed on a prompt.
  std::vector<absl::Time> crashes;
  /// Slack of the daemons' send budget; the largest if it changes.
  int send_slack = 0;
  /// Ratio of that budget.
  double send_ratio = 0.2;
  /// Whether planned stops were all that was disturbed; upstreams may refuse.
  bool only_stops = false;
  /// From when on nothing is disturbed any more, and the end.
  absl::Time calm;
  absl::Time end;
  /// What the run itself saw, such as a daemon that crashed.
  std::vector<std::string> findings;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_SOAK_SOAK_RECORD_H_
