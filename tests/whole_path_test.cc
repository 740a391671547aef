#include <QJsonArray>

#include "common/token_text.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);
constexpr char kPrompt[] = "Summarise the season of the fire brigade.";

class whole_path_test : public testing::Test {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.daemons = 4;
    options.prefill_engines = 2;
    options.decode_engines = 2;
    options.services = 2;
    return options;
  }

  fleet fleet_{Options()};
};

TEST_F(whole_path_test, CompletionStreamsThroughEveryDaemonAndHoldsNothing) {
  for (const fleet_daemon& daemon : fleet_.daemons) {
    const auto events = CollectEvents(daemon.caller, "/v1/completions",
                                      fleet::Completion(kPrompt, 8), 100,
                                      kBound, fleet_.Caller());
    ASSERT_EQ(events.size(), 9U) << daemon.process->Err();
    EXPECT_EQ(events.back().data, "[DONE]");
    EXPECT_EQ(StreamedText(events), AnswerText("model", kPrompt, 8));
  }
  EXPECT_TRUE(
      Eventually(kBound, [&] { return fleet_.HeldRequests().empty(); }));
}

TEST_F(whole_path_test, PostingReachesTheServiceOnce) {
  const test_answer answer = Post(fleet_.daemons[1].caller, "/ledger/postings",
                                  {{"fee", 12}}, fleet_.Caller());
  EXPECT_EQ(answer.status, 201) << answer.body;
  int executed = 0;
  for (const standin& service : fleet_.services) {
    executed += Get(service.port, "/standin/counts").Json()["total"].toInt();
  }
  EXPECT_EQ(executed, 1);
}

TEST_F(whole_path_test, UnstreamedCompletionComesAsOneDocument) {
  const test_answer answer =
      Post(fleet_.daemons[0].caller, "/v1/completions",
           fleet::Completion(kPrompt, 3, /*stream=*/false), fleet_.Caller());
  ASSERT_EQ(answer.status, 200) << answer.body;
  const QJsonObject choice =
      answer.Json()["choices"].toArray().at(0).toObject();
  EXPECT_EQ(choice["text"].toString().toStdString(),
            AnswerText("model", kPrompt, 3));
}

}  // namespace
}  // namespace anvilridge
