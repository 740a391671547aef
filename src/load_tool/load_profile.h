#ifndef ANVILRIDGE_LOAD_TOOL_LOAD_PROFILE_H_
#define ANVILRIDGE_LOAD_TOOL_LOAD_PROFILE_H_

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// The completions of a deployment. Prompt lengths are lognormal, output
/// limits uniform.
struct completion_mix {
  std::string model = "model";
  /// Weight among all requests.
  double share = 1;
  double prompt_tokens_median = 500;
  /// Standard deviation of the logarithm of the length.
  double prompt_tokens_sigma = 0.4;
  int prompt_tokens_most = 4000;
  /// Prompts that begin with one of `prefixes` shared texts, as a share.
  double prefix_share = 0;
  int prefixes = 1;
  int prefix_tokens = 0;
  int max_tokens_least = 16;
  int max_tokens_most = 64;
};

/// The calls to plain services beside them.
struct service_mix {
  std::string path = "/ledger/";
  /// Weights of keyed postings and of lookups among all requests.
  double postings = 0;
  double lookups = 0;
};

/// What counts as served well.
struct latency_targets {
  absl::Duration first_token = absl::Seconds(1);
  /// Bound on the mean time between the tokens of one answer.
  absl::Duration between_tokens = absl::Milliseconds(40);
  /// A request that has not ended by then is given up by its caller.
  absl::Duration deadline = absl::Seconds(10);
};

/// The engines that a deployment has, from which its capacity follows.
struct fleet_size {
  int prefill_engines = 1;
  int decode_engines = 1;
  int services = 0;
  int slots = 20;
  int pieces = 2000;
  double prefill_tokens_per_second = 8000;
  double token_interval_ms = 20;
  double interval_growth = 0.01;
  /// Answers end between this share of their limit and all of it.
  double output_share_min = 1;
  /// `goodput` or `wasted_prefill`, the objective of the route.
  std::string objective = "goodput";
};

/// Sizes and request mix of one deployment.
struct load_profile {
  std::string name;
  completion_mix completions;
  service_mix services;
  latency_targets targets;
  fleet_size fleet;
};

/// Parses the INI text of a profile; fails with `config_invalid` on a line,
/// section, key or value that is not understood.
absl::StatusOr<load_profile> ParseLoadProfile(absl::string_view text);

/// Returns the completions per second that keep every decode slot busy.
double DecodeCapacity(const load_profile& profile);

}  // namespace anvilridge

#endif  // ANVILRIDGE_LOAD_TOOL_LOAD_PROFILE_H_
