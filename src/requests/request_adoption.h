#ifndef ANVILRIDGE_REQUESTS_REQUEST_ADOPTION_H_
#define ANVILRIDGE_REQUESTS_REQUEST_ADOPTION_H_

#include <functional>
#include <string>

#include "absl/status/status.h"
#include "requests/decode_stream.h"
#include "requests/flow_context.h"

namespace anvilridge {

/// Called with ok once the request belongs to the new owner, or is no longer
/// held and may have finished; `resume_fenced` when another daemon owns it;
/// else why the engine could not be asked, after which it may belong to either.
using adoption_callback = std::function<void(const absl::Status&)>;

/// Hands the request from `old_owner` to `source.owner` at the engine, for a
/// daemon that goes on under a new incarnation. Never takes it from a daemon
/// that adopted it meanwhile.
void AdoptFrom(flow_context& context, const decode_source& source,
               const std::string& old_owner, adoption_callback done);

/// Hands the request from whoever owns it to `source.owner`, for a caller that
/// came back: the later reader wins.
void AdoptFromAny(flow_context& context, const decode_source& source,
                  adoption_callback done);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_REQUEST_ADOPTION_H_
