#ifndef ANVILRIDGE_FLEET_GROUP_MEMBER_H_
#define ANVILRIDGE_FLEET_GROUP_MEMBER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "fleet/store_position.h"

namespace anvilridge {

/// Reply of the store to a member that joins the group or renews its
/// membership.
struct group_join_reply {
  /// Increases with each change of the group.
  int64_t generation = 0;
  /// Whether the store has assigned the group's first partition to the member.
  bool holds_first_partition = false;
  /// Era of the generation, as the reply names it.
  store_era era = store_era::none;
};

/// Calls to the store that a `group_member` makes. `join` and `owners` call
/// `done` exactly once.
struct group_calls {
  /// Joins the group or renews the membership for `ttl`. `generation` is the
  /// last one received.
  std::function<void(
      const std::string& member, int64_t generation, absl::Duration ttl,
      std::function<void(absl::StatusOr<group_join_reply>)> done)>
      join;
  /// Lists the members that hold a partition.
  std::function<void(
      std::function<void(absl::StatusOr<std::vector<std::string>>)> done)>
      owners;
  /// Leaves the group.
  std::function<void(const std::string& member)> leave;
};

/// Right to send stage orders to engines, which one daemon of the group holds
/// at a time.
struct order_right {
  /// Name of the daemon that holds the right.
  std::string holder;
  /// Greater than the token of every earlier holder, over all eras of the
  /// store.
  int64_t fencing_token = 0;
};

/// Returns the fencing token of a holder that the store has confirmed at
/// `generation` of the group. Tokens rise with the era, then with the
/// generation; without an era, the token is the generation.
/// @return nullopt if the token would reach 2^53, up to which a JSON number is
///     exact, or the generation is too large to be told from a later era.
std::optional<int64_t> FencingToken(store_position generation);

/// Keeps this daemon a member of the store's group of daemons. The group lists
/// the daemons and determines which of them may send stage orders to engines.
/// Must be used on the control thread.
class group_member {
 public:
  /// @param name address at which the other daemons reach this one.
  /// @param lease time after which the store removes a member that has not
  /// renewed its membership.
  /// @param on_members receives the members that hold a partition, once at the
  /// start and then after changes of the group, as often as the listing rate
  /// allows.
  group_member(std::string name, absl::Duration lease, group_calls calls,
               std::function<void(const std::vector<std::string>&)> on_members);
  ~group_member();

  /// Joins the group and then renews the membership periodically.
  void Start();

  /// Sets how many times a second this daemon lists the group while that
  /// changes, on average. Without it, each change is listed.
  void SetListingRate(double per_second);

  /// Leaves the group for good and gives up the right to send orders.
  void Leave();

  /// Returns the right to send orders if this daemon certainly holds it at
  /// `now`: the store confirmed it recently enough within the lease, and the
  /// lease of any earlier holder has expired. After a return of the store from
  /// an older copy, that takes one lease at least.
  std::optional<order_right> OrderRight(absl::Time now) const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_GROUP_MEMBER_H_
