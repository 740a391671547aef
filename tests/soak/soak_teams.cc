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

constexpr char kUncappedTeam[] = "north";
constexpr char kMovingTeam[] = "moving";
// The hot team sends some six times its cap, the small one two streams a
// second.
constexpr std::array kTeams = {
    soak_team{kUncappedTeam, 0, 40},
    soak_team{"hot", 400, 25},
    soak_team{"small", 800, 6},
    soak_team{kMovingTeam, 0, 17},
};
// Of a hundred callers, those with a key that nobody holds; the rest has none.
constexpr int kUnknownKeys = 7;

// Within which a configuration must be in force: the sites' bound.
constexpr absl::Duration kConfigBound = absl::Seconds(3);
// Share of what is owed to a team below which it starves, and the number of its
// callers from which that is told.
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

// Whether the daemon of `caller` or its way to the store was disturbed between
// `from` and the request.
bool WasDisturbed(const soak_record& record, const caller_record& caller,
                  absl::Time from) {
  return std::any_of(
      record.faults.begin(), record.faults.end(), [&](const fault_span& fault) {
        return fault.place != fault_place::upstream &&
               (fault.daemon < 0 || fault.daemon == caller.daemon) &&
               fault.from < caller.began && from < fault.to;
      });
}

// Returns when the version behind the one that has the key of `caller` was
// written; infinite if there is none.
absl::Time ReplacedAt(const soak_record& record, const caller_record& caller) {
  for (const config_record& config : record.configs) {
    if (config.version > caller.key_version) return config.written;
  }
  return absl::InfiniteFuture();
}

// Whether the key of `caller` had to be refused by then.
bool IsRevoked(const soak_record& record, const caller_record& caller) {
  if (caller.key_version == 0) return false;
  const absl::Time replaced = ReplacedAt(record, caller);
  return caller.began > replaced + kConfigBound &&
         !WasDisturbed(record, caller, replaced - kCalmBefore);
}

// Whether the key of `caller` had to be accepted by then.
bool IsInForce(const soak_record& record, const caller_record& caller) {
  if (caller.team.empty()) return false;
  if (caller.key_version == 0) return true;
  // The first version is written before the run.
  absl::Time written = absl::InfinitePast();
  for (const config_record& config : record.configs) {
    if (config.version == caller.key_version) written = config.written;
  }
  return caller.began > written + kConfigBound &&
         ReplacedAt(record, caller) > caller.ended &&
         !WasDisturbed(record, caller,
                       caller.began - kConfigBound - kCalmBefore);
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
    if (reached && IsRevoked(record, caller)) {
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

// A team gets at least a fourth of what its cap allows, or of what it asks if
// that is less, in relation to a team without a cap.
void CheckStarvation(const soak_record& record, const soak_team& team,
                     std::vector<std::string>& broken) {
  int uncapped = 0;
  int uncapped_served = 0;
  int callers = 0;
  double asked = 0;
  double served = 0;
  absl::Time first = absl::InfiniteFuture();
  absl::Time last = absl::InfinitePast();
  for (const caller_record& caller : record.callers) {
    if (caller.left < absl::InfiniteFuture()) continue;
    const bool is_served = caller.status == kOk;
    if (caller.team == kUncappedTeam) {
      ++uncapped;
      if (is_served) ++uncapped_served;
    }
    if (caller.team != team.name) continue;
    ++callers;
    asked += caller.tokens;
    if (is_served) served += caller.tokens;
    first = std::min(first, caller.began);
    last = std::max(last, caller.began);
  }
  if (callers < kLeastCallers || uncapped == 0) return;
  const double allowed = team.rate * absl::ToDoubleSeconds(last - first);
  const double owed = std::min(asked, allowed) * uncapped_served /
                      static_cast<double>(uncapped);
  if (served >= kStarvedShare * owed) return;
  broken.push_back(absl::StrCat("team ", team.name, " starves: ", served,
                                " tokens served of ", owed));
}

// A valid key is not refused. A daemon that has no configuration answers 503.
void CheckRefusals(const soak_record& record,
                   std::vector<std::string>& broken) {
  for (const caller_record& caller : record.callers) {
    if (caller.status == kUnauthorized && IsInForce(record, caller)) {
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

std::string DrawCredential(caller_record& caller, int drawn, int version,
                           int latest) {
  for (const soak_team& team : kTeams) {
    if (drawn >= team.share) {
      drawn -= team.share;
      continue;
    }
    caller.team = team.name;
    if (caller.team != kMovingTeam) return KeyOf(team.name, latest);
    caller.key_version = version;
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
    if (team.rate == 0) continue;
    CheckCap(record, team, broken);
    CheckStarvation(record, team, broken);
  }
  return broken;
}

}  // namespace anvilridge
