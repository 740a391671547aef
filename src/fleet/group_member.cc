#include "fleet/group_member.h"

#include <QJsonObject>
#include <QObject>
#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Joins within one lease: two may be lost before the store gives up a member.
constexpr int kJoinsPerLease = 3;
// Part of the lease in which an order may still be sent: the rest is for its
// way and for clocks that run apart.
constexpr double kUsableShare = 0.6;

}  // namespace

struct group_member::impl : std::enable_shared_from_this<impl> {
  std::string name;
  absl::Duration lease;
  group_calls calls;
  std::function<void(const std::vector<std::string>&)> on_members;
  QObject context;
  int64_t generation = 0;
  int64_t owners_of = -1;
  bool holds = false;
  // Since when the store has confirmed it without a break, and when the last
  // call that did was sent.
  absl::Time held_since = absl::InfiniteFuture();
  absl::Time confirmed = absl::InfinitePast();
  bool left = false;

  void Join() {
    if (left) return;
    const absl::Time sent = MonotonicNow();
    const std::weak_ptr<impl> weak = weak_from_this();
    calls.join(name, generation, lease,
               [weak, sent](const absl::StatusOr<group_standing>& standing) {
                 if (const auto self = weak.lock()) {
                   self->TakeStanding(standing, sent);
                 }
               });
  }

  void TakeStanding(const absl::StatusOr<group_standing>& standing,
                    absl::Time sent) {
    RunAfter(&context, lease / kJoinsPerLease, [this] { Join(); });
    if (!standing.ok()) return;
    const bool lapsed = sent - confirmed > lease;
    confirmed = sent;
    const bool changed =
        std::exchange(generation, standing->generation) != standing->generation;
    if (std::exchange(holds, standing->holds_first) != standing->holds_first) {
      LogEvent(log_level::info, holds ? "order_right_held" : "order_right_lost",
               {{"generation", static_cast<double>(generation)}});
      held_since = MonotonicNow();
    } else if (lapsed) {
      held_since = MonotonicNow();
    }
    if (changed || owners_of != generation) FetchOwners();
  }

  void FetchOwners() {
    const std::weak_ptr<impl> weak = weak_from_this();
    calls.owners([weak, of = generation](
                     const absl::StatusOr<std::vector<std::string>>& members) {
      const auto self = weak.lock();
      if (!self || !members.ok()) return;
      self->owners_of = of;
      LogEvent(log_level::info, "daemons_listed",
               {{"generation", static_cast<double>(of)},
                {"daemons", static_cast<int>(members->size())}});
      self->on_members(*members);
    });
  }
};

group_member::group_member(
    std::string name, absl::Duration lease, group_calls calls,
    std::function<void(const std::vector<std::string>&)> on_members)
    : impl_(std::make_shared<impl>()) {
  impl_->name = std::move(name);
  impl_->lease = lease;
  impl_->calls = std::move(calls);
  impl_->on_members = std::move(on_members);
}

group_member::~group_member() = default;

void group_member::Start() { impl_->Join(); }

void group_member::Leave() {
  impl_->left = true;
  impl_->holds = false;
  impl_->calls.leave(impl_->name);
}

std::optional<order_right> group_member::OrderRight(absl::Time now) const {
  const impl& self = *impl_;
  if (!self.holds || now - self.confirmed > self.lease * kUsableShare) {
    return std::nullopt;
  }
  // An earlier holder may act until its lease is over.
  if (now - self.held_since < self.lease) return std::nullopt;
  return order_right{self.name, self.generation};
}

}  // namespace anvilridge
