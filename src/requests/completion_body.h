#ifndef ANVILRIDGE_REQUESTS_COMPLETION_BODY_H_
#define ANVILRIDGE_REQUESTS_COMPLETION_BODY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace anvilridge {

/// The members of a completion request that the router acts on.
struct completion_body {
  std::string model;
  std::string prompt;
  int max_tokens = 16;
  bool stream = false;
};

/// Parses an OpenAI-style completion body. Fails with `malformed_request`
/// naming the member and what is allowed.
absl::StatusOr<completion_body> ParseCompletionBody(absl::string_view json);

/// Returns the tokens that `prompt` is counted as before an engine has said.
int EstimateTokens(absl::string_view prompt);

/// Returns the hashes of the prompt's first 256, 512, … characters, the units
/// of the engines' prefix caches; at most `kMaxPrefixHashes`.
std::vector<uint64_t> PromptPrefixHashes(absl::string_view prompt);

inline constexpr size_t kMaxPrefixHashes = 64;

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_COMPLETION_BODY_H_
