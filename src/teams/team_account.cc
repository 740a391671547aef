#include "teams/team_account.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvilridge {
namespace {

// Time constant of the moving averages of the use by each daemon.
constexpr absl::Duration kAveragingTime = absl::Seconds(4);
// Part of the cap that is divided evenly in the shares of the daemons, so that
// a daemon without recent use has a share too.
constexpr double kEvenPart = 0.05;

}  // namespace

double RateAt(const average_rate& average, absl::Time now) {
  if (average.updated == absl::InfinitePast()) return 0;
  const double elapsed = absl::FDivDuration(
      std::max(absl::ZeroDuration(), now - average.updated), kAveragingTime);
  return average.rate * std::exp(-elapsed);
}

void AddUse(average_rate& average, double units, absl::Time now) {
  average.rate =
      RateAt(average, now) + units / absl::ToDoubleSeconds(kAveragingTime);
  average.updated = now;
}

double team_account::SilentShare() const {
  return std::min(1.0, peers_share + unheard_share);
}

double team_account::TotalUse(size_t daemons, absl::Time now) const {
  const double even = EvenUse(daemons);
  double total = RateAt(announced, now) + even;
  for (const auto& [peer, use] : peers) {
    total += RateAt(use.average, now) + even;
  }
  return total;
}

double team_account::EvenUse(size_t daemons) const {
  return kEvenPart * cap.rate / static_cast<double>(daemons);
}

double team_account::OwnShare(size_t daemons, absl::Time now) const {
  const double own = RateAt(announced, now) + EvenUse(daemons);
  return own / std::max(own, TotalUse(daemons, now));
}

team_charge::team_charge(std::shared_ptr<team_account> account, uint32_t units)
    : account_(std::move(account)), units_(units), holds_(true) {
  account_->held += units_;
  account_->has_changed = true;
}

team_charge::~team_charge() { Release(); }

team_charge::team_charge(team_charge&& other) noexcept
    : account_(std::move(other.account_)),
      units_(other.units_),
      holds_(std::exchange(other.holds_, false)),
      sends_(other.sends_) {}

team_charge& team_charge::operator=(team_charge&& other) noexcept {
  if (this == &other) return *this;
  Release();
  account_ = std::move(other.account_);
  units_ = other.units_;
  holds_ = std::exchange(other.holds_, false);
  sends_ = other.sends_;
  return *this;
}

void team_charge::Release() {
  if (!std::exchange(holds_, false)) return;
  account_->held -= units_;
  account_->has_changed = true;
}

void team_charge::RecordSend(absl::Time now) {
  if (!account_) return;
  Release();
  ++sends_;
  account_->sent += units_;
  account_->level -= units_;
  AddUse(account_->average, units_, now);
  account_->has_changed = true;
}

void team_charge::RecordNotRun(absl::Time now) {
  if (!account_ || sends_ == 0) return;
  --sends_;
  account_->sent -= units_;
  account_->level = std::min(account_->capacity, account_->level + units_);
  AddUse(account_->average, -static_cast<double>(units_), now);
  account_->has_changed = true;
  // Held again, in case that the request is sent to another upstream.
  if (sends_ > 0) return;
  holds_ = true;
  account_->held += units_;
}

}  // namespace anvilridge
