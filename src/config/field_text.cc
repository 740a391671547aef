#include "config/field_text.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace anvilridge {

bool IsAddress(absl::string_view text) {
  constexpr int kMaxPort = 65535;
  const size_t colon = text.rfind(':');
  if (colon == absl::string_view::npos) return false;
  const std::vector<absl::string_view> bytes =
      absl::StrSplit(text.substr(0, colon), '.');
  constexpr size_t kAddressBytes = 4;
  constexpr int kMaxByte = 255;
  if (bytes.size() != kAddressBytes) return false;
  int number = 0;
  const bool proper = std::all_of(bytes.begin(), bytes.end(), [&](auto byte) {
    return ReadWhole(byte, 0, kMaxByte, number);
  });
  return proper && ReadWhole(text.substr(colon + 1), 1, kMaxPort, number);
}

bool IsPath(absl::string_view text) {
  constexpr size_t kMaxLength = 128;
  if (text.empty() || text.size() > kMaxLength || text[0] != '/') return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isalnum(c) ||
           absl::string_view("/-_.~").find(c) != absl::string_view::npos;
  });
}

bool IsSha256(absl::string_view text) {
  constexpr size_t kDigits = 64;
  return text.size() == kDigits &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return absl::ascii_isdigit(c) || (c >= 'a' && c <= 'f');
         });
}

bool ReadWhole(absl::string_view text, int low, int high, int& value) {
  const bool digits = std::all_of(
      text.begin(), text.end(), [](char c) { return absl::ascii_isdigit(c); });
  int number = 0;
  if (!digits || !absl::SimpleAtoi(text, &number)) return false;
  if (number < low || number > high) return false;
  value = number;
  return true;
}

bool ReadNumber(absl::string_view text, double low, double high,
                double& value) {
  double number = 0;
  if (!absl::SimpleAtod(text, &number) || !std::isfinite(number)) return false;
  if (number < low || number > high) return false;
  value = number;
  return true;
}

bool ReadDelay(absl::string_view text, absl::Duration& value) {
  absl::Duration delay;
  if (!absl::ParseDuration(std::string(text), &delay)) return false;
  if (delay <= absl::ZeroDuration() || delay > absl::Hours(1)) return false;
  value = delay;
  return true;
}

bool ReadYesNo(absl::string_view text, bool& value) {
  if (text != "yes" && text != "no") return false;
  value = text == "yes";
  return true;
}

std::string NumberText(double value) {
  constexpr size_t kLongestNumber = 32;
  char text[kLongestNumber];
  const auto end = std::to_chars(text, text + sizeof(text), value).ptr;
  return {text, end};
}

std::string YesNoText(bool value) { return value ? "yes" : "no"; }

}  // namespace anvilridge
