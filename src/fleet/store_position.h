#ifndef ANVILRIDGE_FLEET_STORE_POSITION_H_
#define ANVILRIDGE_FLEET_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace anvilridge {

/// How many times the store has come back from an older copy, as its replies
/// say. Within an era, the store loses nothing that it has acknowledged.
/// `none` stands for a reply without an era, and is before all others.
enum class store_era : int64_t { none = -1 };

/// Number that the store has given out, an offset of a topic or a generation of
/// a group, with its era: a later era gives out the same numbers again. Any
/// position of a later era is after all those of an earlier one.
struct store_position {
  store_era era = store_era::none;
  int64_t number = 0;

  friend bool operator==(const store_position&,
                         const store_position&) = default;
  friend constexpr std::strong_ordering operator<=>(const store_position& a,
                                                    const store_position& b) {
    return a.era != b.era ? a.era <=> b.era : a.number <=> b.number;
  }
};

/// Returns the era of a reply that names `named`, for a receiver that knows of
/// the era `known`: a reply that names none doesn't show a change.
constexpr store_era EraOfReply(store_era named, store_era known) {
  return named == store_era::none ? known : named;
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_FLEET_STORE_POSITION_H_
