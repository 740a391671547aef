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
#include "placement/place_request.h"
#include "placement/prefix_index.h"

namespace anvilridge {

/// What an entry daemon has heard of the prefill engines; hints that age.
struct prefill_knowledge {
  /// `wait` is the time until the work known then is done.
  engine_hints hints;
  /// Rate that the homes' answers have shown.
  double tokens_per_second = 8000;
  /// Whether engines are chosen by what their prefix caches may hold.
  bool prefix_affinity = true;
  prefix_index prefixes;
  prefix_policy prefix_bounds;
};

/// What is to be prefilled, and where the result goes.
struct prefill_need {
  int prompt_tokens = 0;
  /// Failure domain of the decode engine; empty while it is not known.
  std::string decode_domain;
  /// Hashes of the prompt's prefixes, shortest first.
  absl::Span<const uint64_t> prefixes = {};
};

/// A prefill engine and what it would take until the first token.
struct prefill_option {
  const upstream_config* engine = nullptr;
  /// `FROM>TO` when the result has to leave the engine's failure domain.
  std::string link;
  /// Leading tokens of the prompt that the engine is believed to have cached.
  int cached_tokens = 0;
  /// Time that they save.
  absl::Duration saved;
  absl::Duration wait;
  absl::Duration work;
  absl::Duration transfer;
};

/// Returns the predicted time until `option` has delivered its result.
absl::Duration DeliversIn(const prefill_option& option);

/// Samples some of `candidates`, those in the decode engine's failure domain
/// and others apart, adds those that may have the prompt's beginning cached,
/// and orders them by the time that each would take, in which saved prefill
/// work counts more than once. So the own failure domain is preferred unless
/// its queue is longer by more than the shorter transfer saves.
std::vector<prefill_option> PrefillOptions(
    const config_state& config,
    const std::vector<const upstream_config*>& candidates,
    const prefill_need& need, const prefill_knowledge& knowledge,
    absl::Time now, std::mt19937_64& random);

/// Returns the ask for `option`; `left` is the time until the first token is
/// due.
prefill_ask_message MakePrefillAsk(const place_request& request,
                                   const prefill_option& option,
                                   const std::string& owner,
                                   const std::string& decode_domain,
                                   absl::Duration left);

/// Returns what the decision line says of `option` and its home's answer.
QJsonObject ConsideredRow(const prefill_option& option,
                          const absl::StatusOr<prefill_answer>& answer);

/// Notes a home's answer to the ask for `option`.
void LearnPrefill(prefill_knowledge& knowledge, const prefill_option& option,
                  const place_request& request, const prefill_answer& answer,
                  absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_PREFILL_CHOICE_H_
