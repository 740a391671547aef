#include "admission/limit_share.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

bool HasUnit(const limit_share& share, const team_config& team,
             absl::Time now) {
  if (team.concurrency <= 0) return true;
  return share.units_until > now && share.in_progress < share.units;
}

bool HasToken(const limit_share& share, const team_config& team) {
  return team.rate <= 0 || share.tokens > 0;
}

}  // namespace

bool MayStart(const limit_share& share, const team_config& team,
              absl::Time now) {
  return HasUnit(share, team, now) && HasToken(share, team);
}

void StartOne(limit_share& share, const team_config& team) {
  ++share.in_progress;
  if (team.rate > 0) --share.tokens;
}

void EndOne(limit_shares& shares, absl::string_view team) {
  const auto it = shares.teams.find(team);
  if (it == shares.teams.end() || it->second.in_progress == 0) return;
  --it->second.in_progress;
}

borrow_ask AskFor(const limit_share& share, const team_config& team,
                  const std::string& owner, int live_daemons) {
  borrow_ask ask;
  ask.owner = owner;
  ask.units = share.in_progress + share.waiting;
  if (team.rate > 0) {
    // Half a second of this daemon's part, so that busy teams ask seldom.
    const double part = team.rate / std::max(1, live_daemons) / 2;
    ask.tokens = std::max(share.waiting, static_cast<int>(part));
    ask.tokens = std::max(0, ask.tokens - share.tokens);
  }
  return ask;
}

void TakeLoan(limit_share& share, const borrow_answer& answer, absl::Time now) {
  share.units = answer.units;
  share.units_until = now + kUnitLease;
  share.tokens += answer.tokens;
}

absl::Status RefusalFor(const limit_share& share, const team_config& team,
                        const borrow_answer& answer, absl::Time now) {
  if (!HasUnit(share, team, now)) {
    return MakeError(error_kind::concurrency_limited,
                     absl::StrCat("team ", team.name, " may have ",
                                  team.concurrency, " requests in progress"));
  }
  return MakeError(error_kind::rate_limited,
                   absl::StrCat("team ", team.name, " may start ", team.rate,
                                " requests a second"),
                   run_state::not_run, answer.retry_in);
}

std::vector<std::string> TeamsToRenew(limit_shares& shares) {
  std::vector<std::string> teams;
  for (auto it = shares.teams.begin(); it != shares.teams.end();) {
    limit_share& share = it->second;
    const bool idle = share.in_progress == 0 && share.waiting == 0;
    if (idle && share.units == 0) {
      it = shares.teams.erase(it);
      continue;
    }
    if (share.units > 0) teams.push_back(it->first);
    ++it;
  }
  return teams;
}

}  // namespace anvilridge
