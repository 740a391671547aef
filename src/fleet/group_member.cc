#include "fleet/group_member.h"

#include <QJsonObject>
#include <QObject>
#include <algorithm>
#include <limits>
#include <utility>

#include "absl/random/random.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

// Join calls within one lease. Two may be lost before the store removes the
// member.
constexpr int kJoinsPerLease = 3;
// Fraction of the lease in which an order may be sent. The rest covers the time
// for the order to arrive and clocks that run at different rates.
constexpr double kUsableLeaseFraction = 0.6;
// Bits of a fencing token for the generation; the era has those above them. A
// JSON number holds 53 bits exactly.
constexpr int kGenerationBits = 32;
constexpr int kTokenBits = 53;

}  // namespace

struct group_member::impl : std::enable_shared_from_this<impl> {
  std::string name;
  absl::Duration lease;
  group_calls calls;
  std::function<void(const std::vector<std::string>&)> on_members;
  QObject context;
  // Generation in the last reply of the store.
  store_position generation;
  // Generation whose members were listed last; unset before the first listing.
  std::optional<store_position> listed_generation;
  // Whether the store has assigned the group's first partition to this daemon.
  bool holds_partition = false;
  // When `holds_partition` last changed or was confirmed again after a
  // lease without confirmation.
  absl::Time held_since = absl::InfiniteFuture();
  // When the last join call with a successful reply was sent.
  absl::Time last_confirmed = absl::InfinitePast();
  bool left = false;
  // Listings a second while the group changes.
  double listing_rate = std::numeric_limits<double>::infinity();
  absl::BitGen random;

  void Join() {
    if (left) return;
    const absl::Time sent_at = MonotonicNow();
    const std::weak_ptr<impl> weak = weak_from_this();
    calls.join(name, generation.number, lease,
               [weak, sent_at](const absl::StatusOr<group_join_reply>& reply) {
                 if (const auto self = weak.lock()) {
                   self->HandleJoinReply(reply, sent_at);
                 }
               });
  }

  void HandleJoinReply(const absl::StatusOr<group_join_reply>& reply,
                       absl::Time sent_at) {
    RunAfter(&context, lease / kJoinsPerLease, [this] { Join(); });
    if (!reply.ok()) return;
    if (!MayFollow(*reply)) return;
    const store_position next = {EraOfReply(reply->era, generation.era),
                                 reply->generation};
    const bool joined_before = last_confirmed != absl::InfinitePast();
    const bool is_new_era = joined_before && next.era > generation.era;
    if (is_new_era) LogNewEra(next);
    const bool lease_expired = sent_at - last_confirmed > lease;
    last_confirmed = sent_at;
    generation = next;
    // An older copy may name a holder that had lost the right since, and the
    // last holder of the earlier era may send orders until its lease expires.
    if (lease_expired || is_new_era) held_since = MonotonicNow();
    if (std::exchange(holds_partition, reply->holds_first_partition) !=
        reply->holds_first_partition) {
      LogEvent(log_level::info,
               holds_partition ? "order_right_held" : "order_right_lost",
               {{"generation", static_cast<double>(generation.number)},
                {"era", static_cast<double>(generation.era)}});
      held_since = MonotonicNow();
    }
    if (IsListingDue()) FetchOwners();
  }

  // Returns whether `reply` isn't older than the known generation. Without an
  // era it confirms only that generation: era and generation of a token come
  // from one reply.
  bool MayFollow(const group_join_reply& reply) const {
    if (generation.era == store_era::none) return true;
    if (reply.era == store_era::none) {
      return reply.generation == generation.number;
    }
    return store_position{reply.era, reply.generation} >= generation;
  }

  void LogNewEra(store_position next) const {
    LogEvent(log_level::warn, "store_era_began",
             {{"topic", "daemons"},
              {"era", static_cast<double>(next.era)},
              {"generation", static_cast<double>(next.number)},
              {"era_before", static_cast<double>(generation.era)},
              {"generation_before", static_cast<double>(generation.number)}});
  }

  // Returns whether the group is listed after a join call. The draw spreads the
  // listings of all daemons over time.
  bool IsListingDue() {
    if (listed_generation == generation) return false;
    if (!listed_generation) return true;
    const double chance =
        listing_rate * absl::ToDoubleSeconds(lease / kJoinsPerLease);
    return chance >= 1 || absl::Bernoulli(random, chance);
  }

  void FetchOwners() {
    const std::weak_ptr<impl> weak = weak_from_this();
    calls.owners([weak, requested_generation = generation](
                     const absl::StatusOr<std::vector<std::string>>& members) {
      const auto self = weak.lock();
      if (!self || !members.ok()) return;
      self->listed_generation = requested_generation;
      LogEvent(
          log_level::info, "daemons_listed",
          {{"generation", static_cast<double>(requested_generation.number)},
           {"daemons", static_cast<int>(members->size())}});
      self->on_members(*members);
    });
  }
};

std::optional<int64_t> FencingToken(store_position generation) {
  constexpr int64_t kGenerations = int64_t{1} << kGenerationBits;
  constexpr int64_t kEras = int64_t{1} << (kTokenBits - kGenerationBits);
  const int64_t era = generation.era == store_era::none
                          ? 0
                          : static_cast<int64_t>(generation.era);
  if (era < 0 || era >= kEras || generation.number < 0 ||
      generation.number >= kGenerations) {
    return std::nullopt;
  }
  return era * kGenerations + generation.number;
}

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

void group_member::SetListingRate(double per_second) {
  impl_->listing_rate = per_second;
}

void group_member::Leave() {
  impl_->left = true;
  impl_->holds_partition = false;
  impl_->calls.leave(impl_->name);
}

std::optional<order_right> group_member::OrderRight(absl::Time now) const {
  const impl& self = *impl_;
  if (!self.holds_partition ||
      now - self.last_confirmed > self.lease * kUsableLeaseFraction) {
    return std::nullopt;
  }
  // An earlier holder may send orders until its lease expires.
  if (now - self.held_since < self.lease) return std::nullopt;
  const std::optional<int64_t> token = FencingToken(self.generation);
  if (!token) return std::nullopt;
  return order_right{self.name, *token};
}

}  // namespace anvilridge
