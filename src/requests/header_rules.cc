#include "requests/header_rules.h"

#include <algorithm>
#include <array>

namespace anvilridge {
namespace {

// Fields that belong to one connection, and the framing that each hop sets
// itself.
constexpr std::array kConnectionFields = {"connection",
                                          "keep-alive",
                                          "proxy-authenticate",
                                          "te",
                                          "trailer",
                                          "transfer-encoding",
                                          "upgrade",
                                          "content-length",
                                          "expect",
                                          "proxy-connection"};

// Fields that a caller may not set towards a service.
constexpr std::array kCallerOnlyFields = {"authorization", "cookie", "host",
                                          "x-fencing-number",
                                          "x-fencing-expires-ms"};

template <typename Names>
bool IsOneOf(const std::string& name, const Names& names) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

http_headers ForwardedRequestHeaders(const http_headers& headers) {
  http_headers forwarded;
  for (const auto& field : headers) {
    if (IsOneOf(field.first, kConnectionFields)) continue;
    if (IsOneOf(field.first, kCallerOnlyFields)) continue;
    forwarded.push_back(field);
  }
  return forwarded;
}

http_headers ForwardedAnswerHeaders(const http_headers& headers) {
  http_headers forwarded;
  for (const auto& field : headers) {
    if (!IsOneOf(field.first, kConnectionFields)) forwarded.push_back(field);
  }
  return forwarded;
}

}  // namespace anvilridge
