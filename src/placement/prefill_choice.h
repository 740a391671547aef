#ifndef ANVILRIDGE_PLACEMENT_PREFILL_CHOICE_H_
#define ANVILRIDGE_PLACEMENT_PREFILL_CHOICE_H_

#include <QJsonObject>
#include <random>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "config/config_state.h"
#include "placement/candidate_choice.h"
#include "placement/home_messages.h"
#include "placement/placement_request.h"
#include "placement/prefix_index.h"

namespace anvilridge {

/// Estimates of an entry daemon about the prefill engines, from the replies of
/// their homes and from the engines' cache events. Hints only, since they may
/// be out of date.
struct prefill_estimates {
  /// Hints by engine name. `wait` is the time until the engine has done all
  /// work that its home knew of; `free_slots` is not used.
  engine_hints hints;
  /// Average prefill rate of an engine, from the homes' replies.
  double tokens_per_second = 8000;
  /// Whether engines that may have the prompt's prefix cached are preferred.
  bool prefix_affinity = true;
  prefix_index prefixes;
  prefix_index_policy prefix_policy;
};

/// A prompt to prefill and the destination of the result.
struct prefill_task {
  int prompt_tokens = 0;
  /// Failure domain of the decode engine; empty until one has been chosen.
  std::string decode_domain;
  /// Hashes of the prompt's prefixes, shortest first.
  absl::Span<const uint64_t> prefixes = {};
};

/// A prefill engine that could run a `prefill_task`, and the predicted times.
struct prefill_option {
  const upstream_config* engine = nullptr;
  /// `FROM>TO` if the result has to leave the engine's failure domain, else
  /// empty.
  std::string link;
  /// Estimated number of leading prompt tokens in the engine's prefix cache.
  int cached_tokens = 0;
  /// Prefill time that the cached tokens save.
  absl::Duration saved_work;
  /// Wait until the prefill starts.
  absl::Duration wait;
  /// Duration of the prefill, without the cached tokens.
  absl::Duration work;
  /// Duration of the transfer of the result to the decode engine.
  absl::Duration transfer;
};

/// Returns the predicted time until the result of `option` has arrived at the
/// decode engine.
absl::Duration TimeToDeliver(const prefill_option& option);

/// Returns options for `task`, best first. The engines are a random sample of
/// `candidates`, taken separately inside and outside the decode engine's
/// failure domain, and those candidates that may have the beginning of the
/// prompt cached. The options are sorted by `TimeToDeliver`, in which the
/// prefill time saved by cached tokens counts more than once. The decode
/// engine's failure domain is thus preferred unless the queues there are longer
/// by more than the shorter transfer saves.
std::vector<prefill_option> RankPrefillOptions(
    const config_state& config,
    const std::vector<const upstream_config*>& candidates,
    const prefill_task& task, const prefill_estimates& estimates,
    absl::Time now, std::mt19937_64& random);

/// Returns the reservation request for `option`. `time_left` is the time until
/// the first token is due. The longest acceptable wait in the request is what
/// remains of it after the prefill, the transfer and one token interval.
reserve_prefill_message MakeReservePrefillRequest(
    const placement_request& request, const prefill_option& option,
    const std::string& owner, const std::string& decode_domain,
    absl::Duration time_left);

/// Returns the log entry for `option` and the reply of its home, for the list
/// of considered engines in the `placement` log line.
QJsonObject MakeDecisionLogRow(
    const prefill_option& option,
    const absl::StatusOr<reserve_prefill_reply>& reply);

/// Updates the estimates by the reply of a home to the reservation request for
/// `option`.
void UpdatePrefillEstimates(prefill_estimates& estimates,
                            const prefill_option& option,
                            const placement_request& request,
                            const reserve_prefill_reply& reply, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PREFILL_CHOICE_H_
