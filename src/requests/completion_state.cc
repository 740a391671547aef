#include "requests/completion_state.h"

#include <utility>

#include "base/error_kind.h"

namespace anvilridge {

completion_state::completion_state(flow_context& on, completion_request asked,
                                   std::shared_ptr<inbound_exchange> exchange)
    : context(on), request(std::move(asked)) {
  writer.exchange = std::move(exchange);
  writer.request_id = request.request_id;
  writer.model = request.body.model;
  writer.stream = request.body.stream;
}

const request_services& ServicesOf(const completion_state& flow) {
  return *flow.context.services;
}

active_request ActiveRequest(const completion_state& flow,
                             absl::string_view stage) {
  return {flow.request.request_id, flow.request.caller.team, flow.request.route,
          std::string(stage),      flow.grant.decode.name,   flow.started,
          flow.engine_request_id};
}

void SetStage(completion_state& flow, absl::string_view stage) {
  flow.stage = std::string(stage);
  ServicesOf(flow).update(ActiveRequest(flow, stage));
}

bool IsServed(const completion_state& flow) {
  return !flow.over && !flow.writer.ended;
}

bool LeaseLost(const completion_state& flow) {
  return !ServicesOf(flow).may_act(flow.grant.owner);
}

bool IsStall(const absl::Status& result) {
  if (result.ok()) return false;
  const error_kind kind = KindOf(result);
  return kind == error_kind::upstream_stalled ||
         (kind == error_kind::upstream_refused &&
          result.message() == "stalled");
}

decode_source SourceOf(const completion_state& flow) {
  return {flow.engine_request_id, flow.grant.decode, flow.grant.owner};
}

}  // namespace anvilridge
