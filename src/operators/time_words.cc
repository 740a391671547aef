#include "operators/time_words.h"

#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

namespace anvilridge {
namespace {

constexpr int kMinutesPerHour = 60;
constexpr int kHoursPerDay = 24;
constexpr int kNoonHour = 12;

absl::Time LastTimeOfDay(int hour, int minute, absl::Time now) {
  const absl::CivilDay day = absl::ToCivilDay(now, absl::UTCTimeZone());
  const absl::CivilMinute then(day.year(), day.month(), day.day(), hour,
                               minute);
  const absl::Time today = absl::FromCivil(then, absl::UTCTimeZone());
  return today <= now ? today : today - absl::Hours(kHoursPerDay);
}

std::optional<absl::Time> ParseTimeOfDay(absl::string_view word,
                                         absl::Time now) {
  const std::vector<absl::string_view> parts = absl::StrSplit(word, ':');
  int hour = 0;
  int minute = 0;
  if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &hour) ||
      !absl::SimpleAtoi(parts[1], &minute)) {
    return std::nullopt;
  }
  if (hour < 0 || hour >= kHoursPerDay || minute < 0 ||
      minute >= kMinutesPerHour) {
    return std::nullopt;
  }
  return LastTimeOfDay(hour, minute, now);
}

}  // namespace

std::optional<absl::Time> ParseTimeWord(absl::string_view word,
                                        absl::Time now) {
  if (word == "noon") return LastNoon(now);
  if (word == "midnight") return LastTimeOfDay(0, 0, now);
  if (const auto time = ParseTimeOfDay(word, now)) return time;
  absl::Duration ago;
  if (absl::ParseDuration(std::string(word), &ago) &&
      ago >= absl::ZeroDuration() && ago != absl::InfiniteDuration()) {
    return now - ago;
  }
  absl::Time time;
  std::string error;
  if (absl::ParseTime(absl::RFC3339_full, word, &time, &error)) return time;
  return std::nullopt;
}

absl::Time LastNoon(absl::Time now) { return LastTimeOfDay(kNoonHour, 0, now); }

std::string TimeText(absl::Time time) {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", time, absl::UTCTimeZone());
}

}  // namespace anvilridge
