#include "admission/limit_home.h"

#include <algorithm>

namespace anvilridge {
namespace {

// Seconds of a team's rate that may be used in one burst.
constexpr double kBurstSeconds = 2;

void Refill(limit_ledger& ledger, double rate, absl::Time now) {
  const double burst = std::max(1.0, rate * kBurstSeconds);
  // A new home can't know what the last one lent, so it begins with a share of
  // the burst that the rate itself covers.
  if (ledger.refilled == absl::InfinitePast()) {
    ledger.tokens = std::min(1.0, burst);
  } else {
    ledger.tokens += rate * absl::ToDoubleSeconds(now - ledger.refilled);
  }
  ledger.tokens = std::min(ledger.tokens, burst);
  ledger.refilled = now;
}

void LendTokens(limit_ledger& ledger, double rate, int wanted, absl::Time now,
                borrow_answer& answer) {
  if (rate <= 0) {
    answer.tokens = wanted;
    return;
  }
  Refill(ledger, rate, now);
  answer.tokens = std::min(wanted, static_cast<int>(ledger.tokens));
  ledger.tokens -= answer.tokens;
  if (answer.tokens > 0 || wanted == 0) return;
  answer.retry_in = absl::Seconds((1 - ledger.tokens) / rate);
}

int LentToOthers(limit_ledger& ledger, const std::string& owner,
                 absl::Time now) {
  int units = 0;
  for (auto it = ledger.lent.begin(); it != ledger.lent.end();) {
    if (it->second.expires <= now) {
      it = ledger.lent.erase(it);
      continue;
    }
    if (it->first != owner) units += it->second.units;
    ++it;
  }
  return units;
}

void LendUnits(limit_ledger& ledger, int limit, const borrow_ask& ask,
               int live_daemons, absl::Time now, borrow_answer& answer) {
  if (limit <= 0) {
    answer.units = ask.units;
    return;
  }
  const int others = LentToOthers(ledger, ask.owner, now);
  int most = std::max(0, limit - others);
  if (now - ledger.opened < kUnitLease) {
    const int share = limit / std::max(1, live_daemons);
    most = std::min(most, std::max(1, share));
  }
  answer.units = std::min(ask.units, most);
  if (answer.units == 0) {
    ledger.lent.erase(ask.owner);
    return;
  }
  ledger.lent[ask.owner] = {answer.units, now + kUnitLease};
}

}  // namespace

borrow_answer Lend(limit_ledger& ledger, const team_config& team,
                   const borrow_ask& ask, int live_daemons, absl::Time now) {
  if (ledger.opened == absl::InfinitePast()) ledger.opened = now;
  borrow_answer answer;
  LendTokens(ledger, team.rate, ask.tokens, now, answer);
  LendUnits(ledger, team.concurrency, ask, live_daemons, now, answer);
  return answer;
}

}  // namespace anvilridge
