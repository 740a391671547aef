#include "requests/attempt_calls.h"

#include "requests/completion_body.h"

namespace anvilridge {

placement_request MakePlacementRequest(const completion_request& request,
                                       const answer_writer& answer,
                                       const std::string& engine_request_id) {
  placement_request ask;
  ask.request_id = engine_request_id;
  ask.team = request.caller.team;
  ask.route = request.route;
  ask.prompt_tokens = EstimateTokens(request.body.prompt) + answer.next_index;
  ask.max_tokens = request.body.max_tokens - answer.next_index;
  ask.priority = request.caller.priority;
  ask.prefix_hashes = PromptPrefixHashes(request.body.prompt);
  return ask;
}

prefill_call MakePrefillCall(const completion_request& request,
                             const answer_writer& answer,
                             const placement_grant& grant) {
  prefill_call call;
  call.request_id = grant.request_id;
  call.owner = grant.owner;
  call.model = request.body.model;
  call.prompt = request.body.prompt;
  call.max_tokens = request.body.max_tokens;
  call.generated = answer.text;
  call.generated_tokens = answer.next_index;
  call.priority = request.caller.priority;
  return call;
}

import_call MakeImportCall(const completion_request& request,
                           const answer_writer& answer,
                           const placement_grant& grant,
                           const prefill_result& prefill) {
  import_call call;
  call.request_id = grant.request_id;
  call.owner = grant.owner;
  call.source = grant.prefill.address;
  call.kv_handle = prefill.kv_handle;
  call.prompt = request.body.prompt;
  call.pieces = prefill.pieces;
  call.prompt_tokens = prefill.prompt_tokens;
  call.max_tokens = request.body.max_tokens;
  call.generated = answer.text;
  call.generated_tokens = answer.next_index;
  call.priority = request.caller.priority;
  return call;
}

}  // namespace anvilridge
