#ifndef ANVILRIDGE_TESTS_SOAK_SOAK_TEAMS_H_
#define ANVILRIDGE_TESTS_SOAK_SOAK_TEAMS_H_

#include <QJsonArray>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "soak/soak_record.h"

namespace anvilridge {

/// Beginning of all callers' keys.
inline constexpr char kKeyPrefix[] = "soak-key-";

/// What all daemons together may exceed the caps by, in their settings.
inline constexpr absl::Duration kCapWindow = absl::Seconds(8);
inline constexpr double kCapExcess = 0.1;
inline constexpr int kCapSlack = 1600;

/// Units of a request that states no tokens.
inline constexpr int kPlainTokens = 100;

/// Returns the teams of configuration `version`: one without a cap, one that
/// sends several times its cap, one with a small cap, and one whose only key
/// changes with each version.
QJsonArray TeamsOf(int version);

/// Sets the credential of `caller`.
/// @param drawn random number below 100.
/// @param version of the configuration whose key is used by a caller of the
/// team
///     whose key changes.
/// @param latest version of the latest configuration.
/// @return the key, or "" for a caller without one.
std::string DrawCredential(caller_record& caller, int drawn, int version,
                           int latest);

/// Whether `caller` may be refused, also when nothing is disturbed, since its
/// key may not be valid or its team may be beyond its cap.
bool MayBeRefused(const caller_record& caller);

/// Returns a line for each promise on teams that `record` shows broken.
std::vector<std::string> BrokenTeamPromises(const soak_record& record);

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_SOAK_SOAK_TEAMS_H_
