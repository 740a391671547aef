#include "upstreams/engine_list.h"

#include <algorithm>

#include "base/error_kind.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kLongestWithoutWhole = absl::Seconds(30);

void Age(engine_request& row, absl::Duration elapsed,
         absl::Duration token_interval) {
  row.age += elapsed;
  if (row.phase != engine_phase::decode) return;
  const auto tokens = static_cast<int>(
      std::min(elapsed / token_interval, int64_t{row.max_tokens}));
  row.generated = std::min(row.generated + tokens, row.max_tokens);
}

}  // namespace

std::string VersionToAsk(const listed_requests& known, absl::Time now) {
  const bool fresh = now - known.whole < kLongestWithoutWhole;
  return fresh ? known.version : "";
}

absl::StatusOr<std::vector<engine_request>> TakeEngineList(
    listed_requests& known, const engine_list& list,
    absl::Duration token_interval, absl::Time now) {
  const bool whole = list.since.empty();
  if (!whole && list.since != known.version) {
    known = {};
    return MakeError(error_kind::upstream_failed,
                     "the changes follow another list");
  }
  if (whole) {
    known.rows.clear();
    known.whole = now;
  }
  for (auto& [id, row] : known.rows) {
    Age(row, now - known.listed, token_interval);
  }
  for (const std::string& id : list.gone) known.rows.erase(id);
  for (const engine_request& row : list.requests) {
    known.rows.insert_or_assign(row.request_id, row);
  }
  known.version = list.version;
  known.listed = now;
  std::vector<engine_request> rows;
  rows.reserve(known.rows.size());
  for (const auto& [id, row] : known.rows) rows.push_back(row);
  return rows;
}

}  // namespace anvilridge
