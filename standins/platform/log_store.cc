#include "platform/log_store.h"

#include <algorithm>

namespace anvilridge {
namespace {

void ForgetOld(const log_store_settings& settings, log_stream& stream,
               absl::Time now) {
  const absl::Time horizon = now - settings.retention;
  while (!stream.records.empty()) {
    const stored_record& oldest = stream.records.front();
    const bool too_many =
        static_cast<int64_t>(stream.records.size()) > settings.max_records;
    if (!too_many && oldest.time >= horizon) return;
    stream.complete_since = oldest.time + absl::Milliseconds(1);
    stream.records.pop_front();
  }
}

int64_t OldestOffset(const log_stream& stream) {
  return stream.records.empty() ? stream.next : stream.records.front().offset;
}

}  // namespace

bool TakeAppend(log_store& store, absl::Time now) {
  const double rate = store.settings.appends_per_second;
  const double earned = rate * absl::ToDoubleSeconds(std::min(
                                   now - store.allowance_at, absl::Seconds(1)));
  store.allowance = std::min(rate, store.allowance + earned);
  store.allowance_at = now;
  if (store.allowance < 1) {
    ++store.appends_refused;
    return false;
  }
  store.allowance -= 1;
  ++store.appends;
  return true;
}

int64_t AppendRecords(log_store& store, const std::string& stream,
                      const std::vector<new_record>& records, absl::Time now) {
  log_stream& target = store.streams[stream];
  const int64_t first = target.next;
  for (const new_record& record : records) {
    target.records.push_back({target.next++, now, record.id, record.data});
  }
  ForgetOld(store.settings, target, now);
  return first;
}

stored_page ReadRecords(log_store& store, const std::string& stream,
                        int64_t from, int limit, absl::Time now) {
  log_stream& source = store.streams[stream];
  ForgetOld(store.settings, source, now);
  stored_page page;
  page.oldest = OldestOffset(source);
  page.complete_since = source.complete_since;
  const int64_t first = std::max(from, page.oldest);
  const int64_t end = std::min(source.next, first + limit);
  for (int64_t offset = first; offset < end; ++offset) {
    page.records.push_back(source.records[offset - page.oldest]);
  }
  page.next = end;
  return page;
}

}  // namespace anvilridge
