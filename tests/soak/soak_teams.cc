#include "soak/soak_teams.h"

#include <QJsonObject>
#include <QString>
#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/str_cat.h"
#include "soak/soak_config.h"

namespace anvilridge {
namespace {

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;

struct soak_team {
  const char* name;
  /// Tokens per second, also for the burst; 0 for no cap.
  int rate;
  /// Of a hundred callers.
  int share;
};

constexpr char kMovingTeam[] = "moving";
constexpr char kSmallTeam[] = "small";
// The hot team sends some six times its cap, the small one two streams a
// second.
constexpr std::array kTeams = {
    soak_team{"north", 0, 40},
    soak_team{"hot", 400, 25},
    soak_team{kSmallTeam, 800, 6},
    soak_team{kMovingTeam, 0, 17},
};
// Of a hundred callers, those with a key that nobody holds; the rest has none.
constexpr int kUnknownKeys = 7;
// Of a hundred callers of the team whose key changes, those with the key
// before.
constexpr int kOldKeys = 30;

// Within which a configuration must be in force: the sites' bound.
constexpr absl::Duration kConfigBound = absl::Seconds(3);
// Share of the callers served, in relation to all, below which a team starves,
// and the number of its callers from which that is told.
constexpr double kStarvedShare = 0.25;
constexpr int kLeastCallers = 20;

std::string KeyOf(absl::string_view team, int version) {
  return absl::StrCat(kKeyPrefix, team, "-", team == kMovingTeam ? version : 0);
}

const upstream_record* FindUpstream(const soak_record& record,
                                    const std::string& id) {
  const auto found = record.upstreams.find(id);
  return found == record.upstreams.end() ? nullptr : &found->second;
}

// Returns when the version behind the one that has the key of `caller` had to
// be in force at its daemon; infinite if none, or if the daemon or its way to
// the store was disturbed.
absl::Time RevokedAt(const soak_record& record, const caller_record& caller) {
  if (caller.key_version == 0) return absl::InfiniteFuture();
  for (const config_record& config : record.configs) {
    if (config.version <= caller.key_version) continue;
    const absl::Time from = config.written - kCalmBefore;
    const bool disturbed = std::any_of(
        record.faults.begin(), record.faults.end(),
        [&](const fault_span& fault) {
          return fault.place != fault_place::upstream &&
                 (fault.daemon < 0 || fault.daemon == caller.daemon) &&
                 fault.from < caller.began && from < fault.to;
        });
    return disturbed ? absl::InfiniteFuture() : config.written + kConfigBound;
  }
  return absl::InfiniteFuture();
}

std::string Describe(const caller_record& caller) {
  return absl::StrCat("request ", caller.id, " of team ", caller.team,
                      " at daemon ", caller.daemon, ", status ", caller.status);
}

// Upstreams are told the caller's team and see no key, and run nothing for
// callers without a valid key.
void CheckCredentials(const soak_record& record,
                      std::vector<std::string>& broken) {
  for (const caller_record& caller : record.callers) {
    const upstream_record* upstream = FindUpstream(record, caller.id);
    if (upstream != nullptr && upstream->saw_key) {
      broken.push_back(
          absl::StrCat("a key reached an upstream: ", Describe(caller)));
    }
    const bool reached = upstream != nullptr && !upstream->arrivals.empty();
    if (caller.team.empty()) {
      if (reached) {
        broken.push_back(absl::StrCat("sent on without a key of a team: ",
                                      Describe(caller)));
      }
      continue;
    }
    if (reached && (upstream->teams.size() != 1 ||
                    *upstream->teams.begin() != caller.team)) {
      broken.push_back(
          absl::StrCat("sent on under another team: ", Describe(caller)));
    }
    if (reached && caller.began > RevokedAt(record, caller)) {
      broken.push_back(
          absl::StrCat("sent on with a revoked key: ", Describe(caller)));
    }
  }
}

// In each window, the requests of a team that run stay within its cap.
void CheckCap(const soak_record& record, const soak_team& team,
              std::vector<std::string>& broken) {
  std::vector<std::pair<absl::Time, int>> runs;
  for (const caller_record& caller : record.callers) {
    if (caller.team != team.name) continue;
    const upstream_record* upstream = FindUpstream(record, caller.id);
    if (upstream == nullptr) continue;
    for (const absl::Time run : upstream->runs) {
      runs.emplace_back(run, caller.tokens);
    }
  }
  std::sort(runs.begin(), runs.end());
  const double allowed = team.rate * absl::ToDoubleSeconds(kCapWindow) +
                         static_cast<double>(team.rate);
  const double bound = allowed * (1 + kCapExcess) + kCapSlack;
  size_t first = 0;
  int sum = 0;
  for (const auto& [time, tokens] : runs) {
    sum += tokens;
    while (runs[first].first <= time - kCapWindow) sum -= runs[first++].second;
    if (sum <= bound) continue;
    broken.push_back(absl::StrCat("beyond the cap of team ", team.name, ": ",
                                  sum, " of ", bound, " tokens"));
    return;
  }
}

// A team with a small cap is served beside one that sends more than its cap.
void CheckStarvation(const soak_record& record,
                     std::vector<std::string>& broken) {
  int asked = 0;
  int served = 0;
  int asked_small = 0;
  int served_small = 0;
  for (const caller_record& caller : record.callers) {
    if (caller.team.empty() || caller.team == kMovingTeam) continue;
    if (caller.left < absl::InfiniteFuture()) continue;
    const bool is_served = caller.status == kOk;
    ++asked;
    served += is_served ? 1 : 0;
    if (caller.team != kSmallTeam) continue;
    ++asked_small;
    served_small += is_served ? 1 : 0;
  }
  if (asked_small < kLeastCallers) return;
  if (1.0 * served_small / asked_small >= kStarvedShare * served / asked) {
    return;
  }
  broken.push_back(absl::StrCat("team small starves: ", served_small, " of ",
                                asked_small, " served, of all ", served, " of ",
                                asked));
}

// A valid key is not refused. A daemon that has no configuration answers 503.
void CheckRefusals(const soak_record& record,
                   std::vector<std::string>& broken) {
  for (const caller_record& caller : record.callers) {
    const bool valid = !caller.team.empty() && caller.key_version == 0;
    if (valid && caller.status == kUnauthorized) {
      broken.push_back(
          absl::StrCat("a valid key was refused: ", Describe(caller)));
    }
  }
}

}  // namespace

QJsonArray TeamsOf(int version) {
  QJsonArray teams;
  for (const soak_team& team : kTeams) {
    QJsonObject entry{
        {"Name", team.name},
        {"ApiKeys",
         QJsonArray{QString::fromStdString(KeyOf(team.name, version))}}};
    if (team.rate > 0) {
      entry["Unit"] = "tokens";
      entry["PlainTokens"] = kPlainTokens;
      entry["RatePerS"] = team.rate;
      entry["Burst"] = team.rate;
    }
    teams.append(entry);
  }
  return teams;
}

std::string DrawCredential(caller_record& caller, int drawn, int latest) {
  for (const soak_team& team : kTeams) {
    if (drawn >= team.share) {
      drawn -= team.share;
      continue;
    }
    caller.team = team.name;
    int version = latest;
    if (caller.team == kMovingTeam) {
      // `drawn` is uniform below the team's share.
      if (drawn * 100 < kOldKeys * team.share && latest > 1) --version;
      caller.key_version = version;
    }
    return KeyOf(team.name, version);
  }
  return drawn < kUnknownKeys ? absl::StrCat(kKeyPrefix, "of-nobody") : "";
}

bool MayBeRefused(const caller_record& caller) {
  if (caller.team.empty() || caller.key_version != 0) return true;
  return std::any_of(kTeams.begin(), kTeams.end(), [&](const soak_team& team) {
    return caller.team == team.name && team.rate > 0;
  });
}

std::vector<std::string> BrokenTeamPromises(const soak_record& record) {
  std::vector<std::string> broken;
  CheckCredentials(record, broken);
  CheckRefusals(record, broken);
  for (const soak_team& team : kTeams) {
    if (team.rate > 0) CheckCap(record, team, broken);
  }
  CheckStarvation(record, broken);
  return broken;
}

}  // namespace anvilridge
