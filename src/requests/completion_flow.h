#ifndef ANVILRIDGE_REQUESTS_COMPLETION_FLOW_H_
#define ANVILRIDGE_REQUESTS_COMPLETION_FLOW_H_

#include <memory>
#include <string>

#include "base/ids.h"
#include "caller/caller_port.h"
#include "requests/caller_identity.h"
#include "requests/completion_body.h"
#include "requests/flow_context.h"
#include "requests/resume_token.h"

namespace anvilridge {

/// One completion that was authenticated and routed.
struct completion_request {
  std::string request_id;
  caller_identity caller;
  std::string route;
  completion_body body;
};

/// Starts a completion: admission, placement, prefill, transfer, decode, and
/// the answer on `exchange`. Runs on its own until the answer has ended, and
/// then holds nothing at any engine.
void StartCompletion(flow_context& context, completion_request request,
                     std::shared_ptr<inbound_exchange> exchange);

/// Takes over the stream that `token` names and sends what comes after it.
void ResumeCompletion(flow_context& context, completion_request request,
                      const resume_token& token,
                      std::shared_ptr<inbound_exchange> exchange);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_COMPLETION_FLOW_H_
