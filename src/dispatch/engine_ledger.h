#ifndef ANVILRIDGE_DISPATCH_ENGINE_LEDGER_H_
#define ANVILRIDGE_DISPATCH_ENGINE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "dispatch/admission_turn.h"
#include "dispatch/decode_memory.h"
#include "fleet/fleet_upstream.h"

namespace anvilridge {

/// What one daemon has under way at one engine.
struct engine_share {
  std::vector<decode_run> runs;
  /// Prompt tokens that it waits for there.
  double prefill_tokens = 0;
};

/// What one daemon has under way.
struct load_share {
  /// By engine id's hash.
  std::map<uint32_t, engine_share> engines;
  /// Streams that wait for decode memory and can still be on time.
  int waiting = 0;
  /// Streams that wait behind those since they can't be on time any more.
  int late = 0;
  /// Engines that it ordered out of a stage, with that stage, and for how long
  /// they may still be registered with it.
  struct stage_leaver {
    engine_stage stage = engine_stage::none;
    absl::Duration left;
  };
  std::map<uint32_t, stage_leaver> leavers;
  /// Upstreams to which it could not connect of late.
  std::vector<uint32_t> unreachable;
};

/// What another daemon said last.
struct peer_share {
  load_share share;
  absl::Time heard;
};

/// The runs of this daemon and those that others tell of.
struct engine_ledger {
  struct own_run {
    uint32_t engine = 0;
    decode_run run;
    /// What the engine reads before the run's first event, as prompt tokens at
    /// a prefill engine.
    double to_read = 0;
  };
  struct own_prefill {
    uint32_t engine = 0;
    double tokens = 0;
  };
  std::map<std::string, own_run, std::less<>> runs;
  std::map<std::string, own_prefill, std::less<>> prefills;
  std::map<std::string, peer_share, std::less<>> peers;
  /// Tokens that one run generates in a millisecond, measured.
  double tokens_per_ms = 1.3;
  /// Prompt tokens that one prefill engine reads in a millisecond, measured.
  double prefill_tokens_per_ms = 50;
};

/// Time of a prompt at a decode engine, in that at a prefill engine: decode
/// engines read at half the speed.
inline constexpr double kDecodePrefillCost = 2;

/// What others told is dropped when nothing was heard for this long: the time
/// after which engines have dropped the runs of a daemon that died.
inline constexpr absl::Duration kPeerShareLife = absl::Milliseconds(1500);

/// Whether what another daemon told still counts.
bool IsFresh(const peer_share& share, absl::Time now);

/// Hash by which daemons name an engine to each other.
uint32_t EngineKey(absl::string_view engine_id);

/// Promises memory at an engine to a request.
void PromiseRun(engine_ledger& ledger, absl::string_view request_id,
                absl::string_view engine_id, double prompt, double output,
                absl::Time now);

/// Notes that the engine of a promised run has `tokens` to read itself before
/// the first event.
void ExpectReading(engine_ledger& ledger, absl::string_view request_id,
                   double tokens);

/// Notes that a run stands at `context` tokens with `remaining` to come.
void AdvanceRun(engine_ledger& ledger, absl::string_view request_id,
                double context, double remaining, absl::Time now);

void EndRun(engine_ledger& ledger, absl::string_view request_id);

void BeginPrefill(engine_ledger& ledger, absl::string_view request_id,
                  absl::string_view engine_id, double tokens);
void EndPrefill(engine_ledger& ledger, absl::string_view request_id);

/// Learns the speed of engines from what was generated or read in `took`.
void LearnDecodeSpeed(engine_ledger& ledger, double tokens,
                      absl::Duration took);
void LearnPrefillSpeed(engine_ledger& ledger, double tokens,
                       absl::Duration took);

/// Returns the runs of all daemons at an engine as expected at `now`.
std::vector<decode_run> RunsAt(const engine_ledger& ledger,
                               absl::string_view engine_id, absl::Time now);

/// Returns the prompt tokens that an engine has to read for all daemons; those
/// at a decode engine count by their cost.
double PrefillBacklog(const engine_ledger& ledger, absl::string_view engine_id,
                      absl::Time now);

/// Returns how many streams wait at the other daemons.
int PeersWaiting(const engine_ledger& ledger, absl::Time now);

/// Returns the other daemons with streams that wait and can still be on time,
/// or with `late` ones.
std::vector<room_contender> Contenders(const engine_ledger& ledger, bool late,
                                       absl::Time now);

/// Returns what this daemon has under way, for the others.
load_share OwnShare(const engine_ledger& ledger, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_ENGINE_LEDGER_H_
