#include "placement/fair_queue.h"

#include <algorithm>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "placement/place_queue.h"

namespace anvilridge {
namespace {

constexpr int kSlots = 20;
constexpr absl::Duration kMeanUse = absl::Seconds(2);
constexpr absl::Duration kTick = absl::Milliseconds(5);
const absl::Time kStart = absl::UnixEpoch();
const overcommit_policy kNoOvercommit;

// Load of one team, which keeps `backlog` requests queued from time `from` on.
struct team_load {
  std::string team;
  double weight = 1;
  int priority = 5;
  int backlog = 0;
  absl::Duration from;
};

struct team_result {
  int places = 0;
  absl::Duration first_wait = absl::InfiniteDuration();
  absl::Duration longest_wait;
  // Places granted to other requests while the team's first one was queued.
  int granted_before_first = 0;
  // Most places granted to other requests after one of the team's requests was
  // queued for `engine_run::ageing`.
  int granted_while_overdue = 0;
};

// Simulates one decode engine and its queue in virtual time. Uses of places are
// drawn from a seeded generator.
struct engine_run {
  std::vector<team_load> loads;
  // Assigns all requests to one team with equal weight and priority.
  bool first_come_first_served = false;
  std::mt19937_64 random{7};
  place_queue queue;
  decode_ledger ledger;
  std::map<std::string, absl::Time> use_ends;
  std::map<std::string, size_t> team_of;
  std::map<std::string, absl::Time> requested_at;
  std::vector<team_result> results;
  // Queued requests of each team.
  std::vector<int> queued_count;
  // When each place was granted, in order.
  std::vector<absl::Time> granted_at;
  // Wait after which a queued request should get the next place.
  absl::Duration ageing = absl::InfiniteDuration();
  int requests_sent = 0;

  explicit engine_run(std::vector<team_load> teams) : loads(std::move(teams)) {}

  void SendRequest(size_t index, absl::Time now) {
    const team_load& load = loads[index];
    reserve_decode_request request;
    request.request_id = absl::StrCat("r", ++requests_sent);
    request.pieces = 1;
    request.expected_use = kMeanUse;
    request.max_queue_wait = absl::Hours(1);
    request.team = first_come_first_served ? "" : load.team;
    request.weight = first_come_first_served ? 1 : load.weight;
    request.priority = first_come_first_served ? 5 : load.priority;
    team_of[request.request_id] = index;
    requested_at[request.request_id] = now;
    const auto reply =
        ReserveOrQueue(queue, ledger, request, kNoOvercommit, now);
    if (reply && reply->granted) return StartUse(request.request_id, now);
    if (!reply) ++queued_count[index];
  }

  int CountGrantedSince(absl::Time from) const {
    const auto first =
        std::lower_bound(granted_at.begin(), granted_at.end(), from);
    return static_cast<int>(granted_at.end() - first);
  }

  void StartUse(const std::string& id, absl::Time now) {
    std::uniform_real_distribution<double> fraction(0.5, 1.5);
    use_ends[id] = now + fraction(random) * kMeanUse;
    team_result& result = results[team_of[id]];
    const absl::Duration waited = now - requested_at[id];
    if (result.places++ == 0) {
      result.first_wait = waited;
      result.granted_before_first = CountGrantedSince(requested_at[id]);
    }
    result.longest_wait = std::max(result.longest_wait, waited);
    result.granted_while_overdue =
        std::max(result.granted_while_overdue,
                 CountGrantedSince(requested_at[id] + ageing));
    granted_at.push_back(now);
  }

  std::vector<team_result> Run(absl::Duration length) {
    ledger.slots = kSlots;
    ledger.pieces = 1000;
    results.resize(loads.size());
    queued_count.resize(loads.size());
    for (absl::Time now = kStart; now < kStart + length; now += kTick) {
      Step(now);
    }
    return results;
  }

  void Step(absl::Time now) {
    std::erase_if(use_ends, [&](const auto& entry) {
      if (entry.second > now) return false;
      ReleaseDecode(ledger, entry.first);
      return true;
    });
    // Keeps the reservations of running requests until their use ends.
    for (const auto& [id, end] : use_ends) {
      ledger.reservations[id].listing_due = end;
    }
    for (const auto& one : ServeQueue(queue, ledger, kNoOvercommit, now)) {
      --queued_count[team_of[one.request_id]];
      StartUse(one.request_id, now);
    }
    for (size_t i = 0; i < loads.size(); ++i) {
      if (now < kStart + loads[i].from) continue;
      while (queued_count[i] < loads[i].backlog &&
             ledger.reservations.size() >= kSlots) {
        SendRequest(i, now);
      }
      if (ledger.reservations.size() < kSlots) SendRequest(i, now);
    }
  }
};

std::vector<team_result> RunFair(std::vector<team_load> loads,
                                 absl::Duration length) {
  return engine_run(std::move(loads)).Run(length);
}

std::vector<team_result> RunFirstComeFirstServed(std::vector<team_load> loads,
                                                 absl::Duration length) {
  engine_run run(std::move(loads));
  run.first_come_first_served = true;
  return run.Run(length);
}

double PlacesRatio(const std::vector<team_result>& results) {
  return 1.0 * results[1].places / results[0].places;
}

TEST(fair_queue_test, SaturatingTeamsGetPlacesByWeight) {
  const std::vector<team_load> loads = {{"a", 1, 5, 20, {}},
                                        {"b", 3, 5, 20, {}}};
  const double fair = PlacesRatio(RunFair(loads, absl::Minutes(5)));
  const double by_arrival =
      PlacesRatio(RunFirstComeFirstServed(loads, absl::Minutes(5)));
  EXPECT_NEAR(fair, 3, 0.3);
  EXPECT_LT(by_arrival, 1.5);
  RecordProperty("places_ratio_fair", absl::StrCat(fair));
  RecordProperty("places_ratio_by_arrival", absl::StrCat(by_arrival));
}

TEST(fair_queue_test, AFloodDoesNotDelayTheFirstRequestOfASmallTeam) {
  const std::vector<team_load> loads = {{"flood", 1, 5, 100, {}},
                                        {"small", 1, 5, 1, absl::Seconds(30)}};
  const auto fair = RunFair(loads, absl::Minutes(2));
  const auto by_arrival = RunFirstComeFirstServed(loads, absl::Minutes(2));
  // The next place that becomes free goes to the small team.
  EXPECT_LE(fair[1].granted_before_first, 1);
  EXPECT_EQ(by_arrival[1].granted_before_first, 100);
  RecordProperty("first_wait_fair", absl::FormatDuration(fair[1].first_wait));
  RecordProperty("first_wait_by_arrival",
                 absl::FormatDuration(by_arrival[1].first_wait));
}

TEST(fair_queue_test, LowPriorityIsServedWithinItsBoundUnderHighPriorityLoad) {
  const std::vector<team_load> loads = {{"high", 1, 9, 20, {}},
                                        {"low", 1, 0, 1, absl::Seconds(10)}};
  engine_run run(loads);
  run.ageing = 9 * kAgeingStep;
  const auto results = run.Run(absl::Minutes(2));
  // A low-priority request that has waited past its bound gets the next place.
  EXPECT_EQ(results[1].granted_while_overdue, 0);
  EXPECT_GT(results[1].places, 100);
  EXPECT_GT(results[0].places, 5 * results[1].places);
  RecordProperty("places_low", results[1].places);
  RecordProperty("places_high", results[0].places);
  RecordProperty("longest_wait_low",
                 absl::FormatDuration(results[1].longest_wait));
}

queued_reservation MakeQueued(const std::string& id, const std::string& team,
                              double weight, int priority) {
  queued_reservation queued;
  queued.request.request_id = id;
  queued.request.team = team;
  queued.request.weight = weight;
  queued.request.priority = priority;
  queued.request.expected_use = absl::Seconds(1);
  queued.queued_at = kStart;
  queued.deadline = kStart + absl::Seconds(1);
  return queued;
}

TEST(fair_queue_test, QueuePositionFollowsWeightAndPriority) {
  fair_queue queue;
  for (int i = 0; i < 10; ++i) {
    EnqueueReservation(queue, MakeQueued("r", "flood", 1, 5));
  }
  const struct {
    std::string team;
    double weight;
    int priority;
    absl::Duration interval;
    int ahead;
  } cases[] = {
      {"flood", 1, 5, {}, 10},
      {"small", 1, 5, {}, 1},
      {"small", 1, 9, {}, 0},
      {"small", 1, 1, {}, 10},
      // After two places, 100 ms apart, the request has waited 200 ms: its
      // bound of 4 ageing steps.
      {"small", 1, 1, absl::Milliseconds(100), 2},
  };
  for (const auto& row : cases) {
    EXPECT_EQ(
        CountAhead(queue, MakeQueued("n", row.team, row.weight, row.priority),
                   row.interval, kStart),
        row.ahead)
        << &row - cases;
  }
  EXPECT_EQ(TakeExpired(queue, kStart + absl::Seconds(1)).size(), 10U);
  EXPECT_TRUE(queue.empty());
}

}  // namespace
}  // namespace anvilridge
