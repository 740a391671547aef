#include "engine/request_changes.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace anvilridge {
namespace {

constexpr size_t kMaxGone = 10'000;

void NoteRequest(request_changes& changes, const held_request& request) {
  const auto [it, added] = changes.noted.try_emplace(request.id);
  noted_request& noted = it->second;
  const bool same = !added && noted.owner == request.owner &&
                    noted.phase == request.phase &&
                    noted.attached == request.attached;
  if (same) return;
  noted = {request.owner, request.phase, request.attached, changes.version};
}

void NoteGone(request_changes& changes, const engine_state& state) {
  for (auto it = changes.noted.begin(); it != changes.noted.end();) {
    if (state.requests.count(it->first) > 0) {
      ++it;
      continue;
    }
    changes.gone.push_back({it->first, changes.version});
    it = changes.noted.erase(it);
  }
  while (changes.gone.size() > kMaxGone) {
    changes.known_after = changes.gone.front().version;
    changes.gone.pop_front();
  }
}

}  // namespace

void NoteChanges(request_changes& changes, const engine_state& state) {
  ++changes.version;
  for (const auto& [id, request] : state.requests) {
    NoteRequest(changes, request);
  }
  NoteGone(changes, state);
}

std::string VersionText(const request_changes& changes) {
  return absl::StrCat(changes.run, ".", changes.version);
}

std::optional<changed_requests> ChangesSince(const request_changes& changes,
                                             absl::string_view since) {
  const std::string prefix = absl::StrCat(changes.run, ".");
  int64_t version = 0;
  if (!absl::ConsumePrefix(&since, prefix)) return std::nullopt;
  if (!absl::SimpleAtoi(since, &version)) return std::nullopt;
  if (version < changes.known_after || version > changes.version) {
    return std::nullopt;
  }
  changed_requests result;
  for (const auto& [id, noted] : changes.noted) {
    if (noted.changed > version) result.changed.insert(id);
  }
  for (const gone_request& gone : changes.gone) {
    if (gone.version > version) result.gone.push_back(gone.id);
  }
  return result;
}

}  // namespace anvilridge
