#include "dispatch/stream_record.h"

namespace anvilridge {
namespace {

double Ms(absl::Duration duration) {
  return static_cast<double>(absl::ToInt64Milliseconds(duration));
}

}  // namespace

QJsonObject LogFields(const stream_record& record) {
  return {{"events", record.events},
          {"first_event_ms", Ms(record.first_event)},
          {"prefill_ms", Ms(record.prefill)},
          {"prefill_tokens", static_cast<double>(record.prefill_tokens)},
          {"decode_first_ms", Ms(record.decode_first)},
          {"longest_gap_ms", Ms(record.longest_gap)},
          {"gap_end_ms", Ms(record.longest_gap_end)}};
}

}  // namespace anvilridge
