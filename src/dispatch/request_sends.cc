#include "dispatch/request_sends.h"

#include <algorithm>

namespace anvilridge {

int ExtraSends(const request_sends& sends) {
  const int counted =
      sends.prefills - (sends.prefill_accepted ? 1 : 0) + sends.runs;
  return std::max(0, counted - 1);
}

bool NeedsBudget(const request_sends& sends, send_purpose purpose) {
  request_sends next = sends;
  CountSend(next, purpose);
  return ExtraSends(next) > sends.budgeted;
}

void CountSend(request_sends& sends, send_purpose purpose, bool returns) {
  if (purpose == send_purpose::prefill) {
    ++sends.prefills;
    return;
  }
  ++sends.runs;
  if (!returns) ++sends.attempts;
}

void UncountSend(request_sends& sends, send_purpose purpose, bool returns) {
  if (purpose == send_purpose::prefill) {
    --sends.prefills;
    return;
  }
  --sends.runs;
  if (!returns) --sends.attempts;
}

}  // namespace anvilridge
