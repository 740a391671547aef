#ifndef ANVILRIDGE_TESTS_SOAK_SOAK_CONFIG_H_
#define ANVILRIDGE_TESTS_SOAK_SOAK_CONFIG_H_

#include <QJsonArray>
#include <cstddef>
#include <string>

#include "absl/time/time.h"

namespace anvilridge {

/// Time limits of the soak's routes: some times what their upstreams take.
inline constexpr absl::Duration kCallLimit = absl::Seconds(2);
inline constexpr absl::Duration kStreamLimit = absl::Seconds(8);
/// Those limits where the callers' own ones are to count.
inline constexpr absl::Duration kLongLimit = absl::Seconds(30);
/// Grace of a planned stop in the daemons' settings.
inline constexpr absl::Duration kStopGrace = absl::Seconds(8);
/// Time between two events of a stream.
inline constexpr absl::Duration kEventGap = absl::Milliseconds(50);
/// Sends of one request that may run.
inline constexpr size_t kAttempts = 2;
/// How long nothing may be disturbed before a bound counts: the sites' bound.
inline constexpr absl::Duration kCalmBefore = absl::Seconds(4);

/// Returns the record of configuration `version`: streams that can be resumed
/// and that can't, postings and reads, and a route `/vVERSION/` that no other
/// version has and that needs no key.
/// @param teams the teams whose callers are served; without any, all are.
std::string ConfigText(int version, absl::Duration call_limit = kCallLimit,
                       absl::Duration stream_limit = kStreamLimit,
                       const QJsonArray& teams = {});

/// Part of prompts on which engines crash, and the first part of all prompts.
inline constexpr char kDeadlyPart[] = "dead";
inline constexpr char kFirstPart[] = "5ea50";

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_SOAK_SOAK_CONFIG_H_
