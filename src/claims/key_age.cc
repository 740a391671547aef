#include "claims/key_age.h"

#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "base/error_kind.h"
#include "base/ids.h"

namespace anvilridge {
namespace {

constexpr size_t kUuidLength = 36;
constexpr size_t kVersionPosition = 14;
constexpr size_t kVariantPosition = 19;
constexpr size_t kSecondsDigits = 10;

bool HasUuidFormat(absl::string_view key) {
  if (key.size() != kUuidLength) return false;
  for (size_t i = 0; i < key.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    if (dash ? key[i] != '-' : !absl::ascii_isxdigit(key[i])) return false;
  }
  return true;
}

std::optional<absl::Time> ParseUuidV7Time(absl::string_view key) {
  constexpr absl::string_view kVariants = "89abAB";
  if (!HasUuidFormat(key) || key[kVersionPosition] != '7') return std::nullopt;
  if (kVariants.find(key[kVariantPosition]) == absl::string_view::npos) {
    return std::nullopt;
  }
  // The first 48 bits hold the Unix time in milliseconds.
  const std::string digits =
      std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
  uint64_t millis = 0;
  if (!absl::SimpleHexAtoi(digits, &millis)) return std::nullopt;
  return absl::FromUnixMillis(static_cast<int64_t>(millis));
}

std::optional<absl::Time> ParseSecondsKeyTime(absl::string_view key) {
  if (!IsSafeId(key) || key.size() < kSecondsDigits + 2) return std::nullopt;
  if (key[kSecondsDigits] != '-') return std::nullopt;
  int64_t seconds = 0;
  const absl::string_view digits = key.substr(0, kSecondsDigits);
  for (char c : digits) {
    if (!absl::ascii_isdigit(c)) return std::nullopt;
  }
  if (!absl::SimpleAtoi(digits, &seconds)) return std::nullopt;
  return absl::FromUnixSeconds(seconds);
}

}  // namespace

absl::StatusOr<absl::Time> ParseKeyTime(absl::string_view key) {
  if (const auto time = ParseUuidV7Time(key)) return *time;
  if (const auto time = ParseSecondsKeyTime(key)) return *time;
  return MakeError(error_kind::key_malformed,
                   "expected a UUIDv7 or <unix seconds>-<id>");
}

absl::Status CheckKeyNotInFuture(absl::Time key_time, absl::Time wall_now) {
  if (key_time <= wall_now + kMaxKeyClockLead) return absl::OkStatus();
  return MakeError(error_kind::key_malformed,
                   "the time in the key is in the future");
}

absl::Status CheckKeyNotExpired(absl::Time key_time,
                                absl::Time complete_since) {
  if (key_time - kMaxKeyClockLead - kMaxLogClockSkew >= complete_since) {
    return absl::OkStatus();
  }
  return MakeError(error_kind::key_expired,
                   "the key may be older than the oldest record in the log");
}

}  // namespace anvilridge
