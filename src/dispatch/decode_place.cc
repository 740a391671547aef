#include "dispatch/decode_place.h"

#include <utility>

namespace anvilridge {
namespace {

bool IsRunning(const decode_place& place) {
  return std::holds_alternative<running_decode>(place);
}

}  // namespace

bool IsQueued(const decode_place& place) {
  return std::holds_alternative<queued_decode>(place);
}

std::optional<fleet_upstream> ReservedEngine(const decode_place& place) {
  const auto* reserved = std::get_if<reserved_decode>(&place);
  if (!reserved) return std::nullopt;
  return reserved->engine;
}

bool EnterQueue(decode_place& place) {
  if (IsQueued(place) || IsRunning(place)) return false;
  place = queued_decode{};
  return true;
}

bool ReserveEngine(decode_place& place, const fleet_upstream& engine) {
  if (IsRunning(place)) return false;
  place = reserved_decode{engine};
  return true;
}

std::optional<reserved_decode> BeginDecode(decode_place& place) {
  auto* reserved = std::get_if<reserved_decode>(&place);
  if (!reserved) return std::nullopt;
  reserved_decode begun = std::move(*reserved);
  place = running_decode{};
  return begun;
}

void EndDecode(decode_place& place, const fleet_upstream& engine) {
  if (IsRunning(place)) place = reserved_decode{engine};
}

}  // namespace anvilridge
