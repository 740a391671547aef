#ifndef ANVILRIDGE_STANDINS_ENGINE_DECODE_STREAMS_H_
#define ANVILRIDGE_STANDINS_ENGINE_DECODE_STREAMS_H_

#include <map>
#include <string>

#include "common/http_exchange.h"
#include "engine/engine_model.h"

namespace anvilridge {

/// One connected decode stream.
struct decode_stream {
  exchange_ptr exchange;
  /// Index of the token that is sent next.
  int next_index = 0;
  /// Tokens after which a fault cuts the connection; negative for none.
  int tokens_until_cut = -1;
  /// Request whose answer a fault sends in place of the right one.
  std::string crossed_id;
  uint64_t crossed_seed = 0;
};

/// The connected streams by request id.
using decode_streams = std::map<std::string, decode_stream>;

/// Connects `exchange` to the output of `request_id` from token `from`, and
/// fences the stream that was connected before. The request must be decoding
/// or finished.
void AttachStream(decode_streams& streams, engine_state& state,
                  const std::string& request_id, int from,
                  const exchange_ptr& exchange);

/// Sends what has been generated for `request_id` and not sent yet.
void PumpStream(decode_streams& streams, engine_state& state,
                const std::string& request_id);

/// Ends the stream of a request that was cancelled.
void EndCancelledStream(decode_streams& streams, const std::string& request_id);

/// Forgets the stream if `exchange` is still the one that is connected.
void DetachStream(decode_streams& streams, engine_state& state,
                  const std::string& request_id, const http_exchange* exchange);

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_ENGINE_DECODE_STREAMS_H_
