#include "placement/fair_queue.h"

#include <algorithm>
#include <utility>

namespace anvilridge {
namespace {

// Smallest use that is charged for a place, so that every place has a cost.
constexpr absl::Duration kMinUse = absl::Milliseconds(1);

// Returns the priority that gets the next place: the highest, unless a lower
// one has waited past its bound. Of several such, returns the one furthest past
// its bound.
int NextPriority(const fair_queue& queue, absl::Time now) {
  const int highest = queue.begin()->first;
  int next = highest;
  absl::Duration most_overdue = -absl::InfiniteDuration();
  for (const auto& [priority, level] : queue) {
    if (priority == highest) continue;
    const absl::Duration bound = (highest - priority) * kAgeingStep;
    const absl::Duration overdue = now - level.waiting_since - bound;
    if (overdue < absl::ZeroDuration() || overdue <= most_overdue) continue;
    most_overdue = overdue;
    next = priority;
  }
  return next;
}

// Returns the waiting team with the earliest start tag; on a tie, the team
// whose first request has waited longest.
const std::string& NextTeam(const priority_class& level) {
  const auto before = [&](const auto& a, const auto& b) {
    const double first = level.start_tags.at(a.first);
    const double second = level.start_tags.at(b.first);
    if (first != second) return first < second;
    return a.second.front().queued_at < b.second.front().queued_at;
  };
  return std::min_element(level.teams.begin(), level.teams.end(), before)
      ->first;
}

// Removes the start tag of `team` if the team has no queued request and has had
// no more than its share.
void RemoveIdleTeam(priority_class& level, const std::string& team) {
  const auto tag = level.start_tags.find(team);
  if (tag == level.start_tags.end() || level.teams.contains(team)) return;
  if (tag->second <= level.virtual_time) level.start_tags.erase(tag);
}

// Charges a place to the team of `request`.
void ChargeTeam(priority_class& level, const reserve_decode_request& request) {
  double& tag = level.start_tags[request.team];
  level.virtual_time = std::max(level.virtual_time, tag);
  const absl::Duration use = std::max(request.expected_use, kMinUse);
  tag += absl::ToDoubleSeconds(use) / request.weight;
}

}  // namespace

void EnqueueReservation(fair_queue& queue, queued_reservation request) {
  const auto [it, added] = queue.try_emplace(request.request.priority);
  priority_class& level = it->second;
  if (added) level.waiting_since = request.queued_at;
  double& tag = level.start_tags[request.request.team];
  tag = std::max(tag, level.virtual_time);
  level.teams[request.request.team].push_back(std::move(request));
}

const queued_reservation* NextReservation(const fair_queue& queue,
                                          absl::Time now) {
  if (queue.empty()) return nullptr;
  const priority_class& level = queue.at(NextPriority(queue, now));
  return &level.teams.at(NextTeam(level)).front();
}

queued_reservation TakeNext(fair_queue& queue, absl::Time now) {
  const auto it = queue.find(NextPriority(queue, now));
  priority_class& level = it->second;
  const auto team = level.teams.find(NextTeam(level));
  queued_reservation next = std::move(team->second.front());
  team->second.pop_front();
  if (team->second.empty()) level.teams.erase(team);
  ChargeTeam(level, next.request);
  level.waiting_since = now;
  if (level.teams.empty()) queue.erase(it);
  return next;
}

std::vector<queued_reservation> TakeExpired(fair_queue& queue, absl::Time now) {
  std::vector<queued_reservation> expired;
  for (auto& [priority, level] : queue) {
    for (auto& [team, requests] : level.teams) {
      const auto first_expired =
          std::stable_partition(requests.begin(), requests.end(),
                                [now](const queued_reservation& request) {
                                  return request.deadline > now;
                                });
      std::move(first_expired, requests.end(), std::back_inserter(expired));
      requests.erase(first_expired, requests.end());
    }
    std::erase_if(level.teams,
                  [](const auto& team) { return team.second.empty(); });
    for (const queued_reservation& one : expired) {
      RemoveIdleTeam(level, one.request.team);
    }
  }
  std::erase_if(queue,
                [](const auto& entry) { return entry.second.teams.empty(); });
  return expired;
}

int CountAhead(fair_queue queue, const queued_reservation& newcomer,
               absl::Duration interval, absl::Time now) {
  EnqueueReservation(queue, newcomer);
  int ahead = 0;
  while (TakeNext(queue, now + ahead * interval).request.request_id !=
         newcomer.request.request_id) {
    ++ahead;
  }
  return ahead;
}

}  // namespace anvilridge
