#include "operators/operator_api.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "config/apply_command.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "operators/authenticate.h"
#include "operators/command_parser.h"
#include "operators/command_runner.h"
#include "operators/ctl_client.h"

namespace anvilridge {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;

struct recorded_exchange : inbound_exchange {
  int status = 0;
  std::string body;
  bool closed = false;

  void Respond(int http_status, const http_headers&,
               absl::string_view text) override {
    EXPECT_EQ(status, 0) << "answered twice";
    status = http_status;
    body = std::string(text);
  }
  void Begin(int http_status, const http_headers&) override {
    status = http_status;
  }
  void Write(absl::string_view bytes) override {
    absl::StrAppend(&body, bytes);
  }
  void End() override { closed = true; }
  void Abort() override { closed = true; }
  int64_t UnsentBytes() const override { return 0; }
  bool Closed() const override { return closed; }
  void OnClosed(std::function<void()>) override {}

  QJsonObject Json() const {
    return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
  }
};

// The operator port over a state that commands are applied to at once.
class operator_api_test : public ::testing::Test {
 protected:
  operator_api_test() : api_(Services(), KeyHash("boot")) {
    Command("boot", "create pool dec role=decode model=m1 because \"r\"");
    Command("boot", "create pool pre role=prefill model=m1 because \"r\"");
    Command("boot",
            "create upstream u1 pool=dec address=10.0.0.1:1 domain=a "
            "because \"r\"");
    Command("boot", "create team choirs because \"r\"");
    Command("boot", "create team clubs because \"r\"");
    AddKey("ana", "role=operate");
    AddKey("reader", "role=read");
    AddKey("choir-key", "team=choirs role=read");
    AddKey("caller-key", "team=choirs");
    view_.requests = {
        {"r1", "choirs", "drafts", "decode", "", "u1", 5, 9, absl::Seconds(2)},
        {"r2", "clubs", "drafts", "decode", "", "u1", 5, 9, absl::Seconds(2)}};
  }

  operator_services Services() {
    operator_services services;
    services.view = [this](const auto& done) {
      view_.now = WallNow();
      view_.config = std::make_shared<const config_state>(state_);
      done(view_);
    };
    services.publish = [this](const config_command& command, absl::Duration,
                              const auto& done) {
      ++published_;
      const log_record record{state_.applied_offset + 1, command.time,
                              command.id, EncodeCommand(command)};
      ApplyRecord(state_, record);
      api_.ConfigChanged(std::make_shared<const config_state>(state_));
      done(Outcome(command.id));
    };
    services.status_of = [this](const std::string& id, const auto& done) {
      if (!HistoryOf(state_, id)) {
        return done(MakeError(error_kind::not_found, "no such command"));
      }
      done(Outcome(id));
    };
    return services;
  }

  publish_result Outcome(const std::string& id) const {
    const auto entry = HistoryOf(state_, id);
    publish_result result{id, "accepted", entry->detail, entry->offset, {}};
    if (entry->outcome == command_outcome::contested) {
      result.status = "contested";
      result.error = MakeError(error_kind::config_contested, entry->detail);
    } else if (entry->outcome == command_outcome::rejected) {
      result.status = "rejected";
      result.error = MakeError(error_kind::config_invalid, entry->detail);
    }
    return result;
  }

  std::shared_ptr<recorded_exchange> Send(const std::string& key,
                                          const std::string& method,
                                          const std::string& target,
                                          const std::string& body = "") {
    const size_t mark = target.find('?');
    inbound_request request;
    request.method = method;
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) request.query = target.substr(mark + 1);
    if (!key.empty()) {
      request.headers = {{"authorization", "Bearer " + key}};
    }
    request.body = body;
    auto exchange = std::make_shared<recorded_exchange>();
    api_.Handle(request, exchange);
    return exchange;
  }

  // Sends a line as anvilctl does.
  std::shared_ptr<recorded_exchange> Line(const std::string& key,
                                          const std::string& line,
                                          const std::string& id = "") {
    const auto call =
        CallFor({"", key, "", false}, line, id.empty() ? NextId() : id);
    return Send(key, call.method, call.target, call.body);
  }

  void Command(const std::string& key, const std::string& line) {
    const auto answer = Line(key, line);
    ASSERT_EQ(answer->status, 200) << answer->body;
  }

  void AddKey(const std::string& name, const std::string& rights) {
    Command("boot", absl::StrCat("create key ", name, " sha256=", KeyHash(name),
                                 " ", rights, " because \"r\""));
  }

  std::string NextId() { return absl::StrCat("id-", ++ids_); }

  config_state state_;
  operator_view view_;
  int published_ = 0;
  int ids_ = 0;
  operator_api api_;
};

struct access_case {
  std::string key;
  std::string line;
  int status;
};

TEST_F(operator_api_test, RolesAndTeamsBoundWhatAKeyMayDo) {
  const std::string drain = "drain upstream u1 because \"r\"";
  const access_case cases[] = {
      {"", "show pools", 401},
      {"nobody", "show pools", 401},
      {"caller-key", "show teams", 403},
      {"reader", "show pools", 200},
      {"reader", drain, 403},
      {"reader", "dry run " + drain, 403},
      {"choir-key", "show pools", 403},
      {"choir-key", "handover", 403},
      {"choir-key", "show teams", 200},
      {"choir-key", drain, 403},
      {"ana", "create team x because \"r\"", 403},
      {"ana", drain, 200},
      {"boot", "create team x because \"r\"", 200},
      {"ana", "show pool none", 404},
      {"ana", "drain upstream none because \"r\"", 422},
      {"ana", "undrain upstream u1 against 1 because \"r\"", 409},
      {"ana", "drain pool p", 400},
  };
  for (const access_case& c : cases) {
    EXPECT_EQ(Line(c.key, c.line)->status, c.status) << c.key << ": " << c.line;
  }
}

TEST_F(operator_api_test, TeamsSeeTheirOwnRowsOnly) {
  const std::string requests = Line("choir-key", "show requests")->body;
  EXPECT_THAT(requests, HasSubstr("r1"));
  EXPECT_THAT(requests, Not(HasSubstr("r2")));
  EXPECT_THAT(Line("choir-key", "show teams")->body, Not(HasSubstr("clubs")));
  const std::string history = Line("choir-key", "history")->body;
  EXPECT_THAT(history, HasSubstr("create team choirs"));
  EXPECT_THAT(history, Not(HasSubstr("clubs")));
  EXPECT_THAT(history, Not(HasSubstr("upstream")));
}

TEST_F(operator_api_test, FiltersKeepMatchingRows) {
  const auto rows = [&](const std::string& line) {
    return Line("reader", line)->Json()["rows"].toArray().size();
  };
  EXPECT_EQ(rows("show requests where team=clubs"), 1);
  EXPECT_EQ(rows("show requests where id~r and phase=decode"), 2);
  EXPECT_EQ(rows("show requests where id~\"r+\""), 0);
  EXPECT_EQ(rows("history last 3"), 3);
}

TEST_F(operator_api_test, ACommandSentAgainUnderItsIdIsGivenOnce) {
  const int before = published_;
  const std::string line = "drain upstream u1 because \"r\"";
  const auto first = Line("ana", line, "same");
  const auto again = Line("ana", line, "same");
  EXPECT_EQ(published_, before + 1);
  EXPECT_EQ(first->Json()["offset"], again->Json()["offset"]);
  const auto status = Send("reader", "GET", "/api/v1/commands/same");
  EXPECT_EQ(status->Json()["outcome"].toString(), "accepted");
  EXPECT_EQ(Send("reader", "GET", "/api/v1/commands/other")->status, 404);
}

TEST_F(operator_api_test, MalformedRequestsAreRefused) {
  const std::string path = "/api/v1/command";
  EXPECT_EQ(Send("ana", "GET", path)->status, 405);
  EXPECT_EQ(Send("ana", "POST", path, "{")->status, 400);
  EXPECT_EQ(Send("ana", "POST", path, "{\"comand\":\"x\"}")->status, 400);
  EXPECT_EQ(Send("ana", "POST", path, "{\"command\":7}")->status, 400);
  EXPECT_EQ(Send("ana", "POST", path, "{\"command\":\"show pools\"}")->status,
            400);
  EXPECT_EQ(Send("ana", "GET", "/api/v1/query?q=drain")->status, 400);
  EXPECT_EQ(Send("ana", "GET", "/api/v2/query")->status, 404);
}

TEST_F(operator_api_test, DryRunSaysWhatItWouldTouchAndTouchesNothing) {
  const int64_t before = state_.applied_offset;
  const auto table = Line("ana", "dry run drain upstream u1")->body;
  EXPECT_THAT(table, HasSubstr("accepted"));
  EXPECT_THAT(table, HasSubstr("keeps 0 upstreams"));
  EXPECT_THAT(table, HasSubstr("r1"));
  EXPECT_THAT(Line("boot", "dry run remove team choirs")->body,
              HasSubstr("choir-key"));
  EXPECT_EQ(state_.applied_offset, before);
}

TEST_F(operator_api_test, FollowersGetChangesTheyMaySee) {
  const auto all = Send("reader", "GET", "/api/v1/follow");
  const auto team = Send("choir-key", "GET", "/api/v1/follow");
  Command("ana", "drain upstream u1 because \"disk\"");
  EXPECT_THAT(all->body, HasSubstr("event: change"));
  EXPECT_THAT(all->body, HasSubstr("drain upstream u1"));
  EXPECT_THAT(team->body, Not(HasSubstr("drain")));
  api_.EndFollowers();
  EXPECT_TRUE(all->closed);
}

TEST_F(operator_api_test, HandoverExplainsTheWatch) {
  Command("ana", "drain upstream u1 because \"disk fails\"");
  Line("boot", "undrain upstream u1 against 3 because \"peak\"");
  config_publisher waiting;
  waiting.command.author = "ivo";
  waiting.command.name = "spare";
  waiting.command.reason = "watch";
  view_.pending = {waiting};
  const auto answer = Line("reader", "handover since 1h");
  const std::string text = ReadAnswer({absl::OkStatus(), 200, {}, answer->body},
                                      "handover", "", false)
                               .output;
  for (const char* part :
       {"pending\n", "create pool spare — asked by ivo", "contested\n",
        "undrain upstream u1 — asked by bootstrap against 3, because \"peak\"",
        "is at version 10", "draining\n", "upstream u1 of pool dec since",
        "because \"disk fails\"", "below strength\n",
        "pool dec (decode): 0 of 1 upstreams serve"}) {
    EXPECT_THAT(text, HasSubstr(part));
  }
}

TEST_F(operator_api_test, CommandLineShowsErrorsAtTheWord) {
  const std::string line = "drain pool p";
  const auto answer = Line("ana", line);
  const http_result result{absl::OkStatus(), answer->status, {}, answer->body};
  const ctl_answer shown = ReadAnswer(result, line, "x", false);
  EXPECT_EQ(shown.exit, ctl_exit::usage);
  EXPECT_THAT(shown.error, HasSubstr("drain pool p\n      ^\ncolumn 7"));
  http_result lost;
  lost.status = MakeError(error_kind::upstream_failed, "reset");
  EXPECT_EQ(ReadAnswer(lost, line, "x", false).exit, ctl_exit::pending);
  EXPECT_EQ(ReadAnswer(lost, "show pools", "x", false).exit,
            ctl_exit::no_access);
}

}  // namespace
}  // namespace anvilridge
