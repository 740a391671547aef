#ifndef ANVILRIDGE_DISPATCH_ENGINE_LEDGER_H_
#define ANVILRIDGE_DISPATCH_ENGINE_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/admission_turn.h"
#include "dispatch/decode_memory.h"
#include "fleet/fleet_upstream.h"
#include "teams/team_usage.h"

namespace anvilridge {

/// What one daemon has in flight at one engine.
struct engine_usage {
  std::vector<decode_run> runs;
  /// Prompt tokens of the daemon's requests that the engine has yet to prefill.
  double prefill_tokens = 0;
};

/// What one daemon has in flight at all engines, as sent to the other daemons.
struct daemon_load {
  /// By `EngineKey`.
  std::map<uint32_t, engine_usage> engines;
  /// Streams that wait for decode memory and can still be on time.
  int waiting = 0;
  /// Streams that can no longer be on time, queued behind the `waiting` ones.
  int late = 0;
  /// The departure of an engine that the daemon has ordered out of its stage.
  struct stage_departure {
    /// Stage that the engine leaves.
    engine_stage stage = engine_stage::none;
    /// For how long the engine may still be registered with `stage`.
    absl::Duration left;
  };
  /// Stage departures in progress, by `EngineKey`.
  std::map<uint32_t, stage_departure> stage_departures;
  /// Keys of upstreams to which the daemon recently failed to connect.
  std::vector<uint32_t> unreachable;
  /// `InstanceKey`s of the upstreams that have stated to the daemon that they
  /// are leaving.
  std::vector<uint32_t> leaving;
  /// Time until the daemon is expected to have ended its planned stop; nothing
  /// unless it is stopping.
  std::optional<absl::Duration> stop_left;
  /// Identifies the run of the daemon's process. Set from the message.
  uint64_t incarnation = 0;
  /// The daemon's use of the teams' caps.
  daemon_use teams;
};

/// The load of another daemon as received last.
struct peer_load {
  daemon_load load;
  /// Time of receipt.
  absl::Time received;
};

/// Runs and prefills in flight at the engines: those of this daemon, and those
/// that the other daemons have reported.
struct engine_ledger {
  struct own_run {
    /// `EngineKey` of the engine.
    uint32_t engine = 0;
    decode_run run;
    /// Tokens that the decode engine prefills itself before the run's first
    /// event, multiplied by `kDecodePrefillCost`.
    double tokens_to_prefill = 0;
  };
  struct own_prefill {
    /// `EngineKey` of the engine.
    uint32_t engine = 0;
    double tokens = 0;
  };
  /// This daemon's runs and prefills by request id.
  std::map<std::string, own_run, std::less<>> runs;
  std::map<std::string, own_prefill, std::less<>> prefills;
  /// Loads of the other daemons by daemon name.
  std::map<std::string, peer_load, std::less<>> peers;
  /// Tokens that one run generates per millisecond, a moving average.
  double tokens_per_ms = 1.3;
  /// Prompt tokens that one prefill engine prefills per millisecond, a moving
  /// average.
  double prefill_tokens_per_ms = 50;
};

/// Time for a prompt at a decode engine relative to the time at a prefill
/// engine: decode engines prefill at half the speed.
inline constexpr double kDecodePrefillCost = 2;

/// A peer's load is ignored when no newer one was received for this long, which
/// is the time after which engines drop the runs of a daemon that has died.
inline constexpr absl::Duration kPeerLoadLifetime = absl::Milliseconds(1500);

/// Whether a peer's load was received recently enough to be used at `now`.
bool IsFresh(const peer_load& peer, absl::Time now);

/// Returns the hash by which daemons identify an engine in messages.
uint32_t EngineKey(absl::string_view engine_id);

/// Reserves memory at a decode engine for a request.
/// @param prompt tokens that the run holds when it begins at `now`.
/// @param output tokens that the run is expected to generate.
void ReserveRun(engine_ledger& ledger, absl::string_view request_id,
                absl::string_view engine_id, double prompt, double output,
                absl::Time now);

/// Sets how many tokens the decode engine of a reserved run has to prefill
/// itself before the first event, in tokens at the speed of a prefill engine.
/// Does nothing if the request has no run.
void SetTokensToPrefill(engine_ledger& ledger, absl::string_view request_id,
                        double tokens);

/// Sets the progress of a run: at `now` it holds `context` tokens and is
/// expected to generate `remaining` more. Does nothing if the request has no
/// run.
void AdvanceRun(engine_ledger& ledger, absl::string_view request_id,
                double context, double remaining, absl::Time now);

/// Removes the run of a request, if it has one.
void EndRun(engine_ledger& ledger, absl::string_view request_id);

/// Adds `tokens` of a request to the backlog of a prefill engine.
void BeginPrefill(engine_ledger& ledger, absl::string_view request_id,
                  absl::string_view engine_id, double tokens);

/// Removes the prefill of a request, if it has one.
void EndPrefill(engine_ledger& ledger, absl::string_view request_id);

/// Updates the moving average of the decode speed with a run that generated
/// `tokens` within `took`.
void UpdateDecodeSpeed(engine_ledger& ledger, double tokens,
                       absl::Duration took);

/// Updates the moving average of the prefill speed with an engine that
/// prefilled `tokens` within `took`.
void UpdatePrefillSpeed(engine_ledger& ledger, double tokens,
                        absl::Duration took);

/// Returns the runs of all daemons at an engine as expected at `now`.
std::vector<decode_run> EngineRuns(const engine_ledger& ledger,
                                   absl::string_view engine_id, absl::Time now);

/// Returns how many prompt tokens an engine has yet to prefill for all daemons.
/// Tokens at a decode engine are multiplied by `kDecodePrefillCost`.
double PrefillBacklog(const engine_ledger& ledger, absl::string_view engine_id,
                      absl::Time now);

/// Returns how many streams that can be on time wait at the other daemons.
int StreamsWaitingAtPeers(const engine_ledger& ledger, absl::Time now);

/// Returns the other daemons that have waiting streams, each with their number.
/// @param late counts the late streams instead of those that can be on time.
std::vector<waiting_daemon> WaitingDaemons(const engine_ledger& ledger,
                                           bool late, absl::Time now);

/// Returns this daemon's load at the engines, for the other daemons. The caller
/// sets the other fields.
daemon_load OwnLoad(const engine_ledger& ledger, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ENGINE_LEDGER_H_
