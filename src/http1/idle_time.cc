#include "http1/idle_time.h"

#include <algorithm>

namespace anvilridge {
namespace {

// Part of the time after which a connection broke that others may rest: an
// upstream drops them by a clock of its own, and the call needs a way there.
constexpr double kSafeShare = 0.6;
// How long an address keeps what was learned of it, and how long that holds for
// all others: upstreams are set up anew, or start again.
constexpr absl::Duration kLearnedFor = absl::Minutes(1);
constexpr absl::Duration kCommonFor = absl::Seconds(10);

void Learn(idle_times::limit& limit, absl::Duration rested,
           absl::Duration valid, absl::Time now) {
  const absl::Duration safe = rested * kSafeShare;
  const bool expired = now - limit.learned > valid;
  limit.longest = expired ? safe : std::min(limit.longest, safe);
  limit.learned = now;
}

absl::Duration Valid(const idle_times::limit& limit, absl::Duration valid,
                     absl::Time now) {
  return now - limit.learned > valid ? absl::InfiniteDuration() : limit.longest;
}

}  // namespace

void NoteIdleBreak(idle_times& times, absl::string_view address,
                   absl::Duration rested, absl::Time now) {
  auto found = times.limits.find(address);
  if (found == times.limits.end()) {
    // Addresses come and go; what is too old tells nothing.
    std::erase_if(times.limits, [now](const auto& entry) {
      return now - entry.second.learned > kLearnedFor;
    });
    found =
        times.limits.emplace(std::string(address), idle_times::limit{}).first;
  }
  Learn(found->second, rested, kLearnedFor, now);
  Learn(times.common, rested, kCommonFor, now);
}

absl::Duration IdleTime(const idle_times& times, absl::string_view address,
                        absl::Duration named, absl::Time now) {
  absl::Duration longest =
      std::min(named, Valid(times.common, kCommonFor, now));
  const auto found = times.limits.find(address);
  if (found == times.limits.end()) return longest;
  return std::min(longest, Valid(found->second, kLearnedFor, now));
}

}  // namespace anvilridge
