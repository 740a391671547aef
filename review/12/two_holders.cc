// Two daemons order one engine with the same fence number, after the store has
// come back from a copy with an older generation of the group.

#include <algorithm>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "../drill/scene.h"

namespace review {
namespace {

constexpr int64_t kSettleMs = 4000;
constexpr int64_t kAwayMs = 1000;
constexpr int64_t kOrderLimitMs = 20000;
// An engine is back behind a change of its stage, with a margin.
constexpr int64_t kStageChangeMs = 7500;
constexpr int64_t kStreamIntervalMs = 60;

// Prompt tokens of the streams of one daemon's callers. With the answers of
// 730 tokens, by which `kEven` suits two or three prefill engines of five.
constexpr int kEven = 580;
constexpr int kLong = 1500;
constexpr int kShort = 1;

std::unique_ptr<client_load> StartStreams(const daemon_process& daemon,
                                          int prompt) {
  return std::make_unique<client_load>(
      "draft-" + daemon.Ip(), daemon.Ip(), kStreamIntervalMs,
      [prompt](int64_t number) {
        client_request request;
        request.path = "/draft/" + std::to_string(number);
        request.deadline_ms = 14000;
        request.fields =
            "Model: m\r\nToken-Count: " + std::to_string(prompt) +
            ",730\r\nPrompt-Prefix: " + std::to_string(1000000 + number) + ":" +
            std::to_string(prompt) + "\r\n";
        return request;
      });
}

bool HasOrderFrom(scene& run, const std::string& holder) {
  const std::vector<arrived_order> orders = run.log.Orders();
  return std::any_of(
      orders.begin(), orders.end(),
      [&holder](const arrived_order& order) { return order.holder == holder; });
}

// Returns whether some engine got orders of two holders with one fence number.
bool HasTwoHolders(scene& run) {
  const std::vector<arrived_order> orders = run.log.Orders();
  bool found = false;
  for (size_t i = 0; i < orders.size(); ++i) {
    for (size_t j = 0; j < i; ++j) {
      if (orders[i].engine != orders[j].engine ||
          orders[i].fence != orders[j].fence ||
          orders[i].holder == orders[j].holder) {
        continue;
      }
      found = true;
      run.record.Add("BROKEN: engine " + orders[i].engine + " got fence " +
                     std::to_string(orders[i].fence) + " from " +
                     orders[j].holder + " (answered " +
                     std::to_string(orders[j].status) + ") and from " +
                     orders[i].holder + " (answered " +
                     std::to_string(orders[i].status) + ")");
    }
  }
  return found;
}

int Run(const std::string& folder) {
  LimitRunTime();
  scene run(folder);
  if (!run.Start()) return kNotRun;
  SleepMs(kSettleMs);
  const std::vector<std::string> members = run.store.Members();
  const auto holder =
      std::find(members.begin(), members.end(), run.store.FirstHolder());
  if (holder == members.end()) return kNotRun;
  const auto place = static_cast<size_t>(holder - members.begin());
  const std::string& second = members[(place + 1) % members.size()];
  const std::string& third = members[(place + 2) % members.size()];
  std::vector<std::unique_ptr<client_load>> streams;
  for (const auto& daemon : run.daemons) {
    int prompt = kEven;
    if (daemon->Member() == second) prompt = kLong;
    if (daemon->Member() == third) prompt = kShort;
    streams.push_back(StartStreams(*daemon, prompt));
  }
  SleepMs(kSettleMs);

  run.store.TakeCopy();
  run.store.DealAnew(second);
  if (!WaitFor(kOrderLimitMs, [&] { return HasOrderFrom(run, second); })) {
    run.record.Add("no order came from " + second);
    return kNotRun;
  }
  if (WithTrouble()) {
    run.store.GoAway();
    SleepMs(kAwayMs);
    run.store.ReturnFromCopy();
  }
  SleepMs(kStageChangeMs);
  run.store.DealAnew(third);
  if (!WaitFor(kOrderLimitMs, [&] { return HasOrderFrom(run, third); })) {
    run.record.Add("no order came from " + third);
    return kNotRun;
  }
  SleepMs(1000);
  for (const auto& load : streams) load->Stop();
  const bool broken = HasTwoHolders(run);
  run.record.Add(broken ? "the rule was broken" : "the rule held");
  std::cout << (broken ? "ONE was broken\n" : "ONE held\n");
  return broken ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  return review::Run(count > 1 ? arguments[1] : ".");
}
