#include "load_tool/arrival_plan.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

constexpr int kBytesPerToken = 4;

// Text of `tokens` tokens that `seed` fixes.
std::string FillerText(int tokens, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string text;
  text.reserve(static_cast<size_t>(tokens) * kBytesPerToken);
  constexpr int kLetters = 26;
  for (int i = 0; i < tokens * kBytesPerToken; ++i) {
    text.push_back(static_cast<char>('a' + random() % kLetters));
  }
  return text;
}

int DrawPromptTokens(const completion_mix& mix, std::mt19937_64& random) {
  std::lognormal_distribution<double> length(std::log(mix.prompt_tokens_median),
                                             mix.prompt_tokens_sigma);
  const int tokens = static_cast<int>(length(random));
  return std::clamp(tokens, 1, mix.prompt_tokens_most);
}

void FillCompletion(planned_request& request, const completion_mix& mix,
                    std::mt19937_64& random) {
  std::uniform_int_distribution<int> limit(mix.max_tokens_least,
                                           mix.max_tokens_most);
  request.max_tokens = limit(random);
  const int tokens = DrawPromptTokens(mix, random);
  std::string prefix;
  if (std::bernoulli_distribution(mix.prefix_share)(random)) {
    const uint64_t chosen = random() % mix.prefixes;
    prefix = FillerText(std::min(mix.prefix_tokens, tokens), chosen);
  }
  const int rest = tokens - static_cast<int>(prefix.size()) / kBytesPerToken;
  request.prompt = absl::StrCat(prefix, FillerText(rest, random()));
}

}  // namespace

std::vector<planned_request> PlanArrivals(const load_profile& profile,
                                          double completions_per_second,
                                          absl::Duration duration,
                                          uint64_t seed) {
  std::mt19937_64 random(seed);
  const double weights[] = {profile.completions.share,
                            profile.services.postings,
                            profile.services.lookups};
  const double total = weights[0] + weights[1] + weights[2];
  std::exponential_distribution<double> gap(completions_per_second * total /
                                            weights[0]);
  std::discrete_distribution<int> kind(std::begin(weights), std::end(weights));
  std::vector<planned_request> plan;
  absl::Duration at = absl::Seconds(gap(random));
  for (; at < duration; at += absl::Seconds(gap(random))) {
    planned_request request;
    request.at = at;
    request.kind = static_cast<load_kind>(kind(random));
    if (request.kind == load_kind::completion) {
      FillCompletion(request, profile.completions, random);
    }
    plan.push_back(std::move(request));
  }
  return plan;
}

}  // namespace anvilridge
