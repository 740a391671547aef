#ifndef ANVILRIDGE_REQUESTS_RESUME_TOKEN_H_
#define ANVILRIDGE_REQUESTS_RESUME_TOKEN_H_

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace anvilridge {

/// Names a place in a decode stream, so that any daemon can take it over. Sent
/// as the id of each server-sent event.
struct resume_token {
  /// The request's id at the engine.
  std::string request_id;
  std::string engine;
  /// Index of the token that the event carried.
  int index = 0;
};

/// Formats `token`, signed with the deployment's key for `team`, so that a
/// caller can neither invent a token nor use another team's.
std::string FormatResumeToken(const resume_token& token, absl::string_view team,
                              absl::string_view key);

/// Parses and verifies; fails with `malformed_request` or `forbidden`.
absl::StatusOr<resume_token> ParseResumeToken(absl::string_view text,
                                              absl::string_view team,
                                              absl::string_view key);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_RESUME_TOKEN_H_
