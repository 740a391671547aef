#include "harness/standins.h"

#include <signal.h>

#include <QJsonArray>

#include "common/token_text.h"
#include "gtest/gtest.h"
#include "harness/daemon_ini.h"
#include "harness/eventually.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);
constexpr char kOwner[] = "entry:1";
constexpr char kPrompt[] = "Summarise the season of the choir.";
constexpr int kMaxTokens = 12;
/// So many that the answer does not end while a test looks at it.
constexpr int kManyTokens = 1000;

struct engine_pair {
  standin prefill = StartEngine(
      {"p", "prefill", "model", "domain", {"--kv-eviction-ms=5000"}});
  standin decode = StartEngine({"d", "decode", "model", "domain", {}});
};

QJsonObject Named(const char* id, QJsonObject body = {}) {
  body["request_id"] = id;
  body["owner"] = kOwner;
  return body;
}

test_answer Prefill(const standin& engine, const char* id,
                    int max_tokens = kMaxTokens) {
  return Post(engine.port, "/v1/prefill",
              Named(id, {{"model", "model"},
                         {"prompt", kPrompt},
                         {"max_tokens", max_tokens}}));
}

QJsonObject ImportBody(const standin& source, const char* id,
                       const QJsonObject& prefilled,
                       int max_tokens = kMaxTokens) {
  return Named(id, {{"source", QString::fromStdString(source.Address())},
                    {"kv_handle", prefilled["kv_handle"]},
                    {"pieces", prefilled["pieces"]},
                    {"prompt", kPrompt},
                    {"prompt_tokens", prefilled["prompt_tokens"]},
                    {"max_tokens", max_tokens}});
}

test_answer PrefillAndImport(const engine_pair& engines, const char* id,
                             int max_tokens = kMaxTokens) {
  const test_answer prefilled = Prefill(engines.prefill, id, max_tokens);
  EXPECT_EQ(prefilled.status, 200) << prefilled.body;
  return Post(engines.decode.port, "/v1/import",
              ImportBody(engines.prefill, id, prefilled.Json(), max_tokens));
}

std::vector<test_event> Decode(const standin& engine, const char* id, int from,
                               size_t max_events) {
  return CollectEvents(engine.port, "/v1/decode", Named(id, {{"from", from}}),
                       max_events, kBound);
}

std::string TextOf(const std::vector<test_event>& events) {
  std::string text;
  for (const test_event& event : events) {
    text += event.Json().value("token").toString().toStdString();
  }
  return text;
}

bool HoldsNothing(const standin& engine) {
  return EngineRequests(engine.port).empty();
}

TEST(standin_engine_test, ServesARequestFromPrefillToDone) {
  const engine_pair engines;
  const test_answer imported = PrefillAndImport(engines, "r1");
  ASSERT_EQ(imported.status, 200) << imported.body;
  EXPECT_EQ(imported.Json().value("request_id").toString(), "r1");
  EXPECT_TRUE(HoldsNothing(engines.prefill));
  EXPECT_EQ(EngineRequests(engines.decode.port).at(0)["phase"], "ready");

  const auto events = Decode(engines.decode, "r1", 0, kMaxTokens + 1);
  ASSERT_EQ(events.size(), kMaxTokens + 1U);
  EXPECT_EQ(events.at(3).id, "3");
  EXPECT_EQ(TextOf(events), AnswerText("model", kPrompt, kMaxTokens));
  EXPECT_EQ(events.back().Json().value("tokens").toInt(), kMaxTokens);
  EXPECT_TRUE(HoldsNothing(engines.decode));
}

TEST(standin_engine_test, AResumeAfterACutGivesTheSameBytes) {
  const engine_pair engines;
  ASSERT_EQ(PrefillAndImport(engines, "r1").status, 200);
  auto events = Decode(engines.decode, "r1", 0, 4);
  ASSERT_EQ(events.size(), 4U);
  EXPECT_TRUE(Eventually(kBound, [&] {
    const auto rows = EngineRequests(engines.decode.port);
    return rows.empty() || !rows.at(0)["attached"].toBool();
  }));
  const auto rest = Decode(engines.decode, "r1", 4, kMaxTokens);
  events.insert(events.end(), rest.begin(), rest.end());
  EXPECT_EQ(TextOf(events), AnswerText("model", kPrompt, kMaxTokens));
  // The output is kept after its end.
  const auto again = Decode(engines.decode, "r1", 0, kMaxTokens + 1);
  EXPECT_EQ(TextOf(again), AnswerText("model", kPrompt, kMaxTokens));
}

TEST(standin_engine_test, ALaterStreamFencesTheEarlierOne) {
  const engine_pair engines;
  ASSERT_EQ(PrefillAndImport(engines, "r1", kManyTokens).status, 200);
  test_request request{"POST", engines.decode.port, "/v1/decode", {}, "",
                       kBound};
  request.body = BodyText(Named("r1", {{"from", 0}}));
  event_stream earlier(request);
  ASSERT_TRUE(earlier.WaitForEvents(2, kBound));
  const std::string later = TextOf(Decode(engines.decode, "r1", 0, 6));
  EXPECT_EQ(later,
            AnswerText("model", kPrompt, kManyTokens).substr(0, later.size()));
  EXPECT_FALSE(later.empty());
  ASSERT_TRUE(earlier.WaitForEnd(kBound));
  EXPECT_TRUE(earlier.Events().back().Json().value("fenced").toBool());
}

TEST(standin_engine_test, EvictsAResultThatIsFetchedTooLate) {
  const standin prefill =
      StartEngine({"p", "prefill", "model", "domain", {"--kv-eviction-ms=20"}});
  const standin decode = StartEngine({"d", "decode", "model", "domain", {}});
  const QJsonObject prefilled = Prefill(prefill, "r1").Json();
  EXPECT_LE(prefilled["expires_in_ms"].toInt(), 20);
  ASSERT_TRUE(Eventually(kBound, [&] { return HoldsNothing(prefill); }));
  const test_answer late =
      Post(decode.port, "/v1/import", ImportBody(prefill, "r1", prefilled));
  EXPECT_EQ(late.status, 404);
  EXPECT_EQ(late.Json().value("error").toString(), "evicted");
  EXPECT_TRUE(HoldsNothing(decode));
}

TEST(standin_engine_test, ACancelFreesEveryPhase) {
  const engine_pair engines;
  SetFault(engines.prefill.port, "stall_prefill", {{"request_id", "stalled"}});
  test_request call{"POST", engines.prefill.port, "/v1/prefill", {}, "",
                    kBound};
  call.body = BodyText(Named("stalled", {{"model", "model"}, {"prompt", "x"}}));
  event_stream stalled(call);
  ASSERT_TRUE(
      Eventually(kBound, [&] { return !HoldsNothing(engines.prefill); }));
  EXPECT_TRUE(Post(engines.prefill.port, "/v1/cancel", Named("stalled"))
                  .Json()
                  .value("cancelled")
                  .toBool());
  ASSERT_TRUE(stalled.WaitForEnd(kBound));
  EXPECT_EQ(stalled.Answer().status, 409);
  EXPECT_TRUE(HoldsNothing(engines.prefill));

  ASSERT_EQ(PrefillAndImport(engines, "r1", kManyTokens).status, 200);
  ASSERT_EQ(Decode(engines.decode, "r1", 0, 2).size(), 2U);
  EXPECT_TRUE(Post(engines.decode.port, "/v1/cancel", Named("r1"))
                  .Json()
                  .value("cancelled")
                  .toBool());
  EXPECT_TRUE(HoldsNothing(engines.decode));
}

TEST(standin_engine_test, AStalledTransferEndsInTimeAndFreesItsPlace) {
  const standin prefill = StartEngine(
      {"p", "prefill", "model", "domain", {"--kv-eviction-ms=3000"}});
  const standin decode = StartEngine(
      {"d", "decode", "model", "domain", {"--import-timeout-ms=100"}});
  SetFault(prefill.port, "stall_transfer", {{"count", 1}});
  const QJsonObject prefilled = Prefill(prefill, "r1").Json();
  const test_answer imported =
      Post(decode.port, "/v1/import", ImportBody(prefill, "r1", prefilled));
  EXPECT_EQ(imported.status, 504);
  EXPECT_EQ(imported.Json().value("error").toString(), "stalled");
  EXPECT_TRUE(HoldsNothing(decode));
  EXPECT_TRUE(Eventually(kBound, [&] { return HoldsNothing(prefill); }));
}

TEST(standin_engine_test, FaultsCutCrossAndRefuse) {
  const engine_pair engines;
  const uint16_t port = engines.decode.port;
  SetFault(port, "refuse_import", {{"count", 1}, {"error", "no_pieces"}});
  EXPECT_EQ(PrefillAndImport(engines, "refused").status, 503);

  ASSERT_EQ(PrefillAndImport(engines, "r1").status, 200);
  SetFault(port, "drop_stream_after", {{"count", 1}, {"tokens", 3}});
  EXPECT_EQ(Decode(engines.decode, "r1", 0, kMaxTokens).size(), 3U);
  SetFault(port, "wrong_id", {{"count", 1}, {"path", "/v1/decode"}});
  const auto crossed = Decode(engines.decode, "r1", 3, 2);
  ASSERT_EQ(crossed.size(), 2U);
  EXPECT_NE(crossed.at(0).Json().value("request_id").toString(), "r1");

  SetFault(port, "close_after_read", {{"path", "/v1/cancel"}, {"count", 1}});
  EXPECT_EQ(Post(port, "/v1/cancel", Named("r1")).status, 0);
  EXPECT_EQ(Get(port, "/standin/calls").Json().value("POST /v1/cancel").toInt(),
            1);
  EXPECT_EQ(Post(port, "/standin/faults", {{"fault", "no_such"}}).status, 400);
}

TEST(standin_engine_test, CarriesHundredsOfStreamsAtOnce) {
  constexpr int kStreams = 200;
  const standin prefill = StartEngine({"p", "prefill", "model", "domain", {}});
  const standin decode = StartEngine(
      {"d", "decode", "model", "domain", {"--slots=200", "--pieces=20000"}});
  std::vector<std::unique_ptr<event_stream>> streams;
  for (int i = 0; i < kStreams; ++i) {
    const std::string id = "r" + std::to_string(i);
    const QJsonObject prefilled = Prefill(prefill, id.c_str()).Json();
    ASSERT_EQ(Post(decode.port, "/v1/import",
                   ImportBody(prefill, id.c_str(), prefilled))
                  .status,
              200);
  }
  for (int i = 0; i < kStreams; ++i) {
    test_request call{"POST", decode.port, "/v1/decode",
                      {},     "",          absl::Seconds(20)};
    call.body = BodyText(Named(("r" + std::to_string(i)).c_str()));
    streams.push_back(std::make_unique<event_stream>(call));
  }
  for (const auto& stream : streams) {
    ASSERT_TRUE(stream->WaitForEnd(absl::Seconds(20)));
    EXPECT_EQ(TextOf(stream->Events()),
              AnswerText("model", kPrompt, kMaxTokens));
  }
}

QJsonObject Records(std::initializer_list<const char*> ids) {
  QJsonArray records;
  for (const char* id : ids) {
    records.append(QJsonObject{{"id", id}, {"data", QJsonObject{{"n", 1}}}});
  }
  return {{"records", records}};
}

TEST(standin_platform_test, ReadsBackWhatWasAppendedAndWaitsForMore) {
  const standin platform = StartPlatform();
  const test_answer appended =
      Post(platform.port, "/log/config", Records({"a", "b"}));
  EXPECT_EQ(appended.Json().value("offsets").toArray(), (QJsonArray{1, 2}));
  EXPECT_EQ(appended.Json().value("next").toInt(), 3);
  const QJsonObject page =
      Get(platform.port, "/log/config?from=2&limit=5").Json();
  EXPECT_EQ(page["records"][0]["id"].toString(), "b");
  EXPECT_EQ(page["next"].toInt(), 3);

  test_request waiting{
      "GET", platform.port, "/log/config?from=3&wait_ms=5000", {}, "", kBound};
  event_stream read(waiting);
  ASSERT_TRUE(Eventually(kBound, [&] {
    return Get(platform.port, "/standin/totals").Json()["waiting_reads"] == 1;
  }));
  Post(platform.port, "/log/config", Records({"c"}));
  ASSERT_TRUE(read.WaitForEnd(kBound));
  EXPECT_EQ(read.Answer().Json()["records"][0]["offset"].toInt(), 3);
}

TEST(standin_platform_test, ForgetsOldRecordsAndSaysSinceWhenItIsComplete) {
  const standin platform = StartPlatform({"--max-records=2"});
  EXPECT_EQ(
      Get(platform.port, "/log/s").Json()["complete_since_ms"].toInteger(), 0);
  Post(platform.port, "/log/s", Records({"a", "b", "c"}));
  const QJsonObject page = Get(platform.port, "/log/s?from=1").Json();
  EXPECT_EQ(page["oldest"].toInt(), 2);
  EXPECT_EQ(page["records"].toArray().size(), 2);
  EXPECT_GT(page["complete_since_ms"].toInteger(),
            page["records"][0]["time_ms"].toInteger() - 1);
}

TEST(standin_platform_test, LosesAnswersAfterTheEffectAndHasOutages) {
  const standin platform = StartPlatform();
  const uint16_t port = platform.port;
  SetFault(port, "lose_answer_after_effect",
           {{"path", "/log/s"}, {"count", 1}});
  EXPECT_EQ(Post(port, "/log/s", Records({"a"})).status, 0);
  EXPECT_EQ(Get(port, "/log/s?from=1").Json()["records"][0]["id"], "a");

  SetFault(port, "outage", {{"what", "append"}, {"stream", "s"}});
  EXPECT_EQ(Post(port, "/log/s", Records({"b"})).status, 503);
  EXPECT_EQ(Post(port, "/log/other", Records({"b"})).status, 200);
  EXPECT_EQ(Get(port, "/log/s?from=1").status, 200);
  ClearFaults(port);

  SetFault(port, "half_page", {{"stream", "s"}, {"count", 1}});
  const test_answer half = Get(port, "/log/s?from=1");
  EXPECT_EQ(half.status, 200);
  EXPECT_TRUE(half.Json().isEmpty());
}

TEST(standin_platform_test, TheVmListLagsAndCanFreeze) {
  const standin platform = StartPlatform({"--vms-lag-ms=50"});
  const uint16_t port = platform.port;
  const auto shown = [port] {
    return Get(port, "/vms").Json()["vms"].toArray().size();
  };
  const QJsonObject one = {{"vms", QJsonArray{QJsonObject{{"name", "e1"}}}}};
  EXPECT_EQ(Put(port, "/standin/vms", one).Json()["shown_in_ms"].toInt(), 50);
  EXPECT_TRUE(Eventually(kBound, [&] { return shown() == 1; }));
  SetFault(port, "freeze_vms");
  Put(port, "/standin/vms", {{"vms", QJsonArray{}}, {"immediate", true}});
  EXPECT_EQ(shown(), 1);
  ClearFaults(port);
  EXPECT_EQ(shown(), 0);
}

TEST(standin_service_test, CountsExecutionsWhateverBecomesOfTheAnswer) {
  struct fault_case {
    const char* fault;
    bool answered;
    int executions;
    absl::Duration wait = kBound;
  };
  const std::vector<fault_case> cases = {
      {"close_after_read", false, 0},
      {"error_500", true, 0},
      {"close_after_run", false, 1},
      {"lose_answer", false, 1, absl::Milliseconds(200)},
      {"delay", true, 1}};
  const standin service = StartService();
  for (const fault_case& one : cases) {
    SetFault(service.port, one.fault, {{"count", 1}, {"ms", 10}});
    test_request posting{"POST", service.port, "/ledger/postings",
                         {},     "{}",         absl::Milliseconds(300)};
    posting.headers = {{"Idempotency-Key", one.fault}};
    EXPECT_EQ(Send(posting).status != 0, one.answered) << one.fault;
    const QJsonObject counts = Get(service.port, "/standin/counts").Json();
    EXPECT_EQ(counts["keys"][one.fault].toInt(), one.executions) << one.fault;
  }
  const test_answer receipt = Post(service.port, "/ledger/postings", {},
                                   {{"Idempotency-Key", "delay"}});
  EXPECT_EQ(receipt.status, 201);
  EXPECT_EQ(receipt.Json()["executions"].toInt(), 2);
  EXPECT_EQ(Get(service.port, "/standin/counts").Json()["total"].toInt(), 4);
  EXPECT_EQ(Get(service.port, "/balance/7").body,
            Get(service.port, "/balance/7").body);
}

TEST(standin_service_test, RefusesAnOlderFencingNumberOnlyWhenItChecks) {
  for (const bool checks : {false, true}) {
    const standin service = StartService(
        checks ? standin_options{"--checks-fencing"} : standin_options{});
    const auto post = [&](const char* fence) {
      return Post(service.port, "/orders", {},
                  {{"Idempotency-Key", "k"}, {"X-Fencing-Number", fence}})
          .status;
    };
    EXPECT_EQ(post("7"), 201);
    EXPECT_EQ(post("6"), checks ? 412 : 201);
  }
}

TEST(test_harness_test, FreezesThawsAndEndsAProcess) {
  const standin service = StartService();
  child_process& process = *service.process;
  process.Freeze();
  test_request read{"GET", service.port, "/x", {}, "", absl::Milliseconds(100)};
  EXPECT_EQ(Send(read).status, 0);
  process.Thaw();
  EXPECT_EQ(Get(service.port, "/x").status, 200);
  process.Signal(SIGTERM);
  EXPECT_EQ(process.WaitForExit(kBound), 128 + SIGTERM);
  child_process unknown("standin_service", {"--no-such-option"});
  EXPECT_EQ(unknown.WaitForExit(kBound), 2);
}

TEST(test_harness_test, WritesSettings) {
  daemon_ini ini;
  ini.Set("daemon", "name", "a");
  ini.Set("daemon", "name", "b");
  ini.Set("log", "level", "info");
  EXPECT_EQ(IniText(ini), "[daemon]\nname=b\n\n[log]\nlevel=info\n\n");
}

}  // namespace
}  // namespace anvilridge
