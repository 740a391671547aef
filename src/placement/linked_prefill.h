#ifndef ANVILRIDGE_PLACEMENT_LINKED_PREFILL_H_
#define ANVILRIDGE_PLACEMENT_LINKED_PREFILL_H_

#include "placement/link_budget.h"
#include "placement/prefill_ledger.h"

namespace anvilridge {

/// Grants a place in the prefill queue together with a part of the link that
/// the result needs, or neither. Writes a log line when a link has a budget.
prefill_answer AskPrefillOverLink(prefill_ledger& prefill, link_ledger& links,
                                  const prefill_ask& ask,
                                  const link_share& share, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_LINKED_PREFILL_H_
