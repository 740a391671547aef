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
const promise_policy kCautious;

// Requests of one team: it keeps `backlog` of them waiting, from `from` on.
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
  // Places given to others while its first request waited.
  int before_first = 0;
  // Most places given to others while a request waited past `ageing`.
  int before_overdue = 0;
};

// One decode engine and its queue over virtual time, with seeded uses.
struct engine_run {
  std::vector<team_load> loads;
  // The present order is that of one team: first come first served.
  bool one_queue = false;
  std::mt19937_64 random{7};
  place_queue queue;
  decode_ledger ledger;
  std::map<std::string, absl::Time> ends;
  std::map<std::string, size_t> team_of;
  std::map<std::string, absl::Time> asked;
  std::vector<team_result> results;
  std::vector<int> waiting;
  // When each place was given, and the wait past which none goes to others.
  std::vector<absl::Time> given;
  absl::Duration ageing = absl::InfiniteDuration();
  int asks = 0;

  explicit engine_run(std::vector<team_load> teams) : loads(std::move(teams)) {}

  void Ask(size_t index, absl::Time now) {
    const team_load& load = loads[index];
    decode_ask ask;
    ask.request_id = absl::StrCat("r", ++asks);
    ask.pieces = 1;
    ask.expected_use = kMeanUse;
    ask.may_wait = absl::Hours(1);
    ask.team = one_queue ? "" : load.team;
    ask.weight = one_queue ? 1 : load.weight;
    ask.priority = one_queue ? 5 : load.priority;
    team_of[ask.request_id] = index;
    asked[ask.request_id] = now;
    const auto answer = AskOrQueue(queue, ledger, ask, kCautious, now);
    if (answer && answer->granted) return Begin(ask.request_id, now);
    if (!answer) ++waiting[index];
  }

  int GivenFrom(absl::Time from) const {
    const auto first = std::lower_bound(given.begin(), given.end(), from);
    return static_cast<int>(given.end() - first);
  }

  void Begin(const std::string& id, absl::Time now) {
    std::uniform_real_distribution<double> share(0.5, 1.5);
    ends[id] = now + share(random) * kMeanUse;
    team_result& result = results[team_of[id]];
    const absl::Duration waited = now - asked[id];
    if (result.places++ == 0) {
      result.first_wait = waited;
      result.before_first = GivenFrom(asked[id]);
    }
    result.longest_wait = std::max(result.longest_wait, waited);
    result.before_overdue =
        std::max(result.before_overdue, GivenFrom(asked[id] + ageing));
    given.push_back(now);
  }

  std::vector<team_result> Run(absl::Duration length) {
    ledger.slots = kSlots;
    ledger.pieces = 1000;
    results.resize(loads.size());
    waiting.resize(loads.size());
    for (absl::Time now = kStart; now < kStart + length; now += kTick) {
      Step(now);
    }
    return results;
  }

  void Step(absl::Time now) {
    std::erase_if(ends, [&](const auto& entry) {
      if (entry.second > now) return false;
      ReleaseDecode(ledger, entry.first);
      return true;
    });
    // What runs stays promised.
    for (const auto& [id, end] : ends) {
      ledger.holds[id].promised_until = end;
    }
    for (const auto& one : ServeQueue(queue, ledger, kCautious, now)) {
      --waiting[team_of[one.request_id]];
      Begin(one.request_id, now);
    }
    for (size_t i = 0; i < loads.size(); ++i) {
      if (now < kStart + loads[i].from) continue;
      while (waiting[i] < loads[i].backlog && ledger.holds.size() >= kSlots) {
        Ask(i, now);
      }
      if (ledger.holds.size() < kSlots) Ask(i, now);
    }
  }
};

std::vector<team_result> Fair(std::vector<team_load> loads,
                              absl::Duration length) {
  return engine_run(std::move(loads)).Run(length);
}

std::vector<team_result> ByArrival(std::vector<team_load> loads,
                                   absl::Duration length) {
  engine_run run(std::move(loads));
  run.one_queue = true;
  return run.Run(length);
}

double Ratio(const std::vector<team_result>& results) {
  return 1.0 * results[1].places / results[0].places;
}

TEST(fair_queue_test, SaturatingTeamsGetPlacesByWeight) {
  const std::vector<team_load> loads = {{"a", 1, 5, 20, {}},
                                        {"b", 3, 5, 20, {}}};
  const double fair = Ratio(Fair(loads, absl::Minutes(5)));
  const double by_arrival = Ratio(ByArrival(loads, absl::Minutes(5)));
  EXPECT_NEAR(fair, 3, 0.3);
  EXPECT_LT(by_arrival, 1.5);
  RecordProperty("places_ratio_fair", absl::StrCat(fair));
  RecordProperty("places_ratio_by_arrival", absl::StrCat(by_arrival));
}

TEST(fair_queue_test, AFloodDoesNotDelayTheFirstRequestOfASmallTeam) {
  const std::vector<team_load> loads = {{"flood", 1, 5, 100, {}},
                                        {"small", 1, 5, 1, absl::Seconds(30)}};
  const auto fair = Fair(loads, absl::Minutes(2));
  const auto by_arrival = ByArrival(loads, absl::Minutes(2));
  // The place that comes free next is the small team's.
  EXPECT_LE(fair[1].before_first, 1);
  EXPECT_EQ(by_arrival[1].before_first, 100);
  RecordProperty("first_wait_fair", absl::FormatDuration(fair[1].first_wait));
  RecordProperty("first_wait_by_arrival",
                 absl::FormatDuration(by_arrival[1].first_wait));
}

TEST(fair_queue_test, LowPriorityIsServedWithinItsBoundUnderAHighStream) {
  const std::vector<team_load> loads = {{"high", 1, 9, 20, {}},
                                        {"low", 1, 0, 1, absl::Seconds(10)}};
  engine_run run(loads);
  run.ageing = 9 * kAgeingStep;
  const auto results = run.Run(absl::Minutes(2));
  // Past its bound the next place is its own.
  EXPECT_EQ(results[1].before_overdue, 0);
  EXPECT_GT(results[1].places, 100);
  EXPECT_GT(results[0].places, 5 * results[1].places);
  RecordProperty("places_low", results[1].places);
  RecordProperty("places_high", results[0].places);
  RecordProperty("longest_wait_low",
                 absl::FormatDuration(results[1].longest_wait));
}

queued_ask Waiting(const std::string& id, const std::string& team,
                   double weight, int priority) {
  queued_ask waiting;
  waiting.ask.request_id = id;
  waiting.ask.team = team;
  waiting.ask.weight = weight;
  waiting.ask.priority = priority;
  waiting.ask.expected_use = absl::Seconds(1);
  waiting.queued_at = kStart;
  waiting.give_up_at = kStart + absl::Seconds(1);
  return waiting;
}

TEST(fair_queue_test, PositionIsThatOfTheShareAndPriority) {
  fair_queue queue;
  for (int i = 0; i < 10; ++i) AddAsk(queue, Waiting("r", "flood", 1, 5));
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
      // After two places of 100 ms it is past its bound of 4 steps.
      {"small", 1, 1, absl::Milliseconds(100), 2},
  };
  for (const auto& row : cases) {
    EXPECT_EQ(
        CountAhead(queue, Waiting("n", row.team, row.weight, row.priority),
                   row.interval, kStart),
        row.ahead)
        << &row - cases;
  }
  EXPECT_EQ(TakeLate(queue, kStart + absl::Seconds(1)).size(), 10U);
  EXPECT_TRUE(queue.empty());
}

}  // namespace
}  // namespace anvilridge
