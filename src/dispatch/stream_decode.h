#ifndef ANVILRIDGE_DISPATCH_STREAM_DECODE_H_
#define ANVILRIDGE_DISPATCH_STREAM_DECODE_H_

#include "dispatch/stream_state.h"

namespace anvilridge {

/// Admits or queues `stream`; once engines are reserved, sends the request to
/// them.
void AwaitEngines(stream_state& stream);

/// Returns the callbacks of the decodes of `stream`.
decode_listener MakeDecodeListener(stream_state& stream);

/// Sends the request to the reserved decode engine after its prefill. If that
/// engine has rejected it, prefers another one; it may also accept it by now.
void SendDecodeAfterPrefill(stream_state& stream);

/// Lets the reserved decode engine, or another one, prefill the prompt itself,
/// which delays its other streams. Waits in the queue if none is available.
void PrefillAtDecode(stream_state& stream);

/// Records the first event that is passed on.
void OnFirstEvent(stream_state& stream);

/// Records each event that was passed on.
void OnEvent(stream_state& stream);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_STREAM_DECODE_H_
