#ifndef ANVILRIDGE_DISPATCH_DECODE_PLACE_H_
#define ANVILRIDGE_DISPATCH_DECODE_PLACE_H_

#include <optional>
#include <variant>

#include "fleet/fleet_upstream.h"

namespace anvilridge {

/// The stream has not asked for an engine yet.
struct no_decode_place {};

/// The stream waits in one of the queues for decode memory.
struct queued_decode {};

/// Memory is reserved at `engine`, and the stream has not been sent there, or
/// has not been run by it.
struct reserved_decode {
  fleet_upstream engine;
};

/// A decode is in progress. `decode_runs` knows its engine, and the one that
/// may take over from it.
struct running_decode {};

/// What a stream has of the decode pool. It is one of these at a time, so that
/// a stream is never queued twice, queued beside a decode, or sent to a second
/// engine beside a decode. Prefills of its prompt may be in progress beside any
/// of them, and their results only let a stream with a reserved engine proceed.
using decode_place = std::variant<no_decode_place, queued_decode,
                                  reserved_decode, running_decode>;

/// Returns whether the stream waits in a queue.
bool IsQueued(const decode_place& place);

/// Returns the reserved engine; nothing if none is reserved.
std::optional<fleet_upstream> ReservedEngine(const decode_place& place);

/// Enters a queue, giving up a reserved engine.
/// @return false, without a change, if the stream is queued already or a decode
///     is in progress.
[[nodiscard]] bool EnterQueue(decode_place& place);

/// Reserves `engine`, which a stream gets from a queue or in place of another
/// engine.
/// @return false, without a change, if a decode is in progress.
[[nodiscard]] bool ReserveEngine(decode_place& place,
                                 const fleet_upstream& engine);

/// Begins a decode.
/// @return the reserved engine, to which the stream is sent; nothing, without a
///     change, if none is reserved.
[[nodiscard]] std::optional<reserved_decode> BeginDecode(decode_place& place);

/// Ends a decode that failed at `engine`, whose memory stays reserved.
void EndDecode(decode_place& place, const fleet_upstream& engine);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_DECODE_PLACE_H_
