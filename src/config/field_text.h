#ifndef ANVILRIDGE_CONFIG_FIELD_TEXT_H_
#define ANVILRIDGE_CONFIG_FIELD_TEXT_H_

#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// Whether `text` is `a.b.c.d:port` with a port other than 0.
bool IsAddress(absl::string_view text);

/// Whether `text` is a path prefix such as `/ledger/`.
bool IsPath(absl::string_view text);

/// Whether `text` is 64 lower-case hexadecimal digits.
bool IsSha256(absl::string_view text);

/// Reads a whole number from `low` to `high`; leaves `value` alone otherwise.
bool ReadWhole(absl::string_view text, int low, int high, int& value);

/// Reads a number from `low` to `high`.
bool ReadNumber(absl::string_view text, double low, double high, double& value);

/// Reads a duration such as `27ms`, above zero and at most an hour.
bool ReadDelay(absl::string_view text, absl::Duration& value);

/// Reads `yes` or `no`.
bool ReadYesNo(absl::string_view text, bool& value);

/// Returns the shortest text that reads back as the same number.
std::string NumberText(double value);

/// Returns `yes` or `no`.
std::string YesNoText(bool value);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_FIELD_TEXT_H_
