#include "dispatch/stream_record.h"

namespace anvilridge {
namespace {

double ToMilliseconds(absl::Duration duration) {
  return static_cast<double>(absl::ToInt64Milliseconds(duration));
}

}  // namespace

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
