#ifndef ANVILRIDGE_STANDINS_COMMON_TOKEN_TEXT_H_
#define ANVILRIDGE_STANDINS_COMMON_TOKEN_TEXT_H_

#include <xxhash.h>

#include <cstdint>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace anvilridge {

/// Returns the seed of the answer to a prompt, which fixes all of its text.
inline uint64_t TextSeed(absl::string_view model, absl::string_view prompt,
                         int max_tokens) {
  const uint64_t model_hash = XXH64(model.data(), model.size(), max_tokens);
  return XXH64(prompt.data(), prompt.size(), model_hash);
}

/// Returns token number `index` of the answer with `seed`.
inline std::string TokenText(uint64_t seed, int index) {
  const uint64_t hash = XXH64(&index, sizeof(index), seed);
  return absl::StrCat(" w", absl::Hex(hash & 0xffff, absl::kZeroPad4));
}

/// Returns the whole answer of a stand-in engine to a prompt.
inline std::string AnswerText(absl::string_view model, absl::string_view prompt,
                              int max_tokens) {
  const uint64_t seed = TextSeed(model, prompt, max_tokens);
  std::string text;
  for (int i = 0; i < max_tokens; ++i) {
    absl::StrAppend(&text, TokenText(seed, i));
  }
  return text;
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_COMMON_TOKEN_TEXT_H_
