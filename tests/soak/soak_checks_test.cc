// Each check of the soak bites, shown on records made by hand.
#include "soak/soak_checks.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

using testing::HasSubstr;

const absl::Time kStart = absl::FromUnixSeconds(1'000);

class soak_checks_test : public testing::Test {
 protected:
  soak_checks_test() {
    record_.calm = kStart + absl::Seconds(60);
    record_.end = kStart + absl::Seconds(70);
  }

  caller_record& Caller(request_kind kind, int status, const std::string& body,
                        absl::Time began = kStart) {
    caller_record caller;
    caller.id = "r1";
    caller.kind = kind;
    caller.began = began;
    caller.ended = began + absl::Seconds(1);
    caller.status = status;
    caller.whole = true;
    caller.body = body;
    record_.callers.push_back(caller);
    return record_.callers.back();
  }
  void Runs(int count) {
    for (int i = 0; i < count; ++i) {
      record_.upstreams["r1"].runs.push_back(kStart);
    }
  }
  std::string Broken() const {
    return absl::StrJoin(BrokenPromises(record_), "\n");
  }

  soak_record record_;
};

TEST_F(soak_checks_test, ARightAnswerBreaksNothing) {
  Caller(request_kind::posting, 200, "done r1");
  Runs(1);
  EXPECT_EQ(Broken(), "");
}

TEST_F(soak_checks_test, ExtraSendsKeepToTheBudget) {
  record_.send_slack = 2;
  for (int i = 0; i < 10; ++i) {
    Caller(request_kind::posting, 503, "").retry_after = "1";
    upstream_record& upstream = record_.upstreams["r1"];
    upstream.service = "ledger";
    // Ten requests and the slack allow four; the first arrival is none.
    if (i < 5) upstream.arrivals.push_back({kStart + absl::Milliseconds(i)});
  }
  EXPECT_EQ(Broken(), "");
  record_.upstreams["r1"].arrivals.push_back({kStart + absl::Seconds(9)});
  EXPECT_THAT(Broken(), HasSubstr("more extra sends than the budget"));
  record_.upstreams["r1"].arrivals.back().at += absl::Seconds(2);
  EXPECT_EQ(Broken(), "");
}

// Guards against a soak that passes over prefills which no engine accepted:
// only the first accepted one is free, whatever arrived before it.
TEST_F(soak_checks_test, OnlyTheFirstAcceptedPrefillIsFree) {
  record_.send_slack = 1;
  Caller(request_kind::stream, 503, "").retry_after = "1";
  upstream_record& upstream = record_.upstreams["r1"];
  upstream.service = "model";
  // A lost prefill, an accepted one and the decode are one extra send.
  upstream.arrivals = {{kStart}, {kStart, true}, {kStart}};
  EXPECT_EQ(Broken(), "");
  upstream.arrivals = {{kStart}, {kStart}, {kStart}};
  EXPECT_THAT(Broken(), HasSubstr("more extra sends than the budget"));
  upstream.arrivals = {{kStart, true}, {kStart, true}, {kStart}};
  EXPECT_EQ(Broken(), "");
  upstream.arrivals.push_back({kStart, true});
  EXPECT_THAT(Broken(), HasSubstr("more extra sends than the budget"));
}

TEST_F(soak_checks_test, APostingRunsOnce) {
  Caller(request_kind::posting, 200, "done r1");
  Runs(2);
  EXPECT_THAT(Broken(), HasSubstr("run twice"));
}

TEST_F(soak_checks_test, ARefusalIsTrueAndNamesATime) {
  Caller(request_kind::posting, 503, "");
  Runs(1);
  EXPECT_THAT(Broken(), HasSubstr("refused and run"));
  EXPECT_THAT(Broken(), HasSubstr("without a time to come back"));
}

TEST_F(soak_checks_test, AnAnswerComesFromARun) {
  Caller(request_kind::posting, 200, "done r1");
  EXPECT_THAT(Broken(), HasSubstr("answered and not run"));
}

TEST_F(soak_checks_test, SendsStayWithinTheAttempts) {
  Caller(request_kind::read, 200, "done r1");
  Runs(3);
  EXPECT_THAT(Broken(), HasSubstr("more sends than attempts"));
}

TEST_F(soak_checks_test, AStreamHasNeitherHoleNorDouble) {
  const std::string whole = WholeStream("r1");
  EXPECT_EQ((Caller(request_kind::stream, 200, whole), Broken()), "");
  record_.callers.clear();
  Caller(request_kind::stream, 200, StreamEvent("r1", 1) + StreamEvent("r1", 3))
      .whole = false;
  EXPECT_THAT(Broken(), HasSubstr("wrong answer"));
  record_.callers.clear();
  Caller(request_kind::stream, 200, whole.substr(0, whole.size() - 9));
  EXPECT_THAT(Broken(), HasSubstr("wrong answer"));
}

TEST_F(soak_checks_test, TheFinalAnswerComesInTimeUnlessTheDaemonWasAway) {
  Caller(request_kind::read, 504, "").ended = kStart + absl::Seconds(3);
  EXPECT_THAT(Broken(), HasSubstr("no final answer in time"));
  record_.faults.push_back(
      {fault_place::upstream, -1, kStart, kStart + absl::Seconds(2)});
  EXPECT_THAT(Broken(), HasSubstr("no final answer in time"));
  record_.faults.push_back(
      {fault_place::daemon, 0, kStart, kStart + absl::Seconds(2)});
  EXPECT_EQ(Broken(), "");
}

TEST_F(soak_checks_test, AllAreServedOnceItIsCalm) {
  Caller(request_kind::read, 502, "", kStart + absl::Seconds(65));
  EXPECT_THAT(Broken(), HasSubstr("not served on a calm day"));
}

// Guards against a request that is ended because its upstream was silent.
TEST_F(soak_checks_test, SilenceEndsNothing) {
  record_.upstreams["r1"].silenced = true;
  caller_record& caller =
      Caller(request_kind::stream, 200, StreamEvent("r1", 1));
  caller.whole = false;
  Runs(1);
  EXPECT_THAT(Broken(), HasSubstr("its upstream was silent"));
  record_.upstreams["r1"].failed = true;
  EXPECT_EQ(Broken(), "");
  record_.upstreams["r1"].failed = false;
  caller.ended = caller.began + absl::Seconds(8);
  EXPECT_EQ(Broken(), "");
}

TEST_F(soak_checks_test, SilenceAllowsOnlyTrueRefusals) {
  record_.upstreams["r1"].silenced = true;
  caller_record& caller = Caller(request_kind::read, 503, "");
  caller.retry_after = "1";
  EXPECT_EQ(Broken(), "");
  Runs(1);
  EXPECT_THAT(Broken(), HasSubstr("its upstream was silent"));
  caller.status = 504;
  record_.upstreams["r1"].runs.clear();
  EXPECT_THAT(Broken(), HasSubstr("its upstream was silent"));
}

class planned_stop_checks_test : public soak_checks_test {
 protected:
  planned_stop_checks_test() {
    record_.only_stops = true;
    record_.faults = {
        {fault_place::daemon, 0, kStart, kStart + absl::Seconds(9)}};
  }

  // A request that its daemon cut, `after` it was sent.
  caller_record& Cut(request_kind kind, absl::Duration after,
                     absl::Time began = kStart) {
    caller_record& caller = Caller(kind, 0, "", began);
    caller.ended = began + after;
    caller.whole = false;
    caller.sent = true;
    caller.limit = absl::Seconds(20);
    return caller;
  }
  void Arrives() { record_.upstreams["r1"].arrivals.push_back({kStart}); }
};

// Guards against a soak that passes over what the end of a stop cuts.
TEST_F(planned_stop_checks_test, NothingIsPassedOnAndCut) {
  caller_record& caller = Cut(request_kind::posting, absl::Milliseconds(100));
  EXPECT_EQ(Broken(), "");
  EXPECT_EQ(CrossedRequests(record_), 1);
  Arrives();
  EXPECT_THAT(Broken(), HasSubstr("passed on and ended without its answer"));
  EXPECT_EQ(CrossedRequests(record_), 0);
  caller.status = 504;
  caller.whole = true;
  EXPECT_THAT(Broken(), HasSubstr("passed on and ended without its answer"));
  caller.limit = absl::Milliseconds(200);
  EXPECT_EQ(Broken(), "");
}

TEST_F(planned_stop_checks_test, WhatWasSentIsAnsweredBeforeItsConnectionEnds) {
  caller_record& caller = Cut(request_kind::read, absl::Milliseconds(300));
  EXPECT_THAT(Broken(), HasSubstr("left without an answer"));
  caller.sent = false;
  EXPECT_EQ(Broken(), "");
}

TEST_F(planned_stop_checks_test, ARefusalOfAnyKindIsTrue) {
  caller_record& caller = Caller(request_kind::stream, 503, "");
  caller.sent = true;
  caller.retry_after = "1";
  Arrives();
  EXPECT_EQ(Broken(), "");
  Runs(1);
  EXPECT_THAT(Broken(), HasSubstr("refused and run"));
}

TEST_F(planned_stop_checks_test, OnlyAStreamBeforeTheStopMayOutlastIt) {
  Arrives();
  const absl::Time before = kStart - absl::Milliseconds(1);
  Cut(request_kind::stream, absl::Seconds(7), before);
  EXPECT_EQ(Broken(), "");
  record_.callers.clear();
  Cut(request_kind::stream, absl::Seconds(6), before);
  EXPECT_THAT(Broken(), HasSubstr("passed on and ended without its answer"));
  record_.callers.clear();
  Cut(request_kind::stream, absl::Seconds(7));
  EXPECT_THAT(Broken(), HasSubstr("passed on and ended without its answer"));
  record_.callers.clear();
  Cut(request_kind::posting, absl::Seconds(7), before);
  EXPECT_THAT(Broken(), HasSubstr("passed on and ended without its answer"));
}

// A stop is no excuse for an answer that never comes.
TEST_F(planned_stop_checks_test, TheFinalAnswerComesInTime) {
  Caller(request_kind::read, 504, "").ended = kStart + absl::Seconds(3);
  EXPECT_THAT(Broken(), HasSubstr("no final answer in time"));
}

TEST_F(soak_checks_test, EnginesStopForCallersThatHaveLeft) {
  Caller(request_kind::stream, 200, StreamEvent("r1", 1)).whole = false;
  record_.callers.back().left = kStart + absl::Seconds(1);
  Runs(1);
  record_.upstreams["r1"].stops = {kStart + absl::Seconds(4)};
  EXPECT_THAT(Broken(), HasSubstr("callers that have left"));
  record_.upstreams["r1"].stops = {kStart + absl::Milliseconds(1300)};
  EXPECT_EQ(Broken(), "");
}

TEST_F(soak_checks_test, AConfigurationIsInForceInTimeAndStays) {
  record_.configs = {{2, kStart}};
  record_.probes = {{0, kStart + absl::Seconds(2), 1, 1, record_.calm}};
  EXPECT_EQ(Broken(), "");
  record_.probes.push_back({0, kStart + absl::Seconds(5), 1, 1, record_.calm});
  EXPECT_THAT(Broken(), HasSubstr("an old configuration in force"));
  record_.faults = {
      {fault_place::store, -1, kStart, kStart + absl::Seconds(1)}};
  EXPECT_EQ(Broken(), "");
  record_.probes = {{0, kStart, 2, 1, kStart}, {0, kStart, 1, 1, kStart}};
  EXPECT_THAT(Broken(), HasSubstr("behind a newer one"));
}

// Guards against a false alarm when the answer to an earlier question arrives
// behind the answer to a later one.
TEST_F(soak_checks_test, AnswersOnConfigurationsMayOvertakeEachOther) {
  const absl::Time later = kStart + absl::Milliseconds(400);
  record_.configs = {{2, kStart}};
  record_.probes = {{0, later, 2, 1, later + absl::Milliseconds(5)},
                    {0, kStart, 1, 1, later + absl::Seconds(1)}};
  EXPECT_EQ(Broken(), "");
  record_.probes.push_back(
      {0, later + absl::Milliseconds(5), 1, 1, later + absl::Seconds(1)});
  EXPECT_THAT(Broken(), HasSubstr("behind a newer one"));
}

TEST_F(soak_checks_test, NothingReachesAnUpstreamThatLeaves) {
  Caller(request_kind::posting, 200, "done r1");
  Runs(1);
  upstream_record& upstream = record_.upstreams["r1"];
  upstream.words.push_back({"u", kStart, absl::InfiniteFuture()});
  upstream.arrivals.push_back(
      {.at = kStart + absl::Milliseconds(400), .upstream = "u"});
  upstream.arrivals.push_back(
      {.at = kStart + absl::Seconds(1), .upstream = "other"});
  EXPECT_EQ(Broken(), "");
  upstream.arrivals.push_back(
      {.at = kStart + absl::Milliseconds(600), .upstream = "u"});
  record_.send_slack = 9;
  EXPECT_THAT(Broken(), HasSubstr("an upstream that leaves"));
  record_.faults.push_back({fault_place::daemon, 0,
                            kStart + absl::Milliseconds(100),
                            kStart + absl::Milliseconds(200)});
  EXPECT_EQ(Broken(), "");
}

TEST_F(soak_checks_test, FewRequestsReachAnUpstreamThatWantsNone) {
  Caller(request_kind::posting, 200, "done r1");
  Runs(1);
  record_.send_slack = 9;
  upstream_record& upstream = record_.upstreams["r1"];
  upstream.words.push_back({"u", kStart, kStart + absl::Seconds(2)});
  for (const int ms : {600, 700, 2100}) {
    upstream.arrivals.push_back(
        {.at = kStart + absl::Milliseconds(ms), .upstream = "u"});
  }
  EXPECT_EQ(Broken(), "");
  upstream.arrivals.push_back(
      {.at = kStart + absl::Milliseconds(1900), .upstream = "u"});
  EXPECT_THAT(Broken(), HasSubstr("an upstream that wants none"));
}

class soak_team_checks_test : public soak_checks_test {
 protected:
  soak_team_checks_test() { record_.teams = true; }

  // A caller of `team` that was served at `at`, under an id of its own.
  caller_record& Served(const std::string& team, absl::Time at) {
    caller_record& caller = Caller(request_kind::posting, 200, "", at);
    caller.id = absl::StrCat("t", record_.callers.size());
    caller.body = absl::StrCat("done ", caller.id);
    caller.team = team;
    caller.tokens = 100;
    upstream_record& upstream = record_.upstreams[caller.id];
    upstream.arrivals.push_back({.at = at});
    upstream.runs.push_back(at);
    if (!team.empty()) upstream.teams.insert(team);
    return caller;
  }
};

TEST_F(soak_team_checks_test, CallersOfATeamBreakNothing) {
  Served("north", kStart);
  EXPECT_EQ(Broken(), "");
}

TEST_F(soak_team_checks_test, AKeyAtAnUpstreamIsSeen) {
  record_.upstreams[Served("north", kStart).id].saw_key = true;
  EXPECT_THAT(Broken(), HasSubstr("a key reached an upstream"));
}

TEST_F(soak_team_checks_test, AnotherTeamIsSeen) {
  record_.upstreams[Served("north", kStart).id].teams = {"hot"};
  EXPECT_THAT(Broken(), HasSubstr("under another team"));
}

TEST_F(soak_team_checks_test, CallersWithoutAKeyAreSeen) {
  Served("", kStart);
  EXPECT_THAT(Broken(), HasSubstr("sent on without a key"));
}

TEST_F(soak_team_checks_test, ARevokedKeyIsSeen) {
  record_.configs = {{2, kStart}};
  Served("moving", kStart + absl::Seconds(2)).key_version = 1;
  EXPECT_EQ(Broken(), "");
  Served("moving", kStart + absl::Seconds(4)).key_version = 1;
  EXPECT_THAT(Broken(), HasSubstr("with a revoked key"));
}

TEST_F(soak_team_checks_test, AValidKeyThatIsRefusedIsSeen) {
  Caller(request_kind::posting, 401, "").team = "north";
  EXPECT_THAT(Broken(), HasSubstr("a valid key was refused"));
}

TEST_F(soak_team_checks_test, ANewKeyThatIsRefusedIsSeen) {
  record_.configs = {{2, kStart}};
  caller_record& early =
      Caller(request_kind::posting, 401, "", kStart + absl::Seconds(2));
  early.team = "moving";
  early.key_version = 2;
  EXPECT_EQ(Broken(), "");
  caller_record& late =
      Caller(request_kind::posting, 401, "", kStart + absl::Seconds(4));
  late.team = "moving";
  late.key_version = 2;
  EXPECT_THAT(Broken(), HasSubstr("a valid key was refused"));
}

TEST_F(soak_team_checks_test, UseBeyondACapIsSeen) {
  // Within one window the cap allows 55 requests of 100 tokens.
  for (int i = 0; i < 55; ++i) {
    Served("hot", kStart + absl::Milliseconds(100 * i));
  }
  EXPECT_EQ(Broken(), "");
  Served("hot", kStart + absl::Seconds(7));
  EXPECT_THAT(Broken(), HasSubstr("beyond the cap of team hot"));
}

TEST_F(soak_team_checks_test, AStarvingTeamIsSeen) {
  for (int i = 0; i < 30; ++i) {
    const absl::Time at = kStart + absl::Milliseconds(100 * i);
    Served("north", at);
    caller_record& refused = Caller(request_kind::posting, 429, "", at);
    refused.team = "small";
    refused.tokens = 100;
    refused.retry_after = "1";
  }
  EXPECT_THAT(Broken(), HasSubstr("team small starves"));
}

}  // namespace
}  // namespace anvilridge
