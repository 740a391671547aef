#include "dispatch/send_outcome.h"

#include "base/error_kind.h"

namespace anvilridge {
namespace {

// Lowest HTTP status of a server error.
constexpr int kFirstServerError = 500;

}  // namespace

absl::string_view SendOutcomeName(send_outcome outcome) {
  switch (outcome) {
    case send_outcome::answered:
      return "answered";
    case send_outcome::refused:
      return "refused";
    case send_outcome::unsent:
      return "unsent";
    case send_outcome::unknown:
      return "unknown";
  }
  return "unknown";
}

send_outcome ClassifySend(const http_result& result,
                          const response_info& info) {
  if (!result.status.ok()) {
    return RunStateOf(result.status) == run_state::not_run
               ? send_outcome::unsent
               : send_outcome::unknown;
  }
  if (info.not_run || info.other_instance) return send_outcome::refused;
  return info.authentic ? send_outcome::answered : send_outcome::unknown;
}

next_step DecideNextStep(send_outcome outcome, int http_status,
                         const retry_context& retry) {
  const bool repeatable = retry.rule == run_rule::repeatable;
  const bool may_send = retry.has_other_upstream && retry.has_budget &&
                        retry.sends < retry.max_sends;
  switch (outcome) {
    case send_outcome::answered:
      // A server error may concern this upstream only, so a repeatable request
      // is sent to another one.
      if (http_status >= kFirstServerError && repeatable && may_send) {
        return next_step::send_again;
      }
      return next_step::deliver;
    case send_outcome::unsent:
      // Nothing was sent, so this counts neither as a send nor against the
      // budget.
      if (retry.has_other_upstream) return next_step::send_again;
      break;
    case send_outcome::refused:
      if (may_send) return next_step::send_again;
      break;
    case send_outcome::unknown:
      if (repeatable && may_send) return next_step::send_again;
      return next_step::fail;
  }
  // A repeatable request is refused as not run even if it may have run:
  // running it again does no harm.
  return repeatable || !retry.may_have_run ? next_step::refuse
                                           : next_step::fail;
}

}  // namespace anvilridge
