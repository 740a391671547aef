#include "teams/team_usage.h"

#include <QJsonObject>
#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/random/random.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/milliseconds.h"
#include "base/qt_text.h"
#include "log/decision_log.h"
#include "teams/team_account.h"

namespace anvilridge {
namespace {

// Time without a message after which a daemon may be cut off. Messages are at
// most 450 ms apart. Until a cut is noticed, each side may use the whole
// bucket.
constexpr absl::Duration kSilence = absl::Milliseconds(600);
// Number of windows of silence after which a daemon is no longer counted.
constexpr int kForgetWindows = 2;
// Interval at which daemons are checked for silence.
constexpr absl::Duration kSilenceCheckInterval = absl::Milliseconds(50);
// Parts of the tolerance: a bucket may hold the first beyond the burst, so that
// what stays within the bound isn't refused, and the use by silent daemons is
// not taken from it up to the second. The rest covers what several daemons
// admit before they hear of each other: a team at seven times its usual use
// sends a tenth of the tolerance within 30 ms.
constexpr double kCapacityPart = 0.6;
constexpr double kAllowancePart = 0.1;
// Number of daemons that is assumed until it is known.
constexpr int kAssumedDaemons = 64;
// Least age of the averages that are announced. It is longer than `kSilence`,
// so that what a daemon sends before it notices a cut doesn't raise its share:
// the others can't know of it.
constexpr absl::Duration kSettleTime = absl::Milliseconds(700);
// Time for which a change is announced. Several messages fall within it, since
// each may be lost.
constexpr absl::Duration kAnnouncePeriod = absl::Seconds(1);
// Time after a daemon was first heard, or again, for which the use of all teams
// is announced: it needs the sums so far to tell later changes.
constexpr absl::Duration kFullAnnouncePeriod = absl::Seconds(2);
// Bounds of the retry time of a refused request, and its spread in parts of it.
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(10);
constexpr double kRetrySpread = 0.25;
// Time without a refusal after which a team counts as no longer refused.
constexpr absl::Duration kRefusalPause = absl::Seconds(2);

// What is known of another daemon.
struct peer_daemon {
  uint64_t incarnation = 0;
  absl::Time heard = absl::InfinitePast();
  bool ends = false;
  // Whether it counts as silent.
  bool silent = false;
  // Keys of the teams for which it holds units.
  std::vector<uint32_t> holding;
};

}  // namespace

struct team_usage::impl {
  cap_tolerance tolerance;
  // By the key of the team.
  absl::flat_hash_map<uint32_t, std::shared_ptr<team_account>> accounts;
  std::map<std::string, peer_daemon, std::less<>> peers;
  // Number of daemons; 0 until it is known.
  int daemons = 0;
  absl::Time started = absl::InfinitePast();
  absl::Time silence_checked = absl::InfinitePast();
  // Until when the use of all teams is announced.
  absl::Time announce_all_until = absl::InfinitePast();
  absl::BitGen random;

  size_t DaemonCount() const {
    const size_t counted =
        static_cast<size_t>(daemons == 0 ? kAssumedDaemons : daemons);
    return std::max(counted, peers.size() + 1);
  }

  void SetCap(team_account& account, const usage_cap& cap, int cells) const;
  void Advance(absl::Time now);
  void AdvanceAccount(team_account& account, absl::Time now) const;
  void AssumeUse(team_account& account, double earned) const;
  void MarkSilent(const std::string& name, peer_daemon& peer, absl::Time now);
  void MarkHeard(const std::string& name, peer_daemon& peer, bool same_process,
                 absl::Time now);
  void RecordReport(team_account& account, const std::string& name,
                    uint64_t incarnation, bool is_new, const team_use& report,
                    absl::Time now) const;
  void ClearHeld(uint32_t key, const std::string& name);
  void Forget(const std::string& name);
  void AssumeUnheard(team_account& account) const;
  absl::Status Refuse(team_account& account, uint32_t units, absl::Time now);
};

void team_usage::impl::SetCap(team_account& account, const usage_cap& cap,
                              int cells) const {
  const double part = 1.0 / std::max(1, cells);
  account.cap = cap;
  account.cap.rate *= part;
  account.cap.burst *= part;
  const double tolerated =
      tolerance.excess *
          (account.cap.rate * absl::ToDoubleSeconds(tolerance.window) +
           account.cap.burst) +
      tolerance.slack * part;
  account.capacity = account.cap.burst + kCapacityPart * tolerated;
  account.allowance = kAllowancePart * tolerated;
  account.level = std::min(account.level, account.capacity);
}

// Notes which daemons have fallen silent, and forgets those that are silent for
// long.
void team_usage::impl::Advance(absl::Time now) {
  if (now - silence_checked < kSilenceCheckInterval) return;
  silence_checked = now;
  const absl::Duration forget = kForgetWindows * tolerance.window;
  for (auto entry = peers.begin(); entry != peers.end();) {
    peer_daemon& peer = entry->second;
    const absl::Duration silence = now - peer.heard;
    if (silence > kSilence && !peer.silent && !peer.ends) {
      MarkSilent(entry->first, peer, now);
    }
    if (silence <= forget) {
      ++entry;
      continue;
    }
    const std::string name = entry->first;
    entry = peers.erase(entry);
    Forget(name);
  }
}

// Brings `account` up to `now`.
void team_usage::impl::AdvanceAccount(team_account& account,
                                      absl::Time now) const {
  if (account.updated >= now) return;
  const double earned =
      account.cap.rate * absl::ToDoubleSeconds(now - account.updated);
  account.updated = now;
  account.level += earned;
  if (account.promised > 0) {
    account.promised = std::max(
        0.0, account.promised - earned * account.OwnShare(DaemonCount(), now));
  }
  if (account.SilentShare() > 0) AssumeUse(account, earned);
  account.level = std::min(account.level, account.Capacity());
}

// Takes from the bucket what silent daemons may have used while it `earned`
// units, as far as all that they may have used exceeds the allowance. The
// allowance is divided by shares between the daemons that hear each other and
// the others, which do the same.
void team_usage::impl::AssumeUse(team_account& account, double earned) const {
  account.unheard_assumed += earned * account.unheard_share;
  double assumed = account.unheard_assumed;
  double taken = account.unheard_taken;
  for (auto& [name, use] : account.peers) {
    use.assumed += earned * use.share;
    assumed += use.assumed;
    taken += use.taken;
  }
  const double silent = account.SilentShare();
  const double due = assumed - account.allowance * (1 - silent) - taken;
  if (due <= 0) return;
  account.level -= due;
  account.unheard_taken += due * account.unheard_share / silent;
  for (auto& [name, use] : account.peers) {
    use.taken += due * use.share / silent;
  }
}

// A daemon that can't be heard may use its share of the bucket and of the rate
// from now on.
void team_usage::impl::MarkSilent(const std::string& name, peer_daemon& peer,
                                  absl::Time now) {
  peer.silent = true;
  const size_t daemons = DaemonCount();
  for (auto& [key, account] : accounts) {
    AdvanceAccount(*account, now);
    peer_use& use = account->peers[name];
    const double recent = RateAt(use.average, now) + account->EvenUse(daemons);
    const double total = account->TotalUse(daemons, now);
    use.share = std::min(1 - account->SilentShare(), recent / total);
    account->peers_share += use.share;
    // Several daemons that fall silent share the bucket as it was before.
    double taken = account->unheard_taken;
    for (const auto& [other, other_use] : account->peers) {
      taken += other_use.taken;
    }
    const absl::Duration since = std::min(now - peer.heard, 2 * kSilence);
    use.assumed =
        use.share * (std::max(0.0, account->level + taken) +
                     account->cap.rate * absl::ToDoubleSeconds(since));
    AssumeUse(*account, 0);
  }
}

// Replaces what a daemon was assumed to have used by what it reports. Of a new
// process it isn't known what the one before has used.
void team_usage::impl::MarkHeard(const std::string& name, peer_daemon& peer,
                                 bool same_process, absl::Time now) {
  peer.silent = false;
  for (auto& [key, account] : accounts) {
    const auto found = account->peers.find(name);
    if (found == account->peers.end()) continue;
    AdvanceAccount(*account, now);
    peer_use& use = found->second;
    if (same_process) {
      account->level = std::min(account->capacity, account->level + use.taken);
    }
    account->peers_share -= use.share;
    use.share = 0;
    use.assumed = 0;
    use.taken = 0;
  }
}

void team_usage::impl::Forget(const std::string& name) {
  for (auto& [key, account] : accounts) {
    const auto found = account->peers.find(name);
    if (found != account->peers.end()) {
      account->peers_held -= found->second.reported.held;
      account->peers_share -= found->second.share;
      account->peers.erase(found);
    }
    AssumeUnheard(*account);
  }
}

void team_usage::impl::ClearHeld(uint32_t key, const std::string& name) {
  const auto account = accounts.find(key);
  if (account == accounts.end()) return;
  const auto found = account->second->peers.find(name);
  if (found == account->second->peers.end()) return;
  account->second->peers_held -= found->second.reported.held;
  found->second.reported.held = 0;
}

// Records the use of a team that the process `incarnation` of a daemon reports.
// @param is_new whether the daemon is heard for the first time.
void team_usage::impl::RecordReport(team_account& account,
                                    const std::string& name,
                                    uint64_t incarnation, bool is_new,
                                    const team_use& report,
                                    absl::Time now) const {
  AdvanceAccount(account, now);
  peer_use& use = account.peers[name];
  // A new process counts from 0. How much of a sum that is reported for the
  // first time is recent isn't known.
  uint32_t before = use.reported.sent;
  if (is_new) {
    before = report.sent;
  } else if (use.incarnation != incarnation) {
    before = 0;
  }
  const auto sent =
      static_cast<double>(static_cast<int32_t>(report.sent - before));
  account.level = std::min(account.capacity, account.level - sent);
  use.average = {static_cast<double>(report.rate), now};
  account.peers_held +=
      static_cast<double>(report.held) - static_cast<double>(use.reported.held);
  use.reported = report;
  use.incarnation = incarnation;
}

// Assumes that daemons which exist and were not heard use an even part each.
// What was assumed of daemons that are heard now stays taken: they don't report
// what they used before.
void team_usage::impl::AssumeUnheard(team_account& account) const {
  const size_t daemons = DaemonCount();
  const size_t unheard = daemons - 1 - peers.size();
  const double share =
      static_cast<double>(unheard) / static_cast<double>(daemons);
  if (share < account.unheard_share) {
    const double kept = share / account.unheard_share;
    account.unheard_assumed *= kept;
    account.unheard_taken *= kept;
  }
  account.unheard_share = share;
}

absl::Status team_usage::impl::Refuse(team_account& account, uint32_t units,
                                      absl::Time now) {
  const size_t daemons = DaemonCount();
  const double share = std::max(account.OwnShare(daemons, now),
                                1.0 / static_cast<double>(daemons));
  const double missing = units - account.Available() + account.promised / share;
  account.promised += units;
  if (now - account.last_refusal > kRefusalPause) account.refusals = 0;
  account.last_refusal = now;
  if (account.refusals++ == 0) {
    LogEvent(log_level::warn, "team_cap_reached",
             {{"team", QtText(account.name)},
              {"rate", account.cap.rate},
              {"available", account.Available()},
              {"held", static_cast<double>(account.held)},
              {"held_by_others", account.peers_held},
              {"silent_share", account.SilentShare()}});
  }
  // The rest of the rate is kept for daemons that can't be heard.
  const double rate = account.cap.rate * (1 - account.SilentShare());
  const absl::Duration wait = rate > 0
                                  ? std::clamp(absl::Seconds(missing / rate),
                                               kMinRetryAfter, kMaxRetryAfter)
                                  : kMaxRetryAfter;
  const double spread = absl::Uniform(random, 0.0, kRetrySpread);
  return MakeError(error_kind::rate_limited,
                   absl::StrCat("team ", account.name, " has used up its cap"),
                   run_state::not_run, wait * (1 + spread));
}

team_usage::team_usage() : impl_(std::make_unique<impl>()) {}

team_usage::~team_usage() = default;

void team_usage::SetTeams(absl::Span<const fleet_team> teams,
                          const cap_tolerance& tolerance, int cells,
                          absl::Time now) {
  impl_->tolerance = tolerance;
  if (impl_->started == absl::InfinitePast()) impl_->started = now;
  impl_->Advance(now);
  absl::flat_hash_map<uint32_t, std::shared_ptr<team_account>> accounts;
  for (const fleet_team& team : teams) {
    const auto found = impl_->accounts.find(team.key);
    if (found != impl_->accounts.end()) {
      if (team.cap && team.cap->rate <= 0) continue;
      impl_->AdvanceAccount(*found->second, now);
      if (team.cap) impl_->SetCap(*found->second, *team.cap, cells);
      accounts.emplace(team.key, found->second);
      continue;
    }
    if (!team.cap || team.cap->rate <= 0) continue;
    auto account = std::make_shared<team_account>();
    account->name = team.name;
    account->updated = now;
    impl_->SetCap(*account, *team.cap, cells);
    // What was used before this daemon started isn't known. A team that is new
    // has used nothing.
    if (now - impl_->started > tolerance.window) {
      account->level = account->capacity;
    }
    impl_->AssumeUnheard(*account);
    accounts.emplace(team.key, std::move(account));
  }
  impl_->accounts = std::move(accounts);
}

void team_usage::SetDaemonCount(int daemons, absl::Time now) {
  impl_->Advance(now);
  impl_->daemons = daemons;
  for (auto& [key, account] : impl_->accounts) {
    impl_->AdvanceAccount(*account, now);
    impl_->AssumeUnheard(*account);
  }
}

absl::StatusOr<team_charge> team_usage::Admit(const fleet_team& team,
                                              double tokens, absl::Time now) {
  const auto found = impl_->accounts.find(team.key);
  if (found == impl_->accounts.end()) return team_charge();
  impl_->Advance(now);
  team_account& account = *found->second;
  impl_->AdvanceAccount(account, now);
  constexpr double kMostUnits = 1 << 30;
  const auto counted = static_cast<uint32_t>(
      std::ceil(std::clamp(UnitsOf(account.cap, tokens), 0.0, kMostUnits)));
  // A request that the bucket can't hold is admitted once that is full.
  const double needed = std::min<double>(counted, account.Capacity());
  if (account.Available() < needed) return impl_->Refuse(account, counted, now);
  if (account.refusals > 0 && now - account.last_refusal > kRefusalPause) {
    LogEvent(log_level::info, "team_cap_met",
             {{"team", QtText(account.name)}, {"refused", account.refusals}});
    account.refusals = 0;
  }
  return team_charge(found->second, counted);
}

void team_usage::SetPeer(absl::string_view peer, uint64_t incarnation,
                         const daemon_use& use, bool ends, absl::Time now) {
  impl_->Advance(now);
  const std::string name(peer);
  const auto [entry, is_new] = impl_->peers.try_emplace(name);
  peer_daemon& daemon = entry->second;
  const bool same_process = !is_new && daemon.incarnation == incarnation;
  if (!same_process || daemon.silent) {
    impl_->announce_all_until = now + kFullAnnouncePeriod;
  }
  if (daemon.silent) impl_->MarkHeard(name, daemon, same_process, now);
  daemon.incarnation = incarnation;
  daemon.heard = now;
  daemon.ends = ends;
  if (is_new) {
    for (auto& [key, account] : impl_->accounts) {
      impl_->AdvanceAccount(*account, now);
      impl_->AssumeUnheard(*account);
    }
  }
  for (const uint32_t key : daemon.holding) {
    if (!use.contains(key)) impl_->ClearHeld(key, name);
  }
  daemon.holding.clear();
  for (const auto& [key, report] : use) {
    const auto account = impl_->accounts.find(key);
    if (account == impl_->accounts.end()) continue;
    impl_->RecordReport(*account->second, name, incarnation, is_new, report,
                        now);
    if (report.held > 0) daemon.holding.push_back(key);
  }
}

daemon_use team_usage::Own(absl::Time now) {
  const bool all = now < impl_->announce_all_until;
  std::vector<std::pair<absl::Time, uint32_t>> used;
  for (auto& [key, account] : impl_->accounts) {
    if (std::exchange(account->has_changed, false)) account->changed = now;
    if (account->sent == 0 && account->held == 0) continue;
    if (!all && account->held == 0 &&
        now - account->changed > kAnnouncePeriod) {
      continue;
    }
    used.emplace_back(account->changed, key);
  }
  if (used.size() > kMaxTeamsInUse) {
    std::sort(used.rbegin(), used.rend());
    used.resize(kMaxTeamsInUse);
  }
  daemon_use use;
  for (const auto& [changed, key] : used) {
    team_account& account = *impl_->accounts[key];
    if (now - account.settled_at >= kSettleTime) {
      account.settled = account.settling;
      account.settling = {RateAt(account.average, now), now};
      account.settled_at = now;
    }
    const double rate = std::clamp(RateAt(account.settled, now), 0.0, 4e9);
    account.announced = {rate, now};
    use[key] = {static_cast<uint32_t>(account.sent), account.held,
                static_cast<uint32_t>(rate)};
  }
  return use;
}

std::vector<team_status> team_usage::Status(absl::Time now) {
  impl_->Advance(now);
  std::vector<team_status> teams;
  for (const auto& [key, account] : impl_->accounts) {
    impl_->AdvanceAccount(*account, now);
    double assumed = account->unheard_taken;
    for (const auto& [name, use] : account->peers) assumed += use.taken;
    teams.push_back(
        {account->name, account->Available(), account->sent, assumed});
  }
  std::sort(teams.begin(), teams.end(), [](const auto& one, const auto& other) {
    return one.name < other.name;
  });
  return teams;
}

}  // namespace anvilridge
