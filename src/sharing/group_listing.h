#ifndef ANVILRIDGE_SHARING_GROUP_LISTING_H_
#define ANVILRIDGE_SHARING_GROUP_LISTING_H_

namespace anvilridge {

/// What a daemon knows of the daemons of its deployment from their messages.
struct group_knowledge {
  /// Number of daemons, this one included.
  int daemons = 1;
  /// Daemons that the store has listed and that are no longer heard.
  int silent = 0;

  bool operator==(const group_knowledge&) const = default;
};

/// Listings per second that all daemons of a group make together while it
/// changes.
inline constexpr double kGroupListingsPerSecond = 4;

/// Returns how many times a second this daemon lists the group while that
/// changes. A daemon that starts is known from its own messages, and one that
/// stops announces it, so a listing is needed only for those that have ended
/// without a message, and now and then for those that messages don't reach.
/// Load pattern: many daemons are stopped and started in turn. If each daemon
/// listed the group at each change, the calls to the store would grow with the
/// square of their number.
/// @return infinite if the group is to be listed at its next change.
double GroupListingRate(const group_knowledge& knowledge);

}  // namespace anvilridge

#endif  // ANVILRIDGE_SHARING_GROUP_LISTING_H_
