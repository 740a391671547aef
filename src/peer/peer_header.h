#ifndef ANVILRIDGE_PEER_PEER_HEADER_H_
#define ANVILRIDGE_PEER_PEER_HEADER_H_

#include <nghttp2/nghttp2.h>

#include <array>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "peer/peer_message.h"

namespace anvilridge {

inline constexpr absl::string_view kKeyField = "anvil-key";

/// What the header fields of a message carry.
struct peer_header {
  std::string method;
  std::string key;
  std::array<std::string, kRepeatedKeys> repeated;
  int http_status = 0;
};

/// Makes a field of texts that must outlive it.
nghttp2_nv MakeField(absl::string_view name, absl::string_view value);

/// Returns the fields of a call to `path`: the same ones each time, so that
/// header compression sends the key once. All texts must outlive them.
std::vector<nghttp2_nv> CallFields(const peer_request& request,
                                   absl::string_view path,
                                   absl::string_view key);

/// Takes one field over; unknown ones are ignored.
void TakeField(peer_header& header, absl::string_view name,
               absl::string_view value);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PEER_PEER_HEADER_H_
