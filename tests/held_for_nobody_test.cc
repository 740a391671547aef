#include <QJsonArray>
#include <memory>
#include <optional>
#include <set>

#include "common/token_text.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "membership/home_map.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kBound = absl::Seconds(10);

// Time until an engine holds nothing for a daemon that is gone, by the
// harness's settings: a probe that fails (3 intervals of 0.2 s), suspicion
// (4 intervals), the lease, the time kept for a resume, one list of the
// engine and the cancel with one repetition. Two at once are found together;
// the rest is room for a loaded machine.
constexpr absl::Duration kProbeInterval = absl::Milliseconds(200);
const absl::Duration kDetection = 7 * kProbeInterval;
constexpr absl::Duration kLease = absl::Seconds(1);
constexpr absl::Duration kResumeGrace = absl::Seconds(3);
constexpr absl::Duration kListInterval = absl::Milliseconds(500);
constexpr absl::Duration kCancelTime = absl::Milliseconds(500);
constexpr absl::Duration kLoadAllowance = absl::Seconds(2);
const absl::Duration kGoneBound = kDetection + kLease + kResumeGrace +
                                  kListInterval + kCancelTime + kLoadAllowance;
// A caller that leaves: kept for a resume if it has read anything.
const absl::Duration kLeftBound = kResumeGrace + kCancelTime + kLoadAllowance;
// A request that its living owner has forgotten: asked about once it is 3 s
// old, with two lists in a row.
const absl::Duration kForgottenBound =
    absl::Seconds(3) + 2 * kListInterval + kCancelTime + kLoadAllowance;

constexpr char kPrompt[] = "Summarise the season of the fire brigade.";
constexpr char kLivePrompt[] = "Explain the discrepancy in the choir's dues.";
// Lasts longer than any bound above, at 20 ms a token.
constexpr int kLiveTokens = 700;
constexpr int kVictimTokens = 2000;

enum class stage { place, prefill, transfer, decode };
enum class loss {
  caller_leaves,
  caller_leaves_cancel_lost,
  entry_killed,
  entry_frozen,
  entry_and_home_killed,
  cancel_lost_home_killed,
  cancel_lost_entry_and_home_killed
};

struct orphan_case {
  const char* name;
  stage at;
  loss what;
};

class orphans_test : public testing::TestWithParam<orphan_case> {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.daemons = 4;
    // Nothing is freed because the engine itself gives a transfer up.
    options.decode_options = {"--import-timeout-ms=60000"};
    return options;
  }

  // The home of the decode engine, and two daemons that are not.
  size_t Home() const {
    std::vector<std::string> names;
    for (const fleet_daemon& daemon : fleet_.daemons) {
      names.push_back(daemon.name);
    }
    const absl::string_view home = HomeOf("decode-1", names);
    size_t index = 0;
    while (names[index] != home) ++index;
    return index;
  }
  size_t Entry() const { return (Home() + 1) % fleet_.daemons.size(); }
  size_t Other() const { return (Home() + 2) % fleet_.daemons.size(); }

  std::unique_ptr<event_stream> Open(size_t daemon, const char* prompt,
                                     int tokens) {
    test_request request;
    request.method = "POST";
    request.port = fleet_.daemons[daemon].caller;
    request.target = "/v1/completions";
    request.headers = fleet_.Caller();
    request.body = BodyText(fleet::Completion(prompt, tokens));
    request.timeout = absl::Seconds(60);
    return std::make_unique<event_stream>(request);
  }

  std::set<std::string> HeldIds() const {
    std::set<std::string> ids;
    for (const QJsonObject& row : fleet_.HeldRequests()) {
      ids.insert(row["request_id"].toString().toStdString());
    }
    return ids;
  }

  // Whether an engine shows a request other than the live one, in `phase` if
  // one is named.
  bool VictimHeld(const char* phase = nullptr) const {
    for (const QJsonObject& row : fleet_.HeldRequests()) {
      const std::string id = row["request_id"].toString().toStdString();
      if (live_ids_.contains(id)) continue;
      if (phase == nullptr || row["phase"].toString() == phase) return true;
    }
    return false;
  }

  void StartLive() {
    live_ = Open(Other(), kLivePrompt, kLiveTokens);
    ASSERT_TRUE(live_->WaitForEvents(1, kBound));
    live_ids_ = HeldIds();
    ASSERT_EQ(live_ids_.size(), 1U);
  }

  void ExpectLiveWhole() {
    ASSERT_TRUE(live_->WaitForEnd(absl::Seconds(40)));
    EXPECT_EQ(StreamedText(live_->Events()),
              AnswerText("model", kLivePrompt, kLiveTokens));
    EXPECT_EQ(live_->Events().back().data, "[DONE]");
  }

  // Has the decode engine promise no second place.
  void LimitPlaces() {
    config_command change = Command(command_verb::change, object_kind::upstream,
                                    "decode-1", {{"slots", "1"}});
    const QJsonArray records =
        Get(fleet_.platform.port, "/log/config?from=1&limit=1000")
            .Json()["records"]
            .toArray();
    for (const QJsonValue record : records) {
      if (record["data"]["name"].toString() == "decode-1") {
        change.base_version = record["offset"].toInteger();
      }
    }
    const int64_t offset = fleet_.Append(change);
    ASSERT_GT(offset, change.base_version);
  }

  // Brings a request to the stage of this case.
  void StartVictim() {
    switch (GetParam().at) {
      case stage::place:
        LimitPlaces();
        // Until the limit is in force everywhere, a request gets a place.
        absl::SleepFor(absl::Seconds(1));
        victim_ = Open(Entry(), kPrompt, kVictimTokens);
        EXPECT_FALSE(victim_->WaitForEvents(1, absl::Milliseconds(300)));
        return;
      case stage::prefill:
        SetFault(fleet_.prefill[0].port, "stall_prefill", {{"count", 1}});
        victim_ = Open(Entry(), kPrompt, kVictimTokens);
        ASSERT_TRUE(Eventually(kBound, [&] { return VictimHeld("prefill"); }));
        return;
      case stage::transfer:
        SetFault(fleet_.prefill[0].port, "stall_transfer", {{"count", 1}});
        victim_ = Open(Entry(), kPrompt, kVictimTokens);
        ASSERT_TRUE(Eventually(kBound, [&] { return VictimHeld("transfer"); }));
        return;
      case stage::decode:
        victim_ = Open(Entry(), kPrompt, kVictimTokens);
        ASSERT_TRUE(victim_->WaitForEvents(3, kBound));
        return;
    }
  }

  // Has each engine lose the effect of its next two cancels.
  void LoseCancels() {
    for (const standin* engine : {&fleet_.prefill[0], &fleet_.decode[0]}) {
      SetFault(engine->port, "lose_cancel", {{"count", 2}});
    }
  }

  void KillHome() { fleet_.daemons[Home()].process->Kill(); }

  absl::Duration Lose() {
    child_process& entry = *fleet_.daemons[Entry()].process;
    switch (GetParam().what) {
      case loss::caller_leaves_cancel_lost:
        LoseCancels();
        victim_->Cut();
        return kLeftBound;
      case loss::cancel_lost_home_killed:
        LoseCancels();
        victim_->Cut();
        KillHome();
        return kLeftBound;
      case loss::cancel_lost_entry_and_home_killed:
        LoseCancels();
        victim_->Cut();
        entry.Kill();
        KillHome();
        return kGoneBound + 2 * kListInterval;
      case loss::caller_leaves:
        victim_->Cut();
        return kLeftBound;
      case loss::entry_killed:
        entry.Kill();
        return kGoneBound;
      case loss::entry_frozen:
        entry.Freeze();
        return kGoneBound;
      case loss::entry_and_home_killed:
        entry.Kill();
        KillHome();
        return kGoneBound;
    }
    return kGoneBound;
  }

  fleet fleet_{Options()};
  std::unique_ptr<event_stream> live_;
  std::unique_ptr<event_stream> victim_;
  std::set<std::string> live_ids_;
};

TEST_P(orphans_test, NothingStaysHeldAndNobodyElseIsCancelled) {
  StartLive();
  if (HasFatalFailure()) return;
  StartVictim();
  if (HasFatalFailure()) return;
  const absl::Duration bound = Lose();
  EXPECT_TRUE(Eventually(bound, [&] { return !VictimHeld(); }));
  if (GetParam().what == loss::entry_frozen) {
    // Thawed, it may begin anew for its caller, but holds nothing without one.
    fleet_.daemons[Entry()].process->Thaw();
    victim_->Cut();
    EXPECT_TRUE(Eventually(kGoneBound, [&] { return !VictimHeld(); }));
  }
  ExpectLiveWhole();
  EXPECT_TRUE(Eventually(kGoneBound, [&] { return HeldIds().empty(); }));
  const auto fresh = Open(Other(), kPrompt, 2);
  ASSERT_TRUE(fresh->WaitForEnd(kBound));
  EXPECT_EQ(StreamedText(fresh->Events()), AnswerText("model", kPrompt, 2));
}

INSTANTIATE_TEST_SUITE_P(
    cases, orphans_test,
    testing::Values(
        orphan_case{"caller_leaves_in_queue", stage::place,
                    loss::caller_leaves},
        orphan_case{"caller_leaves_in_prefill", stage::prefill,
                    loss::caller_leaves},
        orphan_case{"caller_leaves_in_transfer", stage::transfer,
                    loss::caller_leaves},
        orphan_case{"caller_leaves_in_decode", stage::decode,
                    loss::caller_leaves},
        orphan_case{"cancel_lost_in_prefill", stage::prefill,
                    loss::caller_leaves_cancel_lost},
        orphan_case{"cancel_lost_in_decode", stage::decode,
                    loss::caller_leaves_cancel_lost},
        orphan_case{"cancel_lost_home_killed_in_prefill", stage::prefill,
                    loss::cancel_lost_home_killed},
        orphan_case{"cancel_lost_home_killed_in_transfer", stage::transfer,
                    loss::cancel_lost_home_killed},
        orphan_case{"cancel_lost_home_killed_in_decode", stage::decode,
                    loss::cancel_lost_home_killed},
        orphan_case{"cancel_lost_entry_and_home_killed_in_prefill",
                    stage::prefill, loss::cancel_lost_entry_and_home_killed},
        orphan_case{"cancel_lost_entry_and_home_killed_in_decode",
                    stage::decode, loss::cancel_lost_entry_and_home_killed},
        orphan_case{"entry_killed_in_queue", stage::place, loss::entry_killed},
        orphan_case{"entry_killed_in_prefill", stage::prefill,
                    loss::entry_killed},
        orphan_case{"entry_killed_in_transfer", stage::transfer,
                    loss::entry_killed},
        orphan_case{"entry_killed_in_decode", stage::decode,
                    loss::entry_killed},
        orphan_case{"entry_frozen_in_prefill", stage::prefill,
                    loss::entry_frozen},
        orphan_case{"entry_frozen_in_transfer", stage::transfer,
                    loss::entry_frozen},
        orphan_case{"entry_frozen_in_decode", stage::decode,
                    loss::entry_frozen},
        orphan_case{"entry_and_home_killed_in_prefill", stage::prefill,
                    loss::entry_and_home_killed},
        orphan_case{"entry_and_home_killed_in_decode", stage::decode,
                    loss::entry_and_home_killed}),
    [](const auto& tested) { return tested.param.name; });

// A request at the engines in the name of a daemon that lives and knows
// nothing of it, as after a lost answer to an adoption.
TEST(forgotten_request_test, IsCancelledAndItsOwnersLiveRequestIsNot) {
  fleet_options options;
  options.daemons = 3;
  fleet small(options);
  test_request request;
  request.method = "POST";
  request.port = small.daemons[0].caller;
  request.target = "/v1/completions";
  request.headers = small.Caller();
  request.body = BodyText(fleet::Completion(kLivePrompt, kLiveTokens));
  request.timeout = absl::Seconds(60);
  event_stream live(request);
  ASSERT_TRUE(live.WaitForEvents(1, kBound));
  const std::vector<QJsonObject> rows = EngineRequests(small.decode[0].port);
  ASSERT_EQ(rows.size(), 1U);
  QJsonObject forgotten{{"request_id", "forgotten.1"},
                        {"owner", rows[0]["owner"]},
                        {"model", "model"},
                        {"prompt", kPrompt},
                        {"max_tokens", kVictimTokens}};
  const test_answer prefilled =
      Post(small.prefill[0].port, "/v1/prefill", forgotten);
  ASSERT_EQ(prefilled.status, 200) << prefilled.body;
  for (const char* key : {"kv_handle", "pieces", "prompt_tokens"}) {
    forgotten[key] = prefilled.Json()[key];
  }
  forgotten["source"] = QString::fromStdString(small.prefill[0].Address());
  ASSERT_EQ(Post(small.decode[0].port, "/v1/import", forgotten).status, 200);
  ASSERT_EQ(EngineRequests(small.decode[0].port).size(), 2U);
  EXPECT_TRUE(Eventually(kForgottenBound, [&] {
    return EngineRequests(small.decode[0].port).size() == 1;
  }));
  ASSERT_TRUE(live.WaitForEnd(absl::Seconds(40)));
  EXPECT_EQ(StreamedText(live.Events()),
            AnswerText("model", kLivePrompt, kLiveTokens));
}

}  // namespace
}  // namespace anvilridge
