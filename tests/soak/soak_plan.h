#ifndef ANVILRIDGE_TESTS_SOAK_SOAK_PLAN_H_
#define ANVILRIDGE_TESTS_SOAK_SOAK_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace anvilridge {

/// Memory of a machine on which a daemon keeps whatever arrives.
inline constexpr int kUnboundedMachineMb = 1 << 20;

struct soak_options {
  uint64_t seed = 1;
  /// Span in which things are disturbed.
  absl::Duration disturbed = absl::Seconds(8);
  int daemons = 3;
  int decode_engines = 4;
  int prefill_engines = 2;
  int services = 2;
  /// Requests a second of all callers.
  double rate = 40;
  /// Slack of the daemons' send budget.
  int slack = 200;
  /// Ratio of that budget.
  double ratio = 0.2;
  /// Ends or stops all daemons together, again and again, while all upstreams
  /// refuse, in place of single disturbances.
  bool herds = false;
  /// Upstreams fall silent and go on, beside disturbances of the daemons, of
  /// their store and of what is registered. No upstream and no link fails but
  /// for single runs.
  bool silences = false;
  /// As `silences`, but upstreams state that they leave or that they want
  /// nothing for a time.
  bool statements = false;
  /// Prefill engines refuse, fail, lose or don't answer prefills all the time,
  /// in place of other disturbances.
  bool failing_prefills = false;
  /// Stops daemons as planned, alone, one after the other and all at once, with
  /// reloads and further SIGTERMs among them, in place of other disturbances.
  /// Upstreams take 0.1 to 6 s, callers have time limits of 1 to 20 s, and
  /// some requests are refused only after a while.
  bool stops = false;
  /// A part of some prompts crashes each decode engine, beside other
  /// disturbances.
  bool crashing_prompts = false;
  /// A service and a decode engine send bytes without end in place of answers,
  /// beside other disturbances.
  bool endless_answers = false;
  /// Number of those services. If others are left, daemons soon avoid them.
  int endless_services = 1;
  /// Whether calls may take much longer than upstreams need, so that daemons
  /// keep what arrives however slowly a busy machine sends it.
  bool long_calls = false;
  /// Callers have keys of teams with caps, keys change again and again, and one
  /// team sends several times its cap, beside other disturbances.
  bool teams = false;
  /// Memory of a daemon's machine as its settings give it.
  int machine_mb = 64;
  /// Program of the daemons, and what it is given besides its settings.
  std::string program = "anvilridge_fleet";
  std::vector<std::string> arguments;
  /// Hides from engines that their callers have left, as a daemon would that
  /// doesn't pass it on.
  bool hide_close = false;
};

enum class soak_action {
  kill_daemon,
  stop_daemon,
  freeze_daemon,
  hang_up_daemon,
  change_settings,
  cut_upstream,
  upset_upstream,
  renew_upstream,
  drain_upstream,
  cut_store,
  refuse_at_store,
  change_config,
  /// Forms: one upstream, every other one, all of them.
  silence_upstreams,
  /// Forms: it leaves, it names a time.
  state_absence,
};

absl::string_view ActionName(soak_action action);

/// One disturbance.
struct soak_step {
  /// From the start of the disturbed span.
  absl::Duration at;
  soak_action action = soak_action::kill_daemon;
  /// Which daemon or upstream, counted round.
  int target = 0;
  /// Which of the action's forms, counted round.
  int form = 0;
  absl::Duration lasts;
};

/// Draws the disturbances of a run, in order of time; some overlap.
std::vector<soak_step> MakePlan(const soak_options& options);

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_SOAK_SOAK_PLAN_H_
