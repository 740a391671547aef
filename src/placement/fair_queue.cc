#include "placement/fair_queue.h"

#include <algorithm>
#include <utility>

namespace anvilridge {
namespace {

// A use counts for no less, so that every place costs something.
constexpr absl::Duration kLeastUse = absl::Milliseconds(1);

// The class whose turn it is: the highest, unless one below it has waited past
// its bound; of those the one that is past it the longest.
int NextPriority(const fair_queue& queue, absl::Time now) {
  const int highest = queue.begin()->first;
  int next = highest;
  absl::Duration most_overdue = -absl::InfiniteDuration();
  for (const auto& [priority, waiting] : queue) {
    if (priority == highest) continue;
    const absl::Duration bound = (highest - priority) * kAgeingStep;
    const absl::Duration overdue = now - waiting.waits_since - bound;
    if (overdue < absl::ZeroDuration() || overdue <= most_overdue) continue;
    most_overdue = overdue;
    next = priority;
  }
  return next;
}

// The waiting team with the earliest start; of equal ones the ask that waits
// longest.
const std::string& NextTeam(const fair_class& waiting) {
  const auto before = [&](const auto& a, const auto& b) {
    const double first = waiting.tags.at(a.first);
    const double second = waiting.tags.at(b.first);
    if (first != second) return first < second;
    return a.second.front().queued_at < b.second.front().queued_at;
  };
  return std::min_element(waiting.teams.begin(), waiting.teams.end(), before)
      ->first;
}

void ForgetIdleTeam(fair_class& waiting, const std::string& team) {
  const auto tag = waiting.tags.find(team);
  if (tag == waiting.tags.end() || waiting.teams.contains(team)) return;
  if (tag->second <= waiting.virtual_time) waiting.tags.erase(tag);
}

void Charge(fair_class& waiting, const decode_ask& ask) {
  double& tag = waiting.tags[ask.team];
  waiting.virtual_time = std::max(waiting.virtual_time, tag);
  const absl::Duration use = std::max(ask.expected_use, kLeastUse);
  tag += absl::ToDoubleSeconds(use) / ask.weight;
}

}  // namespace

void AddAsk(fair_queue& queue, queued_ask waiting) {
  const auto [it, added] = queue.try_emplace(waiting.ask.priority);
  fair_class& asks = it->second;
  if (added) asks.waits_since = waiting.queued_at;
  double& tag = asks.tags[waiting.ask.team];
  tag = std::max(tag, asks.virtual_time);
  asks.teams[waiting.ask.team].push_back(std::move(waiting));
}

const queued_ask* NextAsk(const fair_queue& queue, absl::Time now) {
  if (queue.empty()) return nullptr;
  const fair_class& waiting = queue.at(NextPriority(queue, now));
  return &waiting.teams.at(NextTeam(waiting)).front();
}

queued_ask TakeNext(fair_queue& queue, absl::Time now) {
  const auto it = queue.find(NextPriority(queue, now));
  fair_class& waiting = it->second;
  const auto team = waiting.teams.find(NextTeam(waiting));
  queued_ask taken = std::move(team->second.front());
  team->second.pop_front();
  if (team->second.empty()) waiting.teams.erase(team);
  Charge(waiting, taken.ask);
  waiting.waits_since = now;
  if (waiting.teams.empty()) queue.erase(it);
  return taken;
}

std::vector<queued_ask> TakeLate(fair_queue& queue, absl::Time now) {
  std::vector<queued_ask> late;
  for (auto& [priority, waiting] : queue) {
    for (auto& [team, asks] : waiting.teams) {
      const auto rest = std::stable_partition(
          asks.begin(), asks.end(),
          [now](const queued_ask& one) { return one.give_up_at > now; });
      std::move(rest, asks.end(), std::back_inserter(late));
      asks.erase(rest, asks.end());
    }
    std::erase_if(waiting.teams,
                  [](const auto& team) { return team.second.empty(); });
    for (const queued_ask& one : late) ForgetIdleTeam(waiting, one.ask.team);
  }
  std::erase_if(queue,
                [](const auto& entry) { return entry.second.teams.empty(); });
  return late;
}

int CountAhead(fair_queue queue, const queued_ask& newcomer,
               absl::Duration interval, absl::Time now) {
  AddAsk(queue, newcomer);
  int ahead = 0;
  while (TakeNext(queue, now + ahead * interval).ask.request_id !=
         newcomer.ask.request_id) {
    ++ahead;
  }
  return ahead;
}

}  // namespace anvilridge
