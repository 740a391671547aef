#ifndef ANVILRIDGE_REQUESTS_ATTEMPT_CALLS_H_
#define ANVILRIDGE_REQUESTS_ATTEMPT_CALLS_H_

#include <string>

#include "placement/placement_request.h"
#include "requests/answer_writer.h"
#include "requests/completion_flow.h"
#include "upstreams/engine_client.h"

namespace anvilridge {

// What one attempt at a completion asks of placement and of its engines. Each
// goes on from the tokens that `answer` has already, if any.

/// Asks for a place; the caller adds when the first token is due and which
/// engines to avoid.
placement_request MakePlacementRequest(const completion_request& request,
                                       const answer_writer& answer,
                                       const std::string& engine_request_id);

prefill_call MakePrefillCall(const completion_request& request,
                             const answer_writer& answer,
                             const placement_grant& grant);

import_call MakeImportCall(const completion_request& request,
                           const answer_writer& answer,
                           const placement_grant& grant,
                           const prefill_result& prefill);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_ATTEMPT_CALLS_H_
