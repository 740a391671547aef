// A daemon that follows the reports of others keeps to an old configuration
// after the store has come back from a copy.

#include <algorithm>
#include <iostream>
#include <map>
#include <string>

#include "../drill/scene.h"

namespace review {
namespace {

constexpr int64_t kSettleMs = 5000;
constexpr int kStormVersions = 6;
constexpr int64_t kStormGapMs = 330;
constexpr int64_t kAwayMs = 3000;
constexpr int64_t kStableMs = 5000;
constexpr int64_t kConfigApplyMs = 2000;
constexpr int64_t kServesMs = 8000;
constexpr int64_t kPostingIntervalMs = 50;

int Run(const std::string& folder) {
  LimitRunTime();
  scene run(folder);
  if (!run.Start()) return kNotRun;
  if (!run.StartPlainEngine(14, "ledger-next", 0).Ok() ||
      !run.StartPlainEngine(15, "ledger-next", 0).Ok()) {
    return kNotRun;
  }
  run.StartPostings(kPostingIntervalMs);
  SleepMs(kSettleMs);

  run.store.TakeCopy();
  int version = 1;
  for (int i = 0; i < kStormVersions; ++i) {
    SleepMs(kStormGapMs);
    run.PutConfig(++version, "ledger");
  }
  SleepMs(1000);
  if (WithTrouble()) {
    run.store.GoAway();
    SleepMs(kAwayMs);
    run.store.ReturnFromCopy();
    // The operator writes its newest configuration again.
    run.PutConfig(version, "ledger");
  } else {
    SleepMs(kAwayMs);
  }
  SleepMs(kStableMs);

  run.PutConfig(++version, "ledger-next");
  const int64_t confirmed = NowMs();
  run.record.Add("the store has confirmed that postings go to ledger-next");
  SleepMs(kServesMs);
  run.StopPostings();

  std::map<std::string, int64_t> sent;
  for (const client_answer& answer : run.Postings()) {
    sent[answer.id] = answer.sent_ms;
  }
  std::map<std::string, int> late;
  int total = 0;
  for (const arrived_request& request : run.log.Requests()) {
    if (request.service != "ledger") continue;
    const auto found = sent.find(request.id);
    if (found == sent.end()) continue;
    if (found->second <= confirmed + kConfigApplyMs) continue;
    ++late[scene::DaemonOf(request.id)];
    ++total;
  }
  run.WriteRecord();
  for (const auto& [daemon, count] : late) {
    run.record.Add("BROKEN: " + std::to_string(count) +
                   " requests were run by the old service through " + daemon +
                   ", sent later than ConfigApplyMs after the confirmation");
  }
  run.record.Add(total > 0 ? "the rule was broken" : "the rule held");
  std::cout << "CONFIG " << (total > 0 ? "was broken by " : "held, ") << total
            << " requests through " << late.size() << " daemons\n";
  return total > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  return review::Run(count > 1 ? arguments[1] : ".");
}
