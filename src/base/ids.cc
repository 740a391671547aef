#include "base/ids.h"

#include <QRandomGenerator>
#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace anvilridge {

std::string OwnerText(const owner_id& owner) {
  return absl::StrCat(owner.daemon, ":", owner.incarnation);
}

std::optional<owner_id> ParseOwner(absl::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == absl::string_view::npos || colon == 0) return std::nullopt;
  owner_id owner;
  owner.daemon = std::string(text.substr(0, colon));
  if (!absl::SimpleAtoi(text.substr(colon + 1), &owner.incarnation)) {
    return std::nullopt;
  }
  return owner;
}

std::string NewId() {
  QRandomGenerator* random = QRandomGenerator::system();
  return absl::StrCat(absl::Hex(random->generate64(), absl::kZeroPad16),
                      absl::Hex(random->generate64(), absl::kZeroPad16));
}

bool IsSafeId(absl::string_view id) {
  constexpr size_t kMaxLength = 64;
  if (id.empty() || id.size() > kMaxLength) return false;
  return std::all_of(id.begin(), id.end(), [](char c) {
    return absl::ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
  });
}

bool ConstantTimeEqual(absl::string_view a, absl::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned char difference = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

}  // namespace anvilridge
