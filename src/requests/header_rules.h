#ifndef ANVILRIDGE_REQUESTS_HEADER_RULES_H_
#define ANVILRIDGE_REQUESTS_HEADER_RULES_H_

#include "upstreams/http_client.h"

namespace anvilridge {

/// Returns the header fields of a caller that go on to a plain service: not
/// those of the connection, and not the caller's credential.
http_headers ForwardedRequestHeaders(const http_headers& headers);

/// Returns the header fields of a service's answer that go to the caller.
http_headers ForwardedAnswerHeaders(const http_headers& headers);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_HEADER_RULES_H_
