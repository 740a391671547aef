// An engine that leaves after the store has come back from a copy still gets
// requests: its entry has a lower offset than the one known of it before.

#include <algorithm>
#include <iostream>
#include <map>
#include <string>

#include "../drill/scene.h"

namespace review {
namespace {

constexpr int64_t kSettleMs = 5000;
constexpr int64_t kColdMs = 3600;
// From the copy until the store is away: the new engine has warmed up.
constexpr int64_t kCopyAgeMs = 5500;
constexpr int64_t kAwayMs = 1000;
// Time in which the store must have been stable, and some more.
constexpr int64_t kStableMs = 5000;
constexpr int64_t kDrainMs = 2000;
// Postings come together, every `kRoundMs`: a quiet hour.
constexpr int kPostingsToEach = 6;
constexpr int64_t kRoundMs = 3000;
constexpr int kRoundsBefore = 2;
// Rounds in which the engine serves behind its report.
constexpr int kRoundsBehind = 3;

int Run(const std::string& folder) {
  LimitRunTime();
  scene run(folder);
  if (!run.Start()) return kNotRun;
  SleepMs(kSettleMs);
  for (int i = 0; i < kRoundsBefore; ++i) {
    run.SendPostings(kPostingsToEach);
    SleepMs(kRoundMs);
  }

  run.store.TakeCopy();
  engine& released = run.StartPlainEngine(14, "ledger", kColdMs);
  if (!released.Ok()) return kNotRun;
  SleepMs(kCopyAgeMs);
  if (WithTrouble()) {
    run.store.GoAway();
    SleepMs(kAwayMs);
    run.store.ReturnFromCopy();
    released.WriteAgain();
  } else {
    SleepMs(kAwayMs);
  }
  SleepMs(kStableMs);

  run.SendPostings(kPostingsToEach);
  released.Drain();
  const int64_t confirmed = NowMs();
  run.record.Add("the store has confirmed that s14 drains");
  for (int i = 0; i < kRoundsBehind; ++i) {
    SleepMs(kRoundMs);
    run.SendPostings(kPostingsToEach);
  }
  released.End();

  std::map<std::string, int> late;
  int total = 0;
  for (const arrived_request& request : run.log.Requests()) {
    if (request.engine != released.Id()) continue;
    if (request.at_ms <= confirmed + kDrainMs) continue;
    ++late[scene::DaemonOf(request.id)];
    ++total;
  }
  int unanswered = 0;
  for (const client_answer& answer : run.Postings()) {
    if (answer.sent_ms > confirmed && answer.status != 200) ++unanswered;
  }
  run.WriteRecord();
  for (const auto& [daemon, count] : late) {
    run.record.Add("BROKEN: " + std::to_string(count) + " requests reached " +
                   released.Id() + " through " + daemon +
                   " later than DrainMs after the confirmation");
  }
  run.record.Add("postings behind the confirmation without a success: " +
                 std::to_string(unanswered));
  run.record.Add(total > 0 ? "the rule was broken" : "the rule held");
  std::cout << "DRAIN " << (total > 0 ? "was broken by " : "held, ") << total
            << " requests through " << late.size() << " daemons, " << unanswered
            << " postings without a success\n";
  return total > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  return review::Run(count > 1 ? arguments[1] : ".");
}
