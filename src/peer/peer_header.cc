#include "peer/peer_header.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/strip.h"

namespace anvilridge {
namespace {

constexpr std::array<absl::string_view, kRepeatedKeys> kRepeatedFields = {
    "anvil-0", "anvil-1", "anvil-2", "anvil-3"};

void TakeRepeated(peer_header& header, absl::string_view name,
                  absl::string_view value) {
  const auto* const found =
      std::find(kRepeatedFields.begin(), kRepeatedFields.end(), name);
  if (found == kRepeatedFields.end()) return;
  header.repeated.at(found - kRepeatedFields.begin()) = std::string(value);
}

}  // namespace

nghttp2_nv MakeField(absl::string_view name, absl::string_view value) {
  // nghttp2 copies both; its C signature lacks the const.
  const auto bytes = [](absl::string_view text) {
    return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

std::vector<nghttp2_nv> CallFields(const peer_request& request,
                                   absl::string_view path,
                                   absl::string_view key) {
  std::vector<nghttp2_nv> fields = {
      MakeField(":method", "POST"), MakeField(":scheme", "http"),
      MakeField(":authority", "peer"), MakeField(":path", path),
      MakeField(kKeyField, key)};
  for (size_t i = 0; i < request.repeated.size(); ++i) {
    const std::string& text = request.repeated.at(i);
    if (!text.empty()) fields.push_back(MakeField(kRepeatedFields.at(i), text));
  }
  return fields;
}

void TakeField(peer_header& header, absl::string_view name,
               absl::string_view value) {
  if (name == ":path") {
    header.method = std::string(absl::StripPrefix(value, "/"));
  } else if (name == ":status") {
    (void)absl::SimpleAtoi(value, &header.http_status);
  } else if (name == kKeyField) {
    header.key = std::string(value);
  } else {
    TakeRepeated(header, name, value);
  }
}

}  // namespace anvilridge
