#include "dispatch/stream_record.h"

#include "base/milliseconds.h"

namespace anvilridge {

QJsonObject LogFields(const stream_record& record) {
  return {{"events", record.events},
          {"first_event_ms", ToMilliseconds(record.first_event)},
          {"prefill_ms", ToMilliseconds(record.prefill)},
          {"prefill_tokens", static_cast<double>(record.prefill_tokens)},
          {"decode_first_ms", ToMilliseconds(record.decode_first)},
          {"longest_gap_ms", ToMilliseconds(record.longest_gap)},
          {"gap_end_ms", ToMilliseconds(record.longest_gap_end)}};
}

}  // namespace anvilridge
