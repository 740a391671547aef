#include <QJsonArray>
#include <QJsonDocument>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "harness/fleet.h"

namespace anvilridge {
namespace {

using testing::HasSubstr;
using testing::Not;

constexpr absl::Duration kBound = absl::Seconds(10);
constexpr int kExitFailed = 1;
constexpr int kExitSettings = 2;

class daemon_process_test : public testing::Test {
 protected:
  std::string Settings(uint16_t caller_port) const {
    return absl::StrCat(
        "[daemon]\nname = e1\nfailure_domain = a\n[caller]\nlisten = "
        "127.0.0.1:",
        caller_port,
        "\n[platform]\nlog = 127.0.0.1:9\nvm_list = 127.0.0.1:9\n[peers]\n"
        "key_file = ",
        folder_.Write("peer.key", "secret"), "\n");
  }

  temp_folder folder_;
};

TEST_F(daemon_process_test, TakenPortIsOneClearLineAndExitCodeOne) {
  const standin other = StartService();
  child_process daemon(
      "anvilridged",
      {"--config", folder_.Write("daemon.ini", Settings(other.port))});
  EXPECT_EQ(daemon.WaitForExit(kBound), kExitFailed);
  EXPECT_THAT(daemon.Err(), HasSubstr(absl::StrCat("127.0.0.1:", other.port)));
}

TEST_F(daemon_process_test, CheckConfigNamesEveryFaultAndExitsWithTwo) {
  const std::string file =
      folder_.Write("daemon.ini", Settings(0) +
                                      "[limits]\nmax_body_bytes = many\n"
                                      "colour = red\n[weather]\n");
  child_process daemon("anvilridged", {"--check-config", "--config", file});
  EXPECT_EQ(daemon.WaitForExit(kBound), kExitSettings);
  for (const char* part : {"max_body_bytes", "many", "colour", "weather"}) {
    EXPECT_THAT(daemon.Err(), HasSubstr(part));
  }
  EXPECT_THAT(daemon.Err(), HasSubstr(file));
}

// Returns the log lines of `event`.
std::vector<QJsonObject> LogLines(const std::string& log,
                                  const QString& event) {
  std::vector<QJsonObject> found;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    const QJsonObject json =
        QJsonDocument::fromJson(QByteArray::fromStdString(line)).object();
    EXPECT_FALSE(json.isEmpty()) << line;
    if (json["event"] == event) found.push_back(json);
  }
  return found;
}

TEST(decision_lines_test, EachDecisionHasItsLineAndNoSecretsOrBodies) {
  fleet_options options;
  options.daemons = 1;
  options.services = 1;
  fleet fleet(options);
  const fleet_daemon& daemon = fleet.daemons[0];
  const test_answer completion =
      Post(daemon.caller, "/v1/completions",
           fleet::Completion("the brigade's secret season", 3, false),
           fleet.Caller());
  ASSERT_EQ(completion.status, 200) << completion.body;
  const test_answer posting = Post(daemon.caller, "/ledger/postings",
                                   {{"fee", "a-fee-to-hide"}}, fleet.Caller());
  ASSERT_EQ(posting.status, 201) << posting.body;
  const std::string log = daemon.process->Err();
  const std::vector<QJsonObject> placed = LogLines(log, "placement");
  ASSERT_EQ(placed.size(), 1U);
  EXPECT_TRUE(placed[0]["request_id"].toString().startsWith(
      QString::fromStdString(completion.Header("x-request-id"))));
  EXPECT_EQ(placed[0]["route"], "drafts");
  EXPECT_EQ(placed[0]["decode"], "decode-1");
  EXPECT_EQ(placed[0]["prefill"], "prefill-1");
  EXPECT_FALSE(placed[0]["why"].toString().isEmpty());
  EXPECT_FALSE(placed[0]["considered"].toArray().isEmpty());
  const std::vector<QJsonObject> routed = LogLines(log, "routing");
  ASSERT_EQ(routed.size(), 1U);
  EXPECT_EQ(routed[0]["request_id"].toString().toStdString(),
            posting.Header("x-request-id"));
  EXPECT_EQ(routed[0]["route"], "ledger");
  EXPECT_EQ(routed[0]["chosen"], "ledger-1");
  for (const char* hidden : {"secret season", "a-fee-to-hide", "choir-key",
                             kAdministratorKey, fleet.PeerKey().c_str()}) {
    EXPECT_THAT(log, Not(HasSubstr(hidden)));
  }
}

}  // namespace
}  // namespace anvilridge
