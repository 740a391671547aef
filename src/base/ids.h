#ifndef ANVILRIDGE_BASE_IDS_H_
#define ANVILRIDGE_BASE_IDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// Identity of one run of one daemon: a restarted or expired daemon comes back
/// with a higher incarnation, and holds nothing of the earlier ones.
struct owner_id {
  std::string daemon;
  uint64_t incarnation = 0;

  friend bool operator==(const owner_id&, const owner_id&) = default;
  friend bool operator<(const owner_id& a, const owner_id& b) {
    return std::tie(a.daemon, a.incarnation) <
           std::tie(b.daemon, b.incarnation);
  }
};

/// Returns `daemon:incarnation`, the form that engines keep with a request.
std::string OwnerText(const owner_id& owner);

/// Parses the form of `OwnerText`.
std::optional<owner_id> ParseOwner(absl::string_view text);

/// Returns 32 lower-case hexadecimal digits from the system's random source.
std::string NewId();

/// Whether `id` is 1 to 64 characters of letters, digits, `-`, `_`, `.`.
bool IsSafeId(absl::string_view id);

/// Compares in a time that depends on the lengths only.
bool ConstantTimeEqual(absl::string_view a, absl::string_view b);

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_IDS_H_
