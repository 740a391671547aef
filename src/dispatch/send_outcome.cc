#include "dispatch/send_outcome.h"

#include "base/error_kind.h"

namespace anvilridge {
namespace {

constexpr int kFirstServerError = 500;

}  // namespace

absl::string_view SendFateName(send_fate fate) {
  switch (fate) {
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

send_fate FateOf(const http_result& result, const answer_facts& facts) {
  if (!result.status.ok()) {
    return RunStateOf(result.status) == run_state::not_run ? send_fate::unsent
                                                           : send_fate::unknown;
  }
  if (facts.not_run || facts.other_instance) return send_fate::refused;
  return facts.genuine ? send_fate::answered : send_fate::unknown;
}

next_step StepAfter(send_fate fate, int http_status,
                    const send_allowance& allowance) {
  const bool repeatable = allowance.rule == run_rule::repeatable;
  const bool may_send = allowance.other_upstream && allowance.budget &&
                        allowance.sends < allowance.attempts;
  switch (fate) {
    case send_fate::answered:
      // A failure of a repeatable request may be that upstream's own.
      if (http_status >= kFirstServerError && repeatable && may_send) {
        return next_step::send_again;
      }
      return next_step::deliver;
    case send_fate::unsent:
      // Not a send: neither the attempts nor the budget are touched.
      if (allowance.other_upstream) return next_step::send_again;
      break;
    case send_fate::refused:
      if (may_send) return next_step::send_again;
      break;
    case send_fate::unknown:
      if (repeatable && may_send) return next_step::send_again;
      return next_step::fail;
  }
  // A repeatable request may run again, so that an earlier run does no harm.
  return repeatable || !allowance.may_have_run ? next_step::refuse
                                               : next_step::fail;
}

}  // namespace anvilridge
