#ifndef ANVILRIDGE_CALLER_PROBLEM_HEADERS_H_
#define ANVILRIDGE_CALLER_PROBLEM_HEADERS_H_

#include "absl/status/status.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Returns the header fields of a problem document for `error`: its type,
/// `Retry-After` when the caller may come back, and `Allow` for
/// `method_not_allowed`, whose detail is the list of methods allowed.
http_headers ProblemHeaders(const absl::Status& error);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_PROBLEM_HEADERS_H_
