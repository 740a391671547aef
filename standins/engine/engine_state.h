#ifndef ANVILRIDGE_STANDINS_ENGINE_ENGINE_STATE_H_
#define ANVILRIDGE_STANDINS_ENGINE_ENGINE_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "common/fault_table.h"
#include "engine/prefix_cache.h"

namespace anvilridge {

/// What a stand-in engine is and how fast it works.
struct engine_settings {
  std::string id = "engine";
  std::string model = "model";
  std::string version = "1";
  std::string role = "decode";
  std::string failure_domain = "domain";
  /// Requests that may hold a place for decoding.
  int slots = 20;
  /// KV cache pieces for requests; the prefix cache has its own.
  int pieces = 2000;
  int cache_pieces = 1000;
  /// Prefills that may wait or run.
  int max_queued = 64;
  bool checks_fencing = false;
  /// Text in a prompt on which the engine crashes when the first token is due;
  /// empty for none.
  std::string crash_on;
  double prefill_tokens_per_second = 8000;
  int prefill_chunk_tokens = 512;
  absl::Duration token_interval = absl::Milliseconds(20);
  /// Growth of the token interval for each further request of a batch.
  double interval_growth = 0.01;
  double transfer_pieces_per_second = 4000;
  /// Rate towards other failure domains.
  double cross_domain_pieces_per_second = 2000;
  absl::Duration kv_eviction = absl::Milliseconds(800);
  absl::Duration load_report_lag = absl::Milliseconds(500);
  absl::Duration cache_event_lag = absl::Milliseconds(500);
  double cache_event_loss = 0.02;
  /// Smallest share of `max_tokens` after which an answer may end; each prompt
  /// has its own fixed length between this share and 1.
  double output_share_min = 1;
  /// How long a load order takes to come into effect.
  absl::Duration model_load = absl::Seconds(2);
  uint64_t seed = 1;
};

/// Where a request is inside the engine.
enum class request_phase {
  queued,
  prefill,
  exportable,
  transfer,
  ready,
  decode
};

/// What the callers of prefill and import say of a request.
struct request_terms {
  std::string request_id;
  std::string owner;
  std::string model;
  std::string prompt;
  int max_tokens = 0;
  int priority = 0;
  /// Only of an import: size of the KV cache to fetch.
  int pieces = 0;
  int prompt_tokens = 0;
  /// Tokens of the answer that another engine has made before; part of the
  /// prefill, and decoding begins behind them.
  int generated_tokens = 0;
};

/// A request that the engine holds.
struct held_request {
  std::string id;
  std::string owner;
  request_phase phase = request_phase::queued;
  int priority = 0;
  /// Order of arrival.
  uint64_t sequence = 0;
  absl::Time arrived;
  int prompt_tokens = 0;
  int max_tokens = 0;
  /// Length of the answer.
  int output_tokens = 0;
  int cached_tokens = 0;
  /// Tokens of the prompt that are done, cached ones included.
  int prefilled_tokens = 0;
  int generated = 0;
  /// KV cache pieces held now.
  int pieces = 0;
  /// Pieces that the request may come to hold; admission counts these.
  int promised_pieces = 0;
  /// Whether the engine crashes when the first token is due.
  bool crashes = false;
  std::string kv_handle;
  absl::Time evicted_at = absl::InfiniteFuture();
  absl::Time exported_at = absl::InfiniteFuture();
  absl::Time stalled_until = absl::InfinitePast();
  uint64_t text_seed = 0;
  std::vector<uint64_t> prefix_hashes;
  /// Whether a decode stream is connected.
  bool attached = false;
};

/// Output that is kept for a resume after its end.
struct finished_request {
  std::string owner;
  int generated = 0;
  uint64_t text_seed = 0;
  absl::Time forgotten_at;
};

/// A cancel that came before its request.
struct tombstone {
  std::string owner;
  absl::Time forgotten_at;
};

/// The load at one moment.
struct load_sample {
  absl::Time time;
  int slots_used = 0;
  int pieces_used = 0;
  int queued = 0;
  int queued_tokens = 0;
};

struct engine_order {
  std::string order;
  std::string model;
  std::string version;
  std::string adapter;
  std::string role;
  int64_t fence = 0;
};

/// A load order that has been accepted and is not in effect yet.
struct pending_load {
  engine_order order;
  absl::Time done_at;
};

/// Totals since the start.
struct engine_totals {
  int64_t prefilled_tokens = 0;
  int64_t exported_tokens = 0;
  int64_t evicted_results = 0;
  int64_t evicted_tokens = 0;
  /// Prefilled tokens of requests cancelled before their first token.
  int64_t cancelled_tokens = 0;
  int64_t generated_tokens = 0;
  int64_t finished_requests = 0;
  /// How often each request was begun by a prefill or an import.
  std::map<std::string, int> started;
};

/// When each link, named by its far domain, has sent what was begun.
using link_times = std::map<std::string, absl::Time>;

/// The whole state of one engine.
struct engine_state {
  engine_settings settings;
  fault_table faults;
  std::map<std::string, held_request> requests;
  std::map<std::string, finished_request> finished;
  std::map<std::string, tombstone> tombstones;
  prefix_cache cache;
  uint64_t next_sequence = 1;
  /// The prefill whose chunk is being computed, and when that chunk ends.
  std::string prefilling;
  int chunk_tokens = 0;
  absl::Time chunk_ends = absl::InfiniteFuture();
  /// Requests of the decode step in progress, and when it ends.
  std::vector<std::string> batch;
  absl::Time batch_ends = absl::InfiniteFuture();
  /// Shared by the engines of one failure domain that run in one program.
  std::shared_ptr<link_times> link_free_at = std::make_shared<link_times>();
  std::deque<load_sample> loads;
  load_sample frozen_load;
  bool load_is_frozen = false;
  std::vector<pending_load> loading;
  std::vector<engine_order> orders;
  int64_t highest_fence = 0;
  engine_totals totals;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_ENGINE_ENGINE_STATE_H_
