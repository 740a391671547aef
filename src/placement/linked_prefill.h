#ifndef ANVILRIDGE_PLACEMENT_LINKED_PREFILL_H_
#define ANVILRIDGE_PLACEMENT_LINKED_PREFILL_H_

#include "placement/link_budget.h"
#include "placement/prefill_ledger.h"

namespace anvilridge {

/// Reserves a place in the prefill queue together with the transfer of the
/// result over the link of `share`, or neither of them. A share without a
/// budget (zero `pieces_per_second`) needs no transfer reservation; otherwise
/// the decision is logged as `link_budget`. Sets `link_full` in the reply if
/// the transfer doesn't fit.
reserve_prefill_reply ReservePrefillOverLink(
    prefill_ledger& prefill, link_ledger& links,
    const reserve_prefill_request& request, const link_share& share,
    absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_LINKED_PREFILL_H_
