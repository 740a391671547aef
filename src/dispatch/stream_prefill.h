#ifndef ANVILRIDGE_DISPATCH_STREAM_PREFILL_H_
#define ANVILRIDGE_DISPATCH_STREAM_PREFILL_H_

#include "dispatch/stream_state.h"

namespace anvilridge {

/// Time after which callers may retry a request whose prefill failed: the next
/// daemon that they reach has a part of the budget of its own.
inline constexpr absl::Duration kLostPrefillRetryAfter =
    absl::Milliseconds(250);

/// Returns whether the prompt may be sent to prefill engines, or else must be
/// prefilled by the decode engine.
bool MayPrefill(stream_state& stream);

/// Sends the prompt to a prefill engine, for the decode engine that is reserved
/// for `stream`. Its result leads to the decode, its failure to another send.
/// @param replaces_other whether it is sent in place of another prefill.
void SendPrefill(stream_state& stream, const fleet_upstream& engine,
                 bool replaces_other);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_PREFILL_H_
