#ifndef ANVILRIDGE_CONFIG_FAKE_LOG_H_
#define ANVILRIDGE_CONFIG_FAKE_LOG_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/error_kind.h"
#include "infrastructure/log_client.h"

namespace anvilridge {

/// The platform's log in memory, with faults, for tests.
struct fake_log {
  struct stream {
    std::vector<log_record> records;
    int64_t oldest = 1;
  };
  /// What becomes of the next append.
  enum class append_fault { none, refused, lost_without_effect, lost_after };

  std::map<std::string, stream> streams;
  absl::Time now = absl::FromUnixSeconds(1'000'000);
  bool out = false;
  append_fault fault = append_fault::none;
  /// Most records in a page, whatever the limit asked for.
  size_t page_cap = 1000;

  absl::StatusOr<int64_t> Append(absl::string_view name,
                                 const std::vector<log_append>& records) {
    const append_fault fault_now = std::exchange(fault, append_fault::none);
    if (out || fault_now == append_fault::refused) {
      return MakeError(error_kind::log_unavailable, "out", run_state::not_run);
    }
    const absl::Status lost =
        MakeError(error_kind::log_unavailable, "lost", run_state::unknown);
    if (fault_now == append_fault::lost_without_effect) return lost;
    auto& target = streams[std::string(name)];
    const auto first = static_cast<int64_t>(target.records.size()) + 1;
    for (const log_append& record : records) {
      const auto offset = static_cast<int64_t>(target.records.size()) + 1;
      target.records.push_back({offset, now, record.id, record.data});
    }
    if (fault_now == append_fault::lost_after) return lost;
    return first;
  }

  absl::StatusOr<log_page> Read(absl::string_view name, int64_t from,
                                int limit) {
    if (out) {
      return MakeError(error_kind::log_unavailable, "out", run_state::not_run);
    }
    const auto& source = streams[std::string(name)];
    log_page page;
    page.oldest = source.oldest;
    page.next = static_cast<int64_t>(source.records.size()) + 1;
    const size_t most = std::min(page_cap, static_cast<size_t>(limit));
    for (const log_record& record : source.records) {
      if (record.offset < std::max(from, source.oldest)) continue;
      if (page.records.size() == most) break;
      page.records.push_back(record);
    }
    if (page.records.size() == static_cast<size_t>(limit)) {
      page.next = page.records.back().offset + 1;
    }
    return page;
  }

  /// Lets the records before `oldest` expire.
  void Expire(absl::string_view name, int64_t oldest) {
    auto& target = streams[std::string(name)];
    const auto end = static_cast<int64_t>(target.records.size()) + 1;
    target.oldest = std::clamp(oldest, target.oldest, end);
  }
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_FAKE_LOG_H_
