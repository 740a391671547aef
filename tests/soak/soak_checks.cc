#include "soak/soak_checks.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "soak/soak_config.h"
#include "soak/soak_teams.h"

namespace anvilridge {
namespace {

// What the way to a caller may add to a time limit.
constexpr absl::Duration kWay = absl::Milliseconds(600);
// Within which an engine must stop when the caller has left, by the rules of
// the platform, and what the way may add.
constexpr absl::Duration kStopBound = absl::Milliseconds(500);
// Streams that may go on for longer: the rules take a few by chance.
constexpr double kLateStops = 0.25;
// Within which a configuration must be in force: the sites' bound.
constexpr absl::Duration kConfigBound = absl::Seconds(3);
constexpr int kOk = 200;
constexpr int kFirstFailure = 300;
// Within which a daemon must heed what an upstream states about itself, and the
// requests that may reach it afterwards while it wants none.
constexpr absl::Duration kWordBound = absl::Milliseconds(500);
constexpr int kMostWithinPause = 2;
// Window of the send budget, by the daemons' default.
constexpr absl::Duration kSendWindow = absl::Seconds(10);
// Within which a request that was read must be answered, if it isn't passed on,
// before its connection closes.
constexpr absl::Duration kLossSlack = absl::Milliseconds(200);
// By which an answer may come before the caller's time limit, to reach it.
constexpr absl::Duration kResponseMargin = absl::Milliseconds(100);
// By which a stop that can't end waits for streams that began before it.
const absl::Duration kStreamGrace = kStopGrace * 5 / 6;
constexpr std::array kNotRunStatuses = {408, 421, 429, 503};

// Crashes after which a part of prompts must be known, the time that daemons
// have to tell each other, and the arrivals at engines that may follow.
constexpr size_t kCrashesToLearn = 5;
constexpr absl::Duration kLearningTime = absl::Seconds(3);
constexpr int kToleratedArrivals = 3;

// Whether `place` was disturbed for `daemon` between `from` and `to`.
bool Disturbed(const soak_record& record, fault_place place, int daemon,
               absl::Time from, absl::Time to) {
  return std::any_of(record.faults.begin(), record.faults.end(),
                     [&](const fault_span& fault) {
                       return fault.place == place &&
                              (fault.daemon < 0 || fault.daemon == daemon) &&
                              fault.from < to && from < fault.to;
                     });
}

const upstream_record& UpstreamOf(const soak_record& record,
                                  const std::string& id) {
  static const auto* const kNone = new upstream_record;
  const auto found = record.upstreams.find(id);
  return found == record.upstreams.end() ? *kNone : found->second;
}

// Returns how many of `times`, which are sorted, lie in the window that ends at
// `end`.
int CountWithin(const std::vector<absl::Time>& times, absl::Time end) {
  return static_cast<int>(
      std::upper_bound(times.begin(), times.end(), end) -
      std::upper_bound(times.begin(), times.end(), end - kSendWindow));
}

absl::Duration TimeLimit(const caller_record& caller) {
  return caller.limit.value_or(
      caller.kind == request_kind::stream ? kStreamLimit : kCallLimit);
}

// Returns the arrivals that count against the send budget: all but the first
// prefill that an engine accepted.
std::vector<absl::Time> CountedArrivals(const upstream_record& upstream) {
  std::vector<absl::Time> counted;
  bool prefill_accepted = false;
  for (const upstream_arrival& arrival : upstream.arrivals) {
    if (arrival.accepted_prefill && !std::exchange(prefill_accepted, true)) {
      continue;
    }
    counted.push_back(arrival.at);
  }
  return counted;
}

bool PromisesNotRun(const caller_record& caller) {
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(),
                   caller.status) != kNotRunStatuses.end();
}

std::string Describe(const caller_record& caller) {
  return absl::StrCat("request ", caller.id, " at daemon ", caller.daemon,
                      ", status ", caller.status);
}

// Whether `caller` stayed until its answer ended, within its time limit, and
// nothing but silence befell its upstreams and its daemon.
bool IsSilencedOnly(const soak_record& record, const caller_record& caller) {
  const upstream_record& upstream = UpstreamOf(record, caller.id);
  return upstream.silenced && !upstream.failed &&
         caller.left == absl::InfiniteFuture() &&
         caller.ended < caller.began + TimeLimit(caller) &&
         !Disturbed(record, fault_place::daemon, caller.daemon, caller.began,
                    caller.ended);
}

// Whether `caller` sent its request and has neither a whole answer nor a
// refusal as not run, although it stayed and its time limit was not reached.
bool IsLost(const caller_record& caller) {
  if (!caller.sent || caller.left < absl::InfiniteFuture() ||
      caller.ended == absl::InfiniteFuture()) {
    return false;
  }
  const bool answered = caller.status == kOk || PromisesNotRun(caller);
  if (answered && caller.whole) return false;
  return caller.ended < caller.began + TimeLimit(caller) - kResponseMargin;
}

bool IsCrossed(const soak_record& record, const caller_record& caller) {
  return IsLost(caller) && caller.status == 0 &&
         UpstreamOf(record, caller.id).arrivals.empty() &&
         caller.ended - caller.began <= kLossSlack;
}

class promise_checks {
 public:
  explicit promise_checks(const soak_record& record) : record_(record) {}

  std::vector<std::string> Run() {
    broken_ = record_.findings;
    for (const caller_record& caller : record_.callers) {
      CheckRuns(caller);
      CheckAnswer(caller);
      CheckTime(caller);
      CheckCalm(caller);
      CheckSilence(caller);
      if (record_.only_stops) CheckPlannedStop(caller);
    }
    CheckStops();
    CheckConfigs();
    CheckWords();
    CheckCrashes();
    if (record_.teams) {
      const std::vector<std::string> of_teams = BrokenTeamPromises(record_);
      broken_.insert(broken_.end(), of_teams.begin(), of_teams.end());
    }
    CheckSendBudget("model", {request_kind::stream});
    CheckSendBudget("ledger", {request_kind::posting, request_kind::read});
    return broken_;
  }

 private:
  void Break(absl::string_view promise, absl::string_view what) {
    broken_.push_back(absl::StrCat(promise, ": ", what));
  }

  // Prompts that crash engines reach no more of them once they are known, and
  // no others are held back for them.
  void CheckCrashes() {
    for (const caller_record& caller : record_.callers) {
      if (!caller.deadly &&
          absl::StrContains(caller.body, "prompt_quarantined")) {
        Break("held back without a part that crashes engines",
              Describe(caller));
      }
    }
    if (record_.crashes.size() < kCrashesToLearn) return;
    const absl::Time learned =
        record_.crashes[kCrashesToLearn - 1] + kLearningTime;
    int arrivals = 0;
    for (const caller_record& caller : record_.callers) {
      if (!caller.deadly) continue;
      for (const auto& arrival : UpstreamOf(record_, caller.id).arrivals) {
        const bool in_touch =
            !Disturbed(record_, fault_place::daemon, caller.daemon,
                       arrival.at - kLearningTime, arrival.at);
        if (arrival.at > learned && in_touch) ++arrivals;
      }
    }
    if (arrivals <= kToleratedArrivals) return;
    Break(
        "prompts that crash engines reach more of them",
        absl::StrCat(arrivals, " after ", record_.crashes.size(), " crashes"));
  }

  // Runs at most once, not at all when refused, and within the attempts.
  void CheckRuns(const caller_record& caller) {
    const size_t runs = UpstreamOf(record_, caller.id).runs.size();
    if (caller.kind == request_kind::posting && runs > 1) {
      Break("run twice", Describe(caller));
    }
    if (caller.kind == request_kind::posting && PromisesNotRun(caller) &&
        runs > 0) {
      Break("refused and run", Describe(caller));
    }
    if (caller.kind == request_kind::posting && caller.status == 200 &&
        runs == 0) {
      Break("answered and not run", Describe(caller));
    }
    if (runs > kAttempts) {
      Break("more sends than attempts",
            absl::StrCat(Describe(caller), ", runs ", runs));
    }
    if (PromisesNotRun(caller) && caller.retry_after.empty()) {
      Break("refused without a time to come back", Describe(caller));
    }
  }

  // What arrived is the caller's own answer, whole or its beginning.
  void CheckAnswer(const caller_record& caller) {
    if (caller.status != 200) return;
    const std::string expected =
        caller.kind == request_kind::stream
            ? WholeStream(caller.id, EventsWithin(caller.work))
            : absl::StrCat("done ", caller.id);
    const bool right = caller.whole ? caller.body == expected
                                    : absl::StartsWith(expected, caller.body);
    if (!right) {
      Break("wrong answer",
            absl::StrCat(Describe(caller), ", ", caller.body.size(), " bytes"));
    }
  }

  void CheckTime(const caller_record& caller) {
    const absl::Time due = caller.began + TimeLimit(caller) + kWay;
    if (caller.left < due || due > record_.end) return;
    const bool excused =
        !record_.only_stops && Disturbed(record_, fault_place::daemon,
                                         caller.daemon, caller.began, due);
    if (caller.ended <= due || excused) return;
    Break("no final answer in time", Describe(caller));
  }

  // Once all is well again, everybody is served.
  void CheckCalm(const caller_record& caller) {
    if (caller.deadly) return;
    if (caller.began < record_.calm + kCalmBefore) return;
    if (caller.left < absl::InfiniteFuture()) return;
    if (caller.ended == absl::InfiniteFuture()) return;
    // Nobody could serve it in its time.
    if (caller.work + kWay >= TimeLimit(caller)) return;
    if (record_.teams && MayBeRefused(caller)) return;
    if (caller.status >= kFirstFailure || !caller.whole) {
      Break("not served on a calm day", Describe(caller));
    }
  }

  // A silent upstream goes on, so its requests have a whole answer, or a true
  // refusal if none of them ran, unless the time limit was reached.
  void CheckSilence(const caller_record& caller) {
    if (!IsSilencedOnly(record_, caller)) return;
    const bool answered = caller.status == kOk && caller.whole;
    const bool refused = PromisesNotRun(caller) && caller.whole &&
                         UpstreamOf(record_, caller.id).runs.empty();
    if (answered || refused) return;
    Break("ended because its upstream was silent",
          absl::StrCat(Describe(caller), ", ", caller.body.size(),
                       " bytes, after ",
                       absl::FormatDuration(caller.ended - caller.began)));
  }

  // A planned stop ends no request without its whole answer or a true refusal,
  // however late it was sent.
  void CheckPlannedStop(const caller_record& caller) {
    const upstream_record& upstream = UpstreamOf(record_, caller.id);
    if (caller.kind != request_kind::posting && PromisesNotRun(caller) &&
        !upstream.runs.empty()) {
      Break("refused and run", Describe(caller));
    }
    if (!IsLost(caller) || IsCrossed(record_, caller) || OutlastsStop(caller)) {
      return;
    }
    Break(upstream.arrivals.empty() ? "left without an answer"
                                    : "passed on and ended without its answer",
          absl::StrCat(Describe(caller), ", ", caller.body.size(),
                       " bytes, after ",
                       absl::FormatDuration(caller.ended - caller.began),
                       SinceStop(caller)));
  }

  // Whether `caller` began a stream before a stop that it then outlasts.
  bool OutlastsStop(const caller_record& caller) const {
    return caller.kind == request_kind::stream &&
           std::any_of(record_.faults.begin(), record_.faults.end(),
                       [&](const fault_span& fault) {
                         return fault.place == fault_place::daemon &&
                                fault.daemon == caller.daemon &&
                                caller.began < fault.from &&
                                caller.ended >= fault.from + kStreamGrace &&
                                caller.ended < fault.to;
                       });
  }

  // Tells when `caller` began and ended, if its daemon was stopping.
  std::string SinceStop(const caller_record& caller) const {
    for (const fault_span& fault : record_.faults) {
      if (fault.place != fault_place::daemon || fault.daemon != caller.daemon ||
          caller.ended < fault.from || caller.ended > fault.to) {
        continue;
      }
      return absl::StrCat(
          ", sent ", absl::FormatDuration(caller.began - fault.from),
          " and ended ", absl::FormatDuration(caller.ended - fault.from),
          " behind SIGTERM");
    }
    return "";
  }

  // Nothing reaches an instance from a daemon that was told that it leaves, and
  // no more than a few requests while it wants nothing.
  void CheckWords() {
    std::map<std::string, int> daemons;
    for (const caller_record& caller : record_.callers) {
      daemons[caller.id] = caller.daemon;
    }
    std::map<std::pair<int, std::string>, std::vector<absl::Time>> arrivals;
    for (const auto& [id, daemon] : daemons) {
      for (const upstream_arrival& arrival : UpstreamOf(record_, id).arrivals) {
        arrivals[{daemon, arrival.upstream}].push_back(arrival.at);
      }
    }
    for (const auto& [id, daemon] : daemons) {
      for (const upstream_word& word : UpstreamOf(record_, id).words) {
        CheckWord(word, daemon, arrivals[{daemon, word.upstream}]);
      }
    }
  }

  void CheckWord(const upstream_word& word, int daemon,
                 const std::vector<absl::Time>& arrivals) {
    const auto against = std::count_if(
        arrivals.begin(), arrivals.end(), [&](absl::Time arrival) {
          return arrival > word.told + kWordBound && arrival < word.until &&
                 !Disturbed(record_, fault_place::daemon, daemon, word.told,
                            arrival);
        });
    const bool leaves = word.until == absl::InfiniteFuture();
    if (against <= (leaves ? 0 : kMostWithinPause)) return;
    Break(
        leaves ? "requests to an upstream that leaves"
               : "requests to an upstream that wants none",
        absl::StrCat(against, " from daemon ", daemon, " to ", word.upstream));
  }

  void CheckStops() {
    int gone = 0;
    std::vector<std::string> late;
    for (const caller_record& caller : record_.callers) {
      const absl::Time due = caller.left + kStopBound + kWay;
      if (caller.kind != request_kind::stream || due > record_.end) continue;
      if (Disturbed(record_, fault_place::daemon, caller.daemon, caller.began,
                    due) ||
          Disturbed(record_, fault_place::upstream, -1, caller.began, due)) {
        continue;
      }
      const upstream_record& upstream = UpstreamOf(record_, caller.id);
      if (upstream.runs.empty()) continue;
      ++gone;
      if (upstream.stops.size() < upstream.runs.size() ||
          upstream.stops.back() > due) {
        late.push_back(caller.id);
      }
    }
    if (static_cast<double>(late.size()) > kLateStops * gone) {
      Break("engines work for callers that have left",
            absl::StrCat(late.size(), " of ", gone, ": ",
                         absl::StrJoin(late, " ")));
    }
  }

  void CheckConfigs() {
    for (const config_probe& probe : record_.probes) {
      if (probe.version == 0) continue;
      int due = 0;
      for (const config_record& config : record_.configs) {
        const absl::Time bound = config.written + kConfigBound;
        const absl::Time from = config.written - kCalmBefore;
        if (bound > probe.asked ||
            Disturbed(record_, fault_place::daemon, probe.daemon, from,
                      probe.asked) ||
            Disturbed(record_, fault_place::store, probe.daemon, from,
                      probe.asked)) {
          continue;
        }
        due = std::max(due, config.version);
      }
      if (probe.version < due) {
        Break("an old configuration in force",
              absl::StrCat("daemon ", probe.daemon, " has ", probe.version,
                           " instead of ", due));
      }
    }
    for (const config_probe& later : record_.probes) {
      for (const config_probe& earlier : record_.probes) {
        // Answers may overtake each other.
        if (later.asked < earlier.answered) continue;
        if (earlier.daemon == later.daemon && earlier.starts == later.starts &&
            later.version != 0 && later.version < earlier.version) {
          Break("an older configuration behind a newer one",
                absl::StrCat("daemon ", later.daemon, ", ", later.version,
                             " behind ", earlier.version));
        }
      }
    }
  }

  // In each window, all daemons together send requests to `service` again no
  // more often than the budget allows by the requests of this window, the one
  // before it or the one half a window before it.
  void CheckSendBudget(absl::string_view service,
                       const std::vector<request_kind>& kinds) {
    std::vector<absl::Time> requests;
    std::set<std::string> asked;
    for (const caller_record& caller : record_.callers) {
      asked.insert(caller.id);
      if (std::find(kinds.begin(), kinds.end(), caller.kind) != kinds.end()) {
        requests.push_back(caller.began);
      }
    }
    std::vector<absl::Time> extra_sends;
    for (const auto& [id, upstream] : record_.upstreams) {
      if (upstream.service != service) continue;
      const std::vector<absl::Time> arrivals = CountedArrivals(upstream);
      if (arrivals.empty()) continue;
      // Questions for the configuration in force.
      if (!asked.contains(id)) requests.push_back(arrivals.front());
      extra_sends.insert(extra_sends.end(), arrivals.begin() + 1,
                         arrivals.end());
    }
    std::sort(requests.begin(), requests.end());
    std::sort(extra_sends.begin(), extra_sends.end());
    for (const absl::Time end : extra_sends) {
      int most = 0;
      for (const double windows_before : {0.0, 0.5, 1.0}) {
        most = std::max(
            most, CountWithin(requests, end - kSendWindow * windows_before));
      }
      const int extra = CountWithin(extra_sends, end);
      if (extra <= record_.send_ratio * most + record_.send_slack) continue;
      return Break("more extra sends than the budget",
                   absl::StrCat(extra, " to ", service, " within ",
                                absl::FormatDuration(kSendWindow), " for ",
                                most, " requests"));
    }
  }

  const soak_record& record_;
  std::vector<std::string> broken_;
};

}  // namespace

std::string StreamEvent(const std::string& id, int number) {
  return absl::StrCat("id: ", number, "\ndata: ", id, " ", number, "\n\n");
}

int EventsWithin(absl::Duration work) {
  return std::max(kStreamEvents, static_cast<int>(work / kEventGap));
}

std::string WholeStream(const std::string& id, int events) {
  std::string whole;
  for (int i = 1; i <= events; ++i) whole += StreamEvent(id, i);
  return whole;
}

int SilencedRequests(const soak_record& record) {
  return static_cast<int>(std::count_if(
      record.callers.begin(), record.callers.end(),
      [&](const auto& caller) { return IsSilencedOnly(record, caller); }));
}

int CrossedRequests(const soak_record& record) {
  return static_cast<int>(std::count_if(
      record.callers.begin(), record.callers.end(),
      [&](const auto& caller) { return IsCrossed(record, caller); }));
}

std::vector<std::string> BrokenPromises(const soak_record& record) {
  return promise_checks(record).Run();
}

}  // namespace anvilridge
