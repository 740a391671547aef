#include <signal.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <optional>

#include "absl/strings/str_cat.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "harness/child_process.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/operator_line.h"
#include "harness/temp_folder.h"

namespace anvilridge {
namespace {

using testing::AllOf;
using testing::HasSubstr;
using testing::Not;

constexpr absl::Duration kAnswerBound = absl::Seconds(15);
// The users' target for a change to be in force everywhere.
constexpr absl::Duration kInForceBound = absl::Seconds(9);

// Exit codes as docs/COMMANDS.md states them.
constexpr int kOk = 0;
constexpr int kRefused = 1;
constexpr int kUsage = 2;
constexpr int kContested = 3;
constexpr int kNoAccess = 5;

struct ctl_run {
  int exit = -1;
  std::string out;
  std::string err;
};

class anvilctl_test : public testing::Test {
 protected:
  std::vector<std::string> Arguments(size_t daemon,
                                     std::vector<std::string> more) const {
    std::vector<std::string> arguments = {
        "--server",
        absl::StrCat("127.0.0.1:", fleet_.daemons[daemon].operators),
        "--key-file", key_file_};
    arguments.insert(arguments.end(), more.begin(), more.end());
    return arguments;
  }

  static ctl_run Finish(child_process& process) {
    const std::optional<int> exit = process.WaitForExit(kAnswerBound);
    return {exit.value_or(-1), process.Out(), process.Err()};
  }

  ctl_run Ctl(size_t daemon, std::vector<std::string> more) const {
    child_process process("anvilctl", Arguments(daemon, std::move(more)));
    return Finish(process);
  }

  // Types `lines` at the prompt.
  ctl_run Prompt(size_t daemon, const std::string& lines) {
    std::string shell = absl::StrCat("exec '", ANVIL_BUILD_DIR, "/anvilctl'");
    for (const std::string& argument : Arguments(daemon, {})) {
      absl::StrAppend(&shell, " '", argument, "'");
    }
    absl::StrAppend(&shell, " < '", folder_.Write("typed", lines), "'");
    child_process process("/bin/sh", {"-c", shell});
    return Finish(process);
  }

  std::string VersionOf(absl::string_view team) const {
    return std::to_string(
        FirstRow(fleet_.daemons[0],
                 absl::StrCat("show teams where name=", team))["version"]
            .toInteger());
  }

  fleet fleet_;
  temp_folder folder_;
  std::string key_file_ = folder_.Write("administrator", kAdministratorKey);
};

TEST_F(anvilctl_test, RunsAFileUpToTheFirstLineThatFails) {
  const std::string file =
      folder_.Write("evening.txt",
                    "# Season opening\n\n"
                    "create team brigade weight=2 because \"new customer\"\n"
                    "create team brigade because \"again\"\n"
                    "create team never because \"after the failure\"\n");
  const ctl_run run = Ctl(0, {"--file", file});
  EXPECT_EQ(run.exit, kContested) << run.err;
  EXPECT_THAT(run.out, HasSubstr("accepted at "));
  EXPECT_THAT(run.err, HasSubstr("evening.txt:4: stopped"));
  const ctl_run shown = Ctl(0, {"show", "teams"});
  EXPECT_EQ(shown.exit, kOk);
  EXPECT_THAT(shown.out, AllOf(HasSubstr("brigade"), Not(HasSubstr("never"))));
}

TEST_F(anvilctl_test, ShowsAnswersAsJson) {
  const ctl_run run = Ctl(1, {"--json", "show teams where name=choir"});
  EXPECT_EQ(run.exit, kOk) << run.err;
  const QJsonObject answer =
      QJsonDocument::fromJson(QByteArray::fromStdString(run.out)).object();
  const QJsonArray rows = answer["rows"].toArray();
  ASSERT_EQ(rows.size(), 1) << run.out;
  EXPECT_EQ(rows[0].toObject()["name"].toString(), "choir");
}

TEST_F(anvilctl_test, ExitCodesTellWhatCameOfALine) {
  const std::string version = VersionOf("choir");
  const std::string change =
      absl::StrCat("change team choir weight=2 against ", version,
                   " because \"season opening\"");
  const std::string unknown_key = folder_.Write("unknown", "no-such-key");
  const struct {
    std::vector<std::string> arguments;
    int exit;
    std::string said;
  } cases[] = {
      {{change}, kOk, "accepted at "},
      {{change}, kContested, "team choir is at version"},
      {{"show team nobody"}, kRefused, "nobody"},
      {{"create upstream e1 pool=none address=127.0.0.1:1 domain=a because "
        "\"no such pool\""},
       kRefused,
       "none"},
      {{"drain pool drafts"}, kUsage, "      ^\ncolumn 7: expected upstream"},
      {{"--no-such-option"}, kUsage, "no-such-option"},
      {{"--file", folder_.File("missing")}, kUsage, "can't read"},
      {{"--key-file", unknown_key, "show teams"}, kNoAccess, "key"},
      {{"--server", "127.0.0.1:1", "show teams"}, kNoAccess, "no answer"},
  };
  for (const auto& one : cases) {
    SCOPED_TRACE(one.arguments.back());
    const ctl_run run = Ctl(0, one.arguments);
    EXPECT_EQ(run.exit, one.exit) << run.out << run.err;
    EXPECT_THAT(run.out + run.err, HasSubstr(one.said));
  }
}

TEST_F(anvilctl_test, HandoverExplainsAContestedPairToTheNext) {
  const std::string version = VersionOf("choir");
  const auto change = [&](const std::string& weight,
                          const std::string& reason) {
    return absl::StrCat("change team choir weight=", weight, " against ",
                        version, " because \"", reason, "\"");
  };
  EXPECT_EQ(Ctl(0, {"--author", "ana", change("2", "season opening")}).exit,
            kOk);
  EXPECT_EQ(Ctl(1, {"--author", "ivo", change("7", "complaint")}).exit,
            kContested);
  ctl_run handover;
  EXPECT_TRUE(Eventually(kInForceBound, [&] {
    handover = Ctl(0, {"handover", "since", "midnight"});
    return handover.out.find("complaint") != std::string::npos;
  }));
  EXPECT_EQ(handover.exit, kOk);
  EXPECT_THAT(
      handover.out,
      AllOf(HasSubstr("change team choir: weight 2 — asked by bootstrap.ana"),
            HasSubstr("because \"season opening\": accepted"),
            HasSubstr("change team choir: weight 7 — asked by bootstrap.ivo"),
            HasSubstr("because \"complaint\": contested")));
}

TEST_F(anvilctl_test, PromptTakesLinesUntilQuit) {
  const ctl_run run =
      Prompt(0,
             "show teams\n\ncreate team brigade because \"typed\"\nquit\n"
             "create team never because \"after the end\"\n");
  EXPECT_EQ(run.exit, kOk) << run.err;
  EXPECT_THAT(run.out, AllOf(HasSubstr("choir"), HasSubstr("accepted at ")));
  EXPECT_THAT(Ctl(0, {"show teams"}).out,
              AllOf(HasSubstr("brigade"), Not(HasSubstr("never"))));
}

TEST_F(anvilctl_test, FollowShowsChangesOfAnotherDaemonUntilTheStop) {
  child_process follow("anvilctl", Arguments(1, {"follow"}));
  int given = 0;
  // Commands go on until one falls into the time that is followed.
  EXPECT_TRUE(Eventually(
      kInForceBound,
      [&] {
        Ctl(0,
            {absl::StrCat("create team t", ++given, " because \"opening\"")});
        return follow.Out().find("because \"opening\"") != std::string::npos;
      }))
      << follow.Out() << follow.Err();
  fleet_.daemons[1].process->Signal(SIGTERM);
  EXPECT_EQ(Finish(follow).exit, kOk) << follow.Err();
}

}  // namespace
}  // namespace anvilridge
