#include "soak/soak_run.h"

#include <signal.h>

#include <QFile>
#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "base/testing/run_loop.h"
#include "harness/store_standin.h"
#include "soak/soak_callers.h"
#include "soak/soak_config.h"
#include "soak/soak_daemon.h"
#include "soak/soak_teams.h"
#include "soak/soak_upstreams.h"

namespace anvilridge {
namespace {

// How long is looked on once the bounds count.
constexpr absl::Duration kCalmSpan = absl::Seconds(4);
// For processes to start side by side on a busy machine.
constexpr absl::Duration kStartBound = absl::Seconds(60);
// The grace of a stop in the daemons' settings, and what its end may take.
const absl::Duration kStopBound = kStopGrace + absl::Seconds(1);
// Time for which an engine that has crashed is away.
constexpr absl::Duration kRestart = absl::Seconds(1);
// Exit codes above it name the signal that ended a process.
constexpr int kSignalExit = 128;
constexpr absl::Duration kProbeInterval = absl::Milliseconds(400);
constexpr absl::Duration kKeyChangeInterval = absl::Seconds(4);
constexpr absl::Duration kPollInterval = absl::Milliseconds(50);
// Memory that a daemon may take, by the capacity target.
constexpr int64_t kMostMemoryKb = 128 * int64_t{1024};
// One run in so many is lost or fails while things are disturbed: some at each
// upstream, and few enough that it counts as sound.
constexpr int kSpoilPeriod = 25;
// Beside planned stops, one request in so many is refused by its upstream.
constexpr int kRefusePeriod = 10;
constexpr std::array kSlacks = {50, 100, 200};
constexpr std::array kLinkFaults = {link_fault::delay, link_fault::reset,
                                    link_fault::silence,
                                    link_fault::lose_answers};
constexpr std::array kUpstreamFaults = {
    upstream_fault::refuse, upstream_fault::fail, upstream_fault::lose,
    upstream_fault::late};

constexpr char kUpstreamTopic[] = "keyed.servers";

// Peak resident memory of a process; 0 when it has ended.
int64_t PeakMemoryKb(pid_t pid) {
  QFile file(QString("/proc/%1/status").arg(pid));
  if (!file.open(QIODevice::ReadOnly)) return 0;
  for (const QByteArray& line : file.readAll().split('\n')) {
    if (line.startsWith("VmHWM:")) {
      return line.mid(6).simplified().split(' ').first().toLongLong();
    }
  }
  return 0;
}

class soak_run {
 public:
  explicit soak_run(const soak_options& options) : options_(options) {
    result_.record.teams = options.teams;
    ChangeConfig();
    result_.record.configs.clear();
    result_.record.only_stops = options.stops;
    AddUpstreams(options.services, upstream_stage::service, "ledger");
    AddUpstreams(options.prefill_engines, upstream_stage::prefill, "prefill");
    AddUpstreams(options.decode_engines, upstream_stage::decode, "decode");
    for (int i = 0; i < options.daemons; ++i) {
      daemons_.push_back({std::make_unique<soak_daemon>(
          i, options.program, options.arguments, store_.Address(),
          options.slack, options.ratio, options.machine_mb)});
    }
    result_.record.send_slack = std::max(
        options.slack, *std::max_element(kSlacks.begin(), kSlacks.end()));
    // These plans change no settings, and an empty budget stays empty.
    if (options.herds || options.failing_prefills || options.slack == 0) {
      result_.record.send_slack = options.slack;
    }
    result_.record.send_ratio = options.ratio;
  }

  soak_result Run(const std::string& log_folder) {
    for (running_daemon& daemon : daemons_) daemon.process->Start();
    const auto poll = RunEvery(kPollInterval, [this] { Poll(); });
    if (!RunUntil([this] { return AllReady(); }, kStartBound)) {
      Find("not all daemons were ready in time");
      return Finish(log_folder);
    }
    began_ = MonotonicNow();
    const auto ask =
        RunEvery(absl::Seconds(1 / options_.rate), [this] { callers_.Ask(); });
    const auto probe = RunEvery(kProbeInterval, [this] { Probe(); });
    for (const soak_step& step : MakePlan(options_)) {
      RunAfter(&context_, step.at, [this, step] { Disturb(step); });
    }
    std::unique_ptr<QTimer> change_keys;
    if (options_.teams) {
      change_keys = RunEvery(kKeyChangeInterval, [this] { ChangeConfig(); });
    }
    SetUpstreamFaults(/*disturbed=*/true);
    Wait(options_.disturbed);
    SetUpstreamFaults(/*disturbed=*/false);
    change_keys.reset();
    if (!RunUntil([this] { return disturbances_ == 0 && AllReady(); },
                  kStartBound)) {
      Find("not all daemons were ready again in time");
    }
    result_.record.calm = MonotonicNow();
    Note("calm");
    Wait(kCalmBefore);
    ChangeConfig();
    Wait(kCalmSpan);
    result_.record.end = MonotonicNow();
    return Finish(log_folder);
  }

 private:
  struct running_daemon {
    std::unique_ptr<soak_daemon> process;
    bool ready = false;
    bool asking = false;
    // Ended or frozen on purpose.
    bool away = false;
    // When it was told to stop; infinite unless it was.
    absl::Time stopping = absl::InfiniteFuture();
  };

  void AddUpstreams(int count, upstream_stage stage, const char* name) {
    for (int i = 0; i < count; ++i) {
      upstreams_.push_back(std::make_unique<soak_upstream>(
          absl::StrCat(name, "-", i), stage, result_.record.upstreams));
      if (options_.crashing_prompts && stage == upstream_stage::decode) {
        upstreams_.back()->OnCrash(
            [this, index = upstreams_.size() - 1] { CrashUpstream(index); });
      }
      if (options_.hide_close) {
        upstreams_.back()->Link().SetFault(link_fault::hide_close);
      }
      Register(*upstreams_.back(), false);
    }
  }

  void Register(const soak_upstream& upstream, bool leaving) {
    store_.Put(kUpstreamTopic, upstream.Id(), upstream.Entry(leaving));
  }

  // Sets what befalls single requests at all upstreams.
  void SetUpstreamFaults(bool disturbed) {
    for (const auto& upstream : upstreams_) {
      upstream->SpoilEach(disturbed && !options_.stops ? kSpoilPeriod : 0);
      upstream->RefuseEach(disturbed && options_.stops ? kRefusePeriod : 0);
    }
    if (!options_.endless_answers) return;
    // Services come first, decode engines last.
    for (int i = 0; i < options_.endless_services; ++i) {
      upstreams_[static_cast<size_t>(i)]->SendEndlessly(disturbed);
    }
    upstreams_.back()->SendEndlessly(disturbed);
  }

  static void Wait(absl::Duration span) {
    const absl::Time until = MonotonicNow() + span;
    RunUntil([until] { return MonotonicNow() >= until; },
             span + absl::Seconds(1));
  }

  void Note(const std::string& text) {
    result_.steps.push_back(absl::StrFormat(
        "%6.2f s %s", absl::ToDoubleSeconds(MonotonicNow() - began_), text));
  }

  void Find(const std::string& text) {
    result_.record.findings.push_back(text);
    Note(text);
  }

  caller_target Pick(uint64_t drawn) {
    const int index = static_cast<int>(drawn % daemons_.size());
    running_daemon& daemon = daemons_[index];
    // A process that stops is used until it is gone.
    const bool reachable = !daemon.away || daemon.stopping < MonotonicNow();
    return {index, reachable ? daemon.process->CallerPort() : uint16_t{0}};
  }

  bool AllReady() const {
    return std::all_of(daemons_.begin(), daemons_.end(),
                       [](const auto& daemon) { return daemon.ready; });
  }

  // Asks daemons that have started whether they are ready, and looks for those
  // that have ended.
  void Poll() {
    for (size_t i = 0; i < daemons_.size(); ++i) {
      running_daemon& daemon = daemons_[i];
      if (daemon.stopping < absl::InfiniteFuture()) {
        EndStop(i);
      } else if (!daemon.away && !daemon.process->Process().Running()) {
        Find(absl::StrCat("daemon ", i, " has ended by itself"));
        Restart(i);
      } else if (!daemon.away && !daemon.ready && !daemon.asking) {
        AskReady(i);
      }
    }
  }

  void AskReady(size_t index) {
    running_daemon& daemon = daemons_[index];
    const uint16_t port = daemon.process->ReadyPort();
    if (port == 0) return;
    daemon.asking = true;
    const int starts = daemon.process->Starts();
    callers_.AskReady(port, [this, index, starts](bool ready) {
      running_daemon& asked = daemons_[index];
      asked.asking = false;
      if (asked.process->Starts() == starts && ready && !asked.away) {
        asked.ready = true;
        EndSpan(index);
      }
    });
  }

  // ---- disturbances

  void BeginSpan(fault_place place, int daemon) {
    spans_.push_back({place, daemon, MonotonicNow(), absl::InfiniteFuture()});
  }

  // A daemon's process is itself again.
  void EndSpan(size_t daemon) {
    for (fault_span& span : spans_) {
      if (span.place == fault_place::daemon &&
          span.daemon == static_cast<int>(daemon)) {
        span.to = std::min(span.to, MonotonicNow());
      }
    }
  }

  void DisturbFor(fault_place place, int daemon, absl::Duration lasts,
                  std::function<void()> end) {
    const absl::Time now = MonotonicNow();
    spans_.push_back({place, daemon, now, now + lasts});
    ++disturbances_;
    RunAfter(&context_, lasts, [this, end = std::move(end)] {
      end();
      --disturbances_;
    });
  }

  void Disturb(const soak_step& step) {
    const size_t daemon = step.target % daemons_.size();
    const size_t upstream = step.target % upstreams_.size();
    Note(absl::StrFormat("%s daemon %d / upstream %s, form %d, %d ms",
                         ActionName(step.action), daemon,
                         upstreams_[upstream]->Id(), step.form % 4,
                         absl::ToInt64Milliseconds(step.lasts)));
    switch (step.action) {
      case soak_action::kill_daemon:
      case soak_action::stop_daemon:
      case soak_action::freeze_daemon:
        return DisturbProcess(daemon, step);
      case soak_action::hang_up_daemon:
        // Before it handles signals, this one would end it.
        if (daemons_[daemon].process->CallerPort() == 0) return;
        return daemons_[daemon].process->Process().Signal(SIGHUP);
      case soak_action::change_settings:
        return daemons_[daemon].process->ChangeSettings(
            options_.slack == 0 ? 0 : kSlacks.at(step.form % kSlacks.size()));
      case soak_action::cut_upstream:
        return CutUpstream(upstream, step);
      case soak_action::upset_upstream:
        return UpsetUpstream(upstream, step);
      case soak_action::renew_upstream:
        return RenewUpstream(upstream);
      case soak_action::drain_upstream:
        return DrainUpstream(upstream, step);
      case soak_action::cut_store:
        return CutStore(daemon, step);
      case soak_action::refuse_at_store:
        store_.SetUp(false);
        return DisturbFor(fault_place::store, -1, step.lasts,
                          [this] { store_.SetUp(true); });
      case soak_action::change_config:
        return ChangeConfig();
      case soak_action::silence_upstreams:
        return SilenceUpstreams(upstream, step);
      case soak_action::state_absence:
        return StateAbsence(upstream, step);
    }
  }

  // Ends, stops or freezes a daemon, unless it is away already.
  void DisturbProcess(size_t index, const soak_step& step) {
    running_daemon& daemon = daemons_[index];
    // A further SIGTERM has no effect.
    if (daemon.stopping < absl::InfiniteFuture() &&
        step.action == soak_action::stop_daemon) {
      return daemon.process->Process().Signal(SIGTERM);
    }
    if (daemon.away) return;
    daemon.away = true;
    daemon.ready = false;
    BeginSpan(fault_place::daemon, static_cast<int>(index));
    if (step.action == soak_action::stop_daemon) {
      daemon.stopping = MonotonicNow();
      return daemon.process->Process().Signal(SIGTERM);
    }
    ++disturbances_;
    const bool freezes = step.action == soak_action::freeze_daemon;
    if (freezes) {
      daemon.process->Process().Freeze();
    } else {
      daemon.process->Process().Kill();
    }
    RunAfter(&context_, step.lasts, [this, index, freezes] {
      --disturbances_;
      if (!freezes) return Restart(index);
      daemons_[index].process->Process().Thaw();
      daemons_[index].away = false;
    });
  }

  // Returns whether SIGTERM ended a process that had just begun and did not
  // handle signals yet. A daemon handles them before it opens a port, so no
  // caller has lost anything.
  static bool EndedWithoutSignalHandlers(running_daemon& daemon,
                                         std::optional<int> code) {
    return code == kSignalExit + SIGTERM && daemon.process->CallerPort() == 0;
  }

  void EndStop(size_t index) {
    running_daemon& daemon = daemons_[index];
    child_process& process = daemon.process->Process();
    if (process.Running()) {
      if (MonotonicNow() - daemon.stopping < kStopBound) return;
      Find(absl::StrCat("daemon ", index, " did not end within its grace"));
      process.Kill();
    } else if (const auto code = process.WaitForExit(absl::ZeroDuration());
               code != 0 && !EndedWithoutSignalHandlers(daemon, code)) {
      Find(absl::StrCat("daemon ", index, " ended with ", code.value_or(-1),
                        " at a stop"));
    }
    Restart(index);
  }

  void Restart(size_t index) {
    running_daemon& daemon = daemons_[index];
    Keep(daemon);
    daemon.stopping = absl::InfiniteFuture();
    daemon.away = false;
    daemon.ready = false;
    daemon.process->Start();
  }

  void CutUpstream(size_t index, const soak_step& step) {
    soak_upstream& upstream = *upstreams_[index];
    if (options_.hide_close) return;
    upstream.Link().SetFault(kLinkFaults.at(step.form % kLinkFaults.size()));
    DisturbFor(fault_place::upstream, -1, step.lasts,
               [&upstream] { upstream.Link().SetFault(link_fault::none); });
  }

  void UpsetUpstream(size_t index, const soak_step& step) {
    soak_upstream& upstream = *upstreams_[index];
    upstream.SetFault(kUpstreamFaults.at(step.form % kUpstreamFaults.size()));
    DisturbFor(fault_place::upstream, -1, step.lasts,
               [&upstream] { upstream.SetFault(upstream_fault::none); });
  }

  void SilenceUpstreams(size_t first, const soak_step& step) {
    // By form: one upstream, every other one, all of them.
    const size_t stride = step.form == 0   ? upstreams_.size()
                          : step.form == 1 ? 2
                                           : 1;
    for (size_t i = 0; i < upstreams_.size(); i += stride) {
      upstreams_[(first + i) % upstreams_.size()]->FallSilent(step.lasts);
    }
    DisturbFor(fault_place::upstream, -1, step.lasts, [] {});
  }

  void StateAbsence(size_t index, const soak_step& step) {
    soak_upstream& upstream = *upstreams_[index];
    if (step.form % 2 == 0) {
      upstream.Leave();
      return DisturbFor(fault_place::upstream, -1, step.lasts,
                        [this, index] { RenewUpstream(index); });
    }
    upstream.Pause(step.lasts);
    DisturbFor(fault_place::upstream, -1, step.lasts, [] {});
  }

  // Another instance at the same address: requests that are meant for the one
  // before must not reach it.
  void RenewUpstream(size_t index) {
    soak_upstream& upstream = *upstreams_[index];
    store_.Put(kUpstreamTopic, upstream.Id(), "");
    upstream.Renew(absl::StrCat(upstream.Id(), "'"));
    Register(upstream, false);
  }

  // The engine's process ends, and another instance follows.
  void CrashUpstream(size_t index) {
    soak_upstream& upstream = *upstreams_[index];
    result_.record.crashes.push_back(MonotonicNow());
    upstream.Link().SetFault(link_fault::down);
    DisturbFor(fault_place::upstream, -1, kRestart, [this, index] {
      upstreams_[index]->Link().SetFault(link_fault::none);
      RenewUpstream(index);
    });
  }

  void DrainUpstream(size_t index, const soak_step& step) {
    soak_upstream& upstream = *upstreams_[index];
    Register(upstream, true);
    DisturbFor(fault_place::upstream, -1, step.lasts,
               [this, &upstream] { Register(upstream, false); });
  }

  void CutStore(size_t index, const soak_step& step) {
    fault_proxy& link = daemons_[index].process->StoreLink();
    link.SetFault(kLinkFaults.at(step.form % kLinkFaults.size()));
    DisturbFor(fault_place::store, static_cast<int>(index), step.lasts,
               [&link] { link.SetFault(link_fault::none); });
  }

  void ChangeConfig() {
    ++config_version_;
    const absl::Duration call_limit =
        options_.stops || options_.long_calls ? kLongLimit : kCallLimit;
    const absl::Duration stream_limit =
        options_.stops ? kLongLimit : kStreamLimit;
    store_.Put(
        "keyed.op", "config",
        ConfigText(config_version_, call_limit, stream_limit,
                   options_.teams ? TeamsOf(config_version_) : QJsonArray()));
    result_.record.configs.push_back({config_version_, MonotonicNow()});
  }

  void Probe() {
    for (size_t i = 0; i < daemons_.size(); ++i) {
      running_daemon& daemon = daemons_[i];
      if (!daemon.ready) continue;
      callers_.Probe({static_cast<int>(i), daemon.process->CallerPort()},
                     daemon.process->Starts(), config_version_);
    }
  }

  // ---- the end

  // Keeps the log of a process that is replaced.
  void Keep(const running_daemon& daemon) {
    logs_.push_back(daemon.process->Process().Out());
  }

  soak_result Finish(const std::string& log_folder) {
    result_.record.faults = spans_;
    for (size_t i = 0; i < daemons_.size(); ++i) {
      child_process& process = daemons_[i].process->Process();
      const int64_t memory = PeakMemoryKb(process.Pid());
      if (memory > kMostMemoryKb) {
        Find(absl::StrCat("daemon ", i, " took ", memory, " KB"));
      }
      Keep(daemons_[i]);
    }
    if (!log_folder.empty()) WriteLogs(log_folder);
    return result_;
  }

  void WriteLogs(const std::string& folder) {
    result_.logs = absl::StrCat(folder, "/soak-", options_.seed, ".log");
    QFile file(QString::fromStdString(result_.logs));
    if (!file.open(QIODevice::WriteOnly)) return Find("logs can't be written");
    for (const std::string& log : logs_) {
      file.write(log.data(), static_cast<qint64>(log.size()));
    }
  }

  const soak_options options_;
  soak_result result_;
  QObject context_;
  store_standin store_;
  std::vector<std::unique_ptr<soak_upstream>> upstreams_;
  std::vector<running_daemon> daemons_;
  soak_callers callers_{options_.seed, options_.stops,
                        options_.crashing_prompts, result_.record,
                        [this](uint64_t drawn) { return Pick(drawn); }};
  absl::Time began_ = MonotonicNow();
  int config_version_ = 0;
  int disturbances_ = 0;
  std::vector<fault_span> spans_;
  std::vector<std::string> logs_;
};

}  // namespace

soak_result RunSoak(const soak_options& options,
                    const std::string& log_folder) {
  return soak_run(options).Run(log_folder);
}

}  // namespace anvilridge
