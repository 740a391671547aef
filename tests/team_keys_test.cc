// Teams with keys and caps, over a real daemon process.
#include <memory>
#include <string>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "harness/caller_socket.h"
#include "harness/eventually.h"
#include "harness/platform_scene.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

using testing::HasSubstr;
using testing::Not;

// Within which a daemon on this machine must act.
constexpr absl::Duration kBound = absl::Seconds(10);
constexpr char kNorthKey[] = "k-north-7c1f09";
constexpr char kSouthKey[] = "k-south-2b880e";

// Returns a configuration with the service's two routes, one of them public,
// and `teams`.
std::string Config(int version, absl::string_view teams) {
  return absl::StrReplaceAll(
      R"({"Version":VERSION,"Routes":[)"
      R"({"Name":"post","Host":"a.example","PathPrefix":"/post/",)"
      R"("Kind":"unsafe","TimeoutMs":2000,"LatencyTargetMs":150,)"
      R"("Attempts":1,"Service":"ledger"},)"
      R"({"Name":"read","Host":"a.example","PathPrefix":"/read/",)"
      R"("Kind":"safe","TimeoutMs":2000,"LatencyTargetMs":150,)"
      R"("Attempts":1,"Public":true,"Service":"ledger"}],)"
      R"("Services":[{"Name":"ledger","MaxConns":9}],"Tenants":[TEAMS]})",
      {{"VERSION", absl::StrCat(version)}, {"TEAMS", teams}});
}

std::string Team(absl::string_view name, absl::string_view key,
                 absl::string_view members = "") {
  return absl::StrCat(R"({"Name":")", name, R"(","ApiKeys":[")", key, "\"]",
                      members, "}");
}

class team_keys_test : public testing::Test {
 protected:
  void SetUp() override {
    SetTeams(
        absl::StrCat(Team("north", kNorthKey), ",", Team("south", kSouthKey)));
    ASSERT_TRUE(scene_.Start());
    ASSERT_TRUE(Eventually(kBound, [&] { return VersionInForce(version_); }));
  }

  void SetTeams(const std::string& teams) {
    scene_.Put("keyed.op", "config", Config(++version_, teams));
  }

  bool VersionInForce(int version) {
    return scene_.Daemon().Out().find(absl::StrCat(R"("version":)", version,
                                                   "}")) != std::string::npos;
  }

  test_answer Ask(absl::string_view path, const test_headers& headers) {
    test_request request;
    request.method = "POST";
    request.port = scene_.CallerPort();
    request.target = std::string(path);
    request.headers = {{"Host", "a.example"}, {"Request-Id", "q1"}};
    for (const auto& header : headers) request.headers.push_back(header);
    request.body = "fee";
    return Send(request);
  }
  int StatusWith(absl::string_view key) {
    return Ask("/post/1", {{"Authorization", absl::StrCat("Token ", key)}})
        .status;
  }

  platform_scene scene_;
  int version_ = 1;
};

// Guards against upstreams that see a key, or a team that the caller has named.
TEST_F(team_keys_test, UpstreamsAreToldTheTeamOfTheKey) {
  const test_answer answer =
      Ask("/post/1", {{"Authorization", absl::StrCat("Token ", kSouthKey)},
                      {"Tenant", "north"}});
  ASSERT_EQ(answer.status, 200) << answer.error;
  ASSERT_EQ(scene_.AtService().size(), 1u);
  const raw_request request = scene_.AtService().front();
  EXPECT_EQ(platform_scene::Field(request, "tenant"), "south");
  EXPECT_THAT(request.head, Not(HasSubstr(kSouthKey)));
  EXPECT_THAT(request.head, Not(HasSubstr("north")));
}

// Guards against requests that are served without a key, and keys in the log.
TEST_F(team_keys_test, OtherKeysAreRefused) {
  EXPECT_EQ(Ask("/post/1", {}).status, 401);
  EXPECT_EQ(StatusWith("k-west-000000"), 401);
  EXPECT_EQ(
      Ask("/post/1", {{"Authorization", absl::StrCat("Bearer ", kNorthKey)}})
          .status,
      401);
  EXPECT_EQ(Ask("/none/1", {}).status, 404);
  EXPECT_EQ(Ask("/read/1", {}).status, 200);
  EXPECT_EQ(scene_.AtService().size(), 1u);
  EXPECT_EQ(StatusWith(kNorthKey), 200);
  const std::string log = scene_.Daemon().Out() + scene_.Daemon().Err();
  for (const char* key : {kNorthKey, "k-west-000000"}) {
    EXPECT_THAT(log, Not(HasSubstr(key)));
  }
}

// Guards against bodies that are kept for callers without a key.
TEST_F(team_keys_test, ACallerWithoutAKeyIsRefusedBeforeItsBody) {
  const auto unfinished = [](absl::string_view fields) {
    return absl::StrCat("POST /post/1 HTTP/1.1\r\nHost: a.example\r\n",
                        "Request-Id: q2\r\nContent-Length: 4\r\n", fields,
                        "\r\nfee");
  };
  caller_socket refused(scene_.CallerPort());
  refused.Send(unfinished("Authorization: Token k-west-000000\r\n"), {{"q2"}});
  refused.ReadAnswers(kBound);
  ASSERT_FALSE(refused.Requests().empty());
  EXPECT_EQ(refused.Requests()[0].status, 401);
  caller_socket served(scene_.CallerPort());
  const std::string key =
      absl::StrCat("Authorization: Token ", kNorthKey, "\r\n");
  served.Send(unfinished(key), {{"q2"}});
  served.Send("s", {});
  served.ReadAnswers(kBound);
  ASSERT_FALSE(served.Requests().empty());
  EXPECT_EQ(served.Requests()[0].status, 200);
}

// Guards against keys that stay valid after they were taken away.
TEST_F(team_keys_test, AChangeOfKeysAppliesWithItsVersion) {
  EXPECT_EQ(StatusWith(kNorthKey), 200);
  SetTeams(Team("south", "k-new-51aa07"));
  ASSERT_TRUE(Eventually(kBound, [&] { return VersionInForce(version_); }));
  EXPECT_TRUE(Eventually(kBound, [&] { return StatusWith(kNorthKey) == 401; }));
  EXPECT_EQ(StatusWith(kSouthKey), 401);
  EXPECT_EQ(StatusWith("k-new-51aa07"), 200);
}

// Guards against a team that is served beyond its cap or slows down the other.
TEST_F(team_keys_test, ATeamBeyondItsCapIsToldWhenToReturn) {
  SetTeams(
      absl::StrCat(Team("north", kNorthKey, R"(,"RatePerS":0.01,"Burst":1)"),
                   ",", Team("south", kSouthKey)));
  ASSERT_TRUE(Eventually(kBound, [&] { return VersionInForce(version_); }));
  // A daemon that has just started has an empty bucket.
  EXPECT_TRUE(Eventually(kBound, [&] { return StatusWith(kNorthKey) == 429; }));
  const test_answer refused =
      Ask("/post/1", {{"Authorization", absl::StrCat("Token ", kNorthKey)}});
  EXPECT_EQ(refused.status, 429);
  EXPECT_NE(refused.Header("retry-after"), "");
  EXPECT_EQ(refused.Json()["ran"].toString(), "not_run");
  EXPECT_EQ(StatusWith(kSouthKey), 200);
}

// Guards against a configuration of teams that ends the process.
TEST_F(team_keys_test, TeamsThatCannotBeUsedAreLogged) {
  SetTeams(absl::StrCat(Team("north", kNorthKey, R"(,"RatePerS":-3)"), ",",
                        Team("west", kNorthKey), ",3,",
                        Team("south", kSouthKey, R"(,"Unit":"bytes")")));
  ASSERT_TRUE(Eventually(kBound, [&] { return VersionInForce(version_); }));
  EXPECT_TRUE(Eventually(kBound, [&] { return StatusWith(kNorthKey) == 200; }));
  EXPECT_THAT(scene_.Daemon().Out(), HasSubstr("config_team_unusable"));
  EXPECT_TRUE(scene_.Daemon().Running());
}

}  // namespace
}  // namespace anvilridge
