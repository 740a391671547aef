#include "admission/limit_home.h"

#include <algorithm>

namespace anvilridge {
namespace {

// Capacity of the token bucket, in seconds of the team's rate. Bounds a burst.
constexpr double kBurstSeconds = 2;

// Adds the tokens that have accrued since the last refill.
void RefillTokens(limit_ledger& ledger, double rate, absl::Time now) {
  const double burst = std::max(1.0, rate * kBurstSeconds);
  // A new home has no record of the tokens that the previous home lent, so it
  // starts with a single token instead of a full burst.
  if (ledger.last_refill == absl::InfinitePast()) {
    ledger.tokens = std::min(1.0, burst);
  } else {
    ledger.tokens += rate * absl::ToDoubleSeconds(now - ledger.last_refill);
  }
  ledger.tokens = std::min(ledger.tokens, burst);
  ledger.last_refill = now;
}

void LendTokens(limit_ledger& ledger, double rate, int wanted, absl::Time now,
                borrow_reply& reply) {
  if (rate <= 0) {
    reply.tokens = wanted;
    return;
  }
  RefillTokens(ledger, rate, now);
  reply.tokens = std::min(wanted, static_cast<int>(ledger.tokens));
  ledger.tokens -= reply.tokens;
  if (reply.tokens > 0 || wanted == 0) return;
  reply.retry_after = absl::Seconds((1 - ledger.tokens) / rate);
}

// Removes expired leases and returns the permits lent to daemons other than
// `owner`.
int PermitsLentToOthers(limit_ledger& ledger, const std::string& owner,
                        absl::Time now) {
  int permits = 0;
  for (auto it = ledger.leases.begin(); it != ledger.leases.end();) {
    if (it->second.expires <= now) {
      it = ledger.leases.erase(it);
      continue;
    }
    if (it->first != owner) permits += it->second.permits;
    ++it;
  }
  return permits;
}

void LendPermits(limit_ledger& ledger, int limit, const borrow_request& request,
                 int live_daemons, absl::Time now, borrow_reply& reply) {
  if (limit <= 0) {
    reply.permits = request.permits;
    return;
  }
  const int held_by_others = PermitsLentToOthers(ledger, request.owner, now);
  int max_permits = std::max(0, limit - held_by_others);
  // Daemons may still hold permits from the previous home. Until those
  // expire, lending each daemon only its even part bounds the total.
  if (now - ledger.lending_since < kPermitLease) {
    const int even_part = limit / std::max(1, live_daemons);
    max_permits = std::min(max_permits, std::max(1, even_part));
  }
  reply.permits = std::min(request.permits, max_permits);
  if (reply.permits == 0) {
    ledger.leases.erase(request.owner);
    return;
  }
  ledger.leases[request.owner] = {reply.permits, now + kPermitLease};
}

}  // namespace

borrow_reply Lend(limit_ledger& ledger, const team_config& team,
                  const borrow_request& request, int live_daemons,
                  absl::Time now) {
  if (ledger.lending_since == absl::InfinitePast()) ledger.lending_since = now;
  borrow_reply reply;
  LendTokens(ledger, team.rate, request.tokens, now, reply);
  LendPermits(ledger, team.concurrency, request, live_daemons, now, reply);
  return reply;
}

}  // namespace anvilridge
