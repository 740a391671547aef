#include "caller/problem_headers.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {

http_headers ProblemHeaders(const absl::Status& error, retry_after_form form) {
  http_headers headers = {{"content-type", "application/problem+json"}};
  const absl::Duration retry_after = RetryAfterOf(error);
  if (retry_after > absl::ZeroDuration()) {
    const bool whole = form == retry_after_form::whole_seconds;
    const absl::Duration rounded = absl::Ceil(
        retry_after, whole ? absl::Seconds(1) : absl::Milliseconds(1));
    headers.emplace_back("retry-after",
                         absl::StrCat(absl::ToDoubleSeconds(rounded)));
  }
  if (KindOf(error) == error_kind::method_not_allowed) {
    headers.emplace_back("allow", std::string(error.message()));
  }
  return headers;
}

}  // namespace anvilridge
