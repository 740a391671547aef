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

namespace anvilridge {

/// What the store answers to a member that joins or stays.
struct group_standing {
  /// Grows with each change of the group.
  int64_t generation = 0;
  /// Whether the first partition of the group belongs to the member.
  bool holds_first = false;
};

/// The calls that a member makes. Each ends with one call of `done`.
struct group_calls {
  /// Joins, or stays for `ttl` more; `generation` is the last one received.
  std::function<void(const std::string& member, int64_t generation,
                     absl::Duration ttl,
                     std::function<void(absl::StatusOr<group_standing>)> done)>
      join;
  /// Lists the members that hold a partition.
  std::function<void(
      std::function<void(absl::StatusOr<std::vector<std::string>>)> done)>
      owners;
  std::function<void(const std::string& member)> leave;
};

/// The right to order engines about, as far as this daemon knows.
struct order_right {
  std::string holder;
  /// Greater than that of every earlier holder.
  int64_t fencing_token = 0;
};

/// Keeps this daemon in the group of all daemons, by the store: who they are,
/// and which one of them may order engines about. Lives on the control thread.
class group_member {
 public:
  /// @param name this daemon's address for the others.
  /// @param lease how long the store keeps a member that it doesn't hear.
  group_member(std::string name, absl::Duration lease, group_calls calls,
               std::function<void(const std::vector<std::string>&)> on_members);
  ~group_member();

  void Start();
  void Leave();

  /// Returns the right to order while this daemon certainly holds it: the store
  /// confirmed it within the lease, and no earlier holder can still act.
  std::optional<order_right> OrderRight(absl::Time now) const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_GROUP_MEMBER_H_
