#include "quarantine/prompt_part.h"

#include <xxhash.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace anvilridge {
namespace {

// Digits of a hexadecimal number of 64 bits.
constexpr size_t kMaxDigits = 16;

}  // namespace

prompt_part PromptPartNamed(absl::string_view name) {
  prompt_part part = 0;
  if (name.size() <= kMaxDigits && absl::SimpleHexAtoi(name, &part)) {
    return part;
  }
  return XXH3_64bits(name.data(), name.size());
}

std::string PromptPartName(prompt_part part) {
  return absl::StrCat(absl::Hex(part));
}

std::string PromptPartNames(absl::Span<const prompt_part> parts) {
  return absl::StrJoin(parts, ",", [](std::string* out, prompt_part part) {
    absl::StrAppend(out, PromptPartName(part));
  });
}

}  // namespace anvilridge
