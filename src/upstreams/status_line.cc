#include "upstreams/status_line.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

namespace anvilridge {
namespace {

constexpr size_t kStatusDigits = 3;
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr int kSwitchingProtocols = 101;

}  // namespace

std::optional<int> ParseStatusLine(absl::string_view line) {
  if (!absl::ConsumePrefix(&line, "HTTP/1.") || line.empty() ||
      !absl::ascii_isdigit(static_cast<unsigned char>(line[0]))) {
    return std::nullopt;
  }
  line.remove_prefix(1);
  if (!absl::ConsumePrefix(&line, " ")) return std::nullopt;
  const absl::string_view digits = line.substr(0, line.find(' '));
  int status = 0;
  if (digits.size() != kStatusDigits ||
      !std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit) ||
      !absl::SimpleAtoi(digits, &status)) {
    return std::nullopt;
  }
  if (status < kMinStatus || status > kMaxStatus ||
      status == kSwitchingProtocols) {
    return std::nullopt;
  }
  return status;
}

}  // namespace anvilridge
