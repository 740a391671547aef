#include "dispatch/send_outcome.h"

#include "base/error_kind.h"

namespace anvilridge {
namespace {

// Lowest HTTP status of a server error.
constexpr int kFirstServerError = 500;

}  // namespace

absl::string_view SendOutcomeName(send_fate outcome) {
  switch (outcome) {
    case send_fate::answered:
      return "answered";
    case send_fate::refused:
      return "refused";
    case send_fate::unsent:
      return "unsent";
    case send_fate::unknown:
      return "unknown";
  }
  return "unknown";
}

send_fate ClassifySend(const http_result& result, const answer_facts& info) {
  if (!result.status.ok()) {
    return RunStateOf(result.status) == run_state::not_run ? send_fate::unsent
                                                           : send_fate::unknown;
  }
  if (info.not_run || info.other_instance) return send_fate::refused;
  return info.genuine ? send_fate::answered : send_fate::unknown;
}

next_step DecideNextStep(send_fate outcome, int http_status,
                         const retry_context& retry) {
  const bool repeatable = retry.rule == run_rule::repeatable;
  const bool may_send = retry.has_other_upstream && retry.has_budget &&
                        retry.sends < retry.max_sends;
  switch (outcome) {
    case send_fate::answered:
      // A server error may concern this upstream only, so a repeatable request
      // is sent to another one.
      if (http_status >= kFirstServerError && repeatable && may_send) {
        return next_step::send_again;
      }
      return next_step::deliver;
    case send_fate::unsent:
      // Nothing was sent, so this counts neither as a send nor against the
      // budget.
      if (retry.has_other_upstream) return next_step::send_again;
      break;
    case send_fate::refused:
      if (may_send) return next_step::send_again;
      break;
    case send_fate::unknown:
      if (repeatable && may_send) return next_step::send_again;
      return next_step::fail;
  }
  // A repeatable request is refused as not run even if it may have run:
  // running it again does no harm.
  return repeatable || !retry.may_have_run ? next_step::refuse
                                           : next_step::fail;
}

}  // namespace anvilridge
