#ifndef ANVILRIDGE_QUARANTINE_PROMPT_PART_H_
#define ANVILRIDGE_QUARANTINE_PROMPT_PART_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace anvilridge {

/// Identifies a part of a prompt that several requests may share.
using prompt_part = uint64_t;

/// Parts of one prompt in order, without the last one, which belongs to the
/// request itself.
using prompt_parts = std::vector<prompt_part>;

/// Returns the part named `name`: its value if it is a hexadecimal number of 64
/// bits, and its hash otherwise.
prompt_part PromptPartNamed(absl::string_view name);

/// Returns the name of `part` in logs and for operators, in hexadecimal.
std::string PromptPartName(prompt_part part);

/// Returns the names of `parts`, separated by commas.
std::string PromptPartNames(absl::Span<const prompt_part> parts);

}  // namespace anvilridge

#endif  // ANVILRIDGE_QUARANTINE_PROMPT_PART_H_
