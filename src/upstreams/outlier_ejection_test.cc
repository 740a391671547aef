#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "upstreams/pool_health.h"
#include "upstreams/return_share.h"

namespace anvilridge {
namespace {

using r = call_result;
using names = std::set<std::string, std::less<>>;

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

config_state Pool(int upstreams) {
  config_state config;
  for (int i = 1; i <= upstreams; ++i) {
    const std::string name = absl::StrCat("u", i);
    config.upstreams[name].name = name;
    config.upstreams[name].pool = "pool";
  }
  return config;
}

// Health of upstreams by the default settings, jitter left out.
struct watched_pool {
  health_settings settings;
  health_table table;
  config_state config = Pool(4);
  absl::Time now = kStart;

  void Report(absl::string_view upstream, const std::vector<r>& results,
              absl::Duration apart = absl::Milliseconds(1)) {
    for (const r result : results) {
      now += apart;
      ReportCall(table, upstream, result, settings, now, 0);
    }
  }

  health_view Judge(const names& leaving = {}) const {
    return JudgeHealth(table, config, leaving, settings, now);
  }

  names In(health_phase phase, const names& leaving = {}) const {
    names found;
    for (const auto& [name, standing] : Judge(leaving)) {
      if (standing.phase == phase) found.insert(name);
    }
    return found;
  }

  absl::Duration EjectedFor(const std::string& upstream) const {
    return table.upstreams.at(upstream).ejected_until - now;
  }
};

TEST(outlier_ejection_test, FailuresAndStallsInARowOrByShareEject) {
  const std::vector<r> half_bad = {r::failed,  r::ok, r::stalled, r::ok,
                                   r::failed,  r::ok, r::failed,  r::ok,
                                   r::stalled, r::ok, r::failed};
  std::vector<r> third_bad;
  for (int i = 0; i < 10; ++i) {
    third_bad.insert(third_bad.end(), {r::failed, r::ok, r::ok});
  }
  const struct {
    std::vector<r> results;
    absl::Duration apart;
    bool ejected;
  } cases[] = {
      {{r::failed, r::failed}, {}, false},
      {{r::failed, r::failed, r::failed}, {}, true},
      {{r::stalled, r::failed, r::stalled}, {}, true},
      {{r::failed, r::failed, r::ok, r::failed, r::failed}, {}, false},
      {half_bad, {}, true},
      {third_bad, {}, false},
      // The same share, but too few calls within the window.
      {half_bad, absl::Seconds(3), false},
  };
  for (const auto& row : cases) {
    watched_pool pool;
    pool.Report("u1", row.results, row.apart);
    EXPECT_EQ(!pool.In(health_phase::ejected).empty(), row.ejected)
        << &row - cases;
  }
}

TEST(outlier_ejection_test, HalfOfThePoolStaysAndTheWorstGoFirst) {
  const std::vector<r> all_bad(3, r::failed);
  const std::vector<r> some_good = {r::ok, r::failed, r::failed, r::failed};
  const struct {
    int upstreams;
    names draining;
    names leaving;
    names bad;
    names less_bad;
    names ejected;
    names kept;
  } cases[] = {
      {1, {}, {}, {"u1"}, {}, {}, {"u1"}},
      {2, {}, {}, {"u1", "u2"}, {}, {"u1"}, {"u2"}},
      {3, {}, {}, {"u1", "u2", "u3"}, {}, {"u1"}, {"u2", "u3"}},
      {4, {}, {}, {"u3", "u4"}, {"u1", "u2"}, {"u3", "u4"}, {"u1", "u2"}},
      {4, {"u4"}, {}, {"u2", "u4"}, {"u1"}, {"u2"}, {"u1"}},
      {4, {}, {"u3", "u4"}, {"u2"}, {"u1"}, {"u2"}, {"u1"}},
      {5, {}, {}, {"u5"}, {}, {"u5"}, {}},
  };
  for (const auto& row : cases) {
    watched_pool pool;
    pool.config = Pool(row.upstreams);
    for (const std::string& name : row.draining) {
      pool.config.upstreams[name].draining = true;
    }
    for (const std::string& name : row.less_bad) pool.Report(name, some_good);
    for (const std::string& name : row.bad) pool.Report(name, all_bad);
    EXPECT_EQ(pool.In(health_phase::ejected, row.leaving), row.ejected)
        << &row - cases;
    EXPECT_EQ(pool.In(health_phase::kept, row.leaving), row.kept)
        << &row - cases;
  }
}

TEST(outlier_ejection_test, TimeDoublesUpToItsBoundAndIsForgotten) {
  watched_pool pool;
  std::vector<absl::Duration> times;
  for (int i = 0; i < 7; ++i) {
    // Those in flight when the ejection begins don't lengthen it.
    pool.Report("u1", std::vector<r>(20, r::failed), {});
    times.push_back(pool.EjectedFor("u1"));
    pool.now += times.back();
  }
  using absl::Seconds;
  EXPECT_EQ(times, (std::vector<absl::Duration>{
                       Seconds(1), Seconds(2), Seconds(4), Seconds(8),
                       Seconds(16), Seconds(30), Seconds(30)}));
  pool.now += pool.settings.return_over + 7 * pool.settings.longest_ejection;
  pool.Report("u1", {r::failed, r::failed, r::failed}, {});
  EXPECT_EQ(pool.EjectedFor("u1"), Seconds(1));
  ReportCall(pool.table, "u2", r::failed, pool.settings, pool.now, 1);
  ReportCall(pool.table, "u2", r::failed, pool.settings, pool.now, 1);
  ReportCall(pool.table, "u2", r::failed, pool.settings, pool.now, 1);
  EXPECT_EQ(pool.EjectedFor("u2"), absl::Milliseconds(800));
}

TEST(outlier_ejection_test, ShareOfPicksGrowsOverTheReturn) {
  watched_pool pool;
  pool.Report("u1", {r::failed, r::failed, r::failed}, {});
  pool.now += absl::Seconds(1);
  std::vector<const upstream_config*> all;
  for (const auto& [name, one] : pool.config.upstreams) all.push_back(&one);
  const struct {
    absl::Duration after;
    double share;
  } cases[] = {{absl::ZeroDuration(), 0.1},
               {absl::Milliseconds(2500), 0.5},
               {absl::Milliseconds(4500), 0.9},
               {absl::Seconds(5), 1}};
  std::mt19937_64 random(1);
  constexpr int kPicks = 4000;
  const absl::Time back = pool.now;
  for (const auto& row : cases) {
    pool.now = back + row.after;
    const auto view = std::make_shared<const health_view>(pool.Judge());
    int picked = 0;
    for (int i = 0; i < kPicks; ++i) {
      const auto thinned = ThinReturning(all, view, random);
      ASSERT_GE(thinned.size(), 3U);
      picked += thinned.front() == all.front() ? 1 : 0;
    }
    EXPECT_NEAR(1.0 * picked / kPicks, row.share, 0.03) << row.after;
  }
  pool.now = back;
  const auto view = std::make_shared<const health_view>(pool.Judge());
  EXPECT_EQ(ThinReturning({all.front()}, view, random).size(), 1U);
  pool.Report("u1", {r::stalled}, {});
  EXPECT_EQ(pool.In(health_phase::ejected), names{"u1"});
}

}  // namespace
}  // namespace anvilridge
