#include "admission/limit_share.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

bool HasPermit(const limit_share& share, const team_config& team,
               absl::Time now) {
  if (team.concurrency <= 0) return true;
  return share.permits_expire > now && share.in_progress < share.permits;
}

bool HasToken(const limit_share& share, const team_config& team) {
  return team.rate <= 0 || share.tokens > 0;
}

}  // namespace

bool CanStart(const limit_share& share, const team_config& team,
              absl::Time now) {
  return HasPermit(share, team, now) && HasToken(share, team);
}

void RecordStart(limit_share& share, const team_config& team) {
  ++share.in_progress;
  if (team.rate > 0) --share.tokens;
}

void RecordEnd(limit_shares& shares, absl::string_view team) {
  const auto it = shares.teams.find(team);
  if (it == shares.teams.end() || it->second.in_progress == 0) return;
  --it->second.in_progress;
}

borrow_request MakeBorrowRequest(const limit_share& share,
                                 const team_config& team,
                                 const std::string& owner, int live_daemons) {
  borrow_request request;
  request.owner = owner;
  request.permits = share.in_progress + share.waiting;
  if (team.rate > 0) {
    // This daemon's even part of the rate for half a second, so that a busy
    // team needs few requests to its home.
    const double tokens_ahead = team.rate / std::max(1, live_daemons) / 2;
    request.tokens = std::max(share.waiting, static_cast<int>(tokens_ahead));
    request.tokens = std::max(0, request.tokens - share.tokens);
  }
  return request;
}

void ApplyBorrowReply(limit_share& share, const borrow_reply& reply,
                      absl::Time now) {
  share.permits = reply.permits;
  share.permits_expire = now + kPermitLease;
  share.tokens += reply.tokens;
}

absl::Status MakeLimitError(const limit_share& share, const team_config& team,
                            const borrow_reply& reply, absl::Time now) {
  if (!HasPermit(share, team, now)) {
    return MakeError(
        error_kind::concurrency_limited,
        absl::StrCat("team ", team.name, " has reached its limit of ",
                     team.concurrency, " requests in progress"));
  }
  return MakeError(error_kind::rate_limited,
                   absl::StrCat("team ", team.name, " has used up its rate of ",
                                team.rate, " requests per second"),
                   run_state::not_run, reply.retry_after);
}

std::vector<std::string> CollectTeamsToRenew(limit_shares& shares) {
  std::vector<std::string> teams;
  for (auto it = shares.teams.begin(); it != shares.teams.end();) {
    limit_share& share = it->second;
    const bool idle = share.in_progress == 0 && share.waiting == 0;
    if (idle && share.permits == 0) {
      it = shares.teams.erase(it);
      continue;
    }
    if (share.permits > 0) teams.push_back(it->first);
    ++it;
  }
  return teams;
}

}  // namespace anvilridge
