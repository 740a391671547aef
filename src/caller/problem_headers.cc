#include "caller/problem_headers.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {

http_headers ProblemHeaders(const absl::Status& error) {
  http_headers headers = {{"content-type", "application/problem+json"}};
  const absl::Duration retry_after = RetryAfterOf(error);
  if (retry_after > absl::ZeroDuration()) {
    const absl::Duration whole = absl::Ceil(retry_after, absl::Seconds(1));
    headers.emplace_back("retry-after",
                         absl::StrCat(absl::ToInt64Seconds(whole)));
  }
  if (KindOf(error) == error_kind::method_not_allowed) {
    headers.emplace_back("allow", std::string(error.message()));
  }
  return headers;
}

}  // namespace anvilridge
