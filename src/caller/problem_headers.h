#ifndef ANVILRIDGE_CALLER_PROBLEM_HEADERS_H_
#define ANVILRIDGE_CALLER_PROBLEM_HEADERS_H_

#include "absl/status/status.h"
#include "caller/caller_port.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// Returns the header fields of a problem document for `error`: its type,
/// `Retry-After` when the caller may come back, and `Allow` for
/// `method_not_allowed`, whose detail is the list of methods allowed.
http_headers ProblemHeaders(
    const absl::Status& error,
    retry_after_form form = retry_after_form::whole_seconds);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_PROBLEM_HEADERS_H_
