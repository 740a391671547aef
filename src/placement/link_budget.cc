#include "placement/link_budget.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

const link_config* FindLink(const config_state& config, absl::string_view from,
                            absl::string_view to) {
  for (const auto& [name, link] : config.links) {
    if (absl::string_view(link.from_domain) != from) continue;
    if (absl::string_view(link.to_domain) == to) return &link;
  }
  return nullptr;
}

bool IsPrefillEngine(const config_state& config,
                     const upstream_config& upstream) {
  const auto pool = config.pools.find(upstream.pool);
  return pool != config.pools.end() && pool->second.role == pool_role::prefill;
}

// Counts draining engines too, because they still send their results.
int CountPrefillEngines(const config_state& config, absl::string_view domain) {
  int engines = 0;
  for (const auto& [name, upstream] : config.upstreams) {
    const bool in_domain = absl::string_view(upstream.failure_domain) == domain;
    if (in_domain && IsPrefillEngine(config, upstream)) ++engines;
  }
  return engines;
}

absl::Duration TimeToSend(const link_share& share, int pieces) {
  return absl::Seconds(pieces / share.pieces_per_second);
}

}  // namespace

link_share ComputeLinkShare(const config_state& config,
                            const upstream_config& prefill,
                            absl::string_view to_domain) {
  link_share share;
  const std::string& from = prefill.failure_domain;
  if (to_domain.empty() || to_domain == absl::string_view(from)) return share;
  share.link = absl::StrCat(from, ">", to_domain);
  const link_config* link = FindLink(config, from, to_domain);
  if (link == nullptr) return share;
  share.pieces_per_second =
      link->pieces_per_second / std::max(1, CountPrefillEngines(config, from));
  return share;
}

transfer_forecast ForecastTransfer(const link_ledger& ledger,
                                   const link_share& share, int pieces,
                                   absl::Time begins) {
  transfer_forecast forecast;
  if (share.pieces_per_second <= 0) return forecast;
  absl::Time free_at = begins;
  const auto link = ledger.transfer_ends.find(share.link);
  if (link != ledger.transfer_ends.end()) {
    for (const auto& [id, ends] : link->second) {
      free_at = std::max(free_at, ends);
    }
  }
  forecast.wait = free_at - begins;
  forecast.duration = TimeToSend(share, pieces);
  forecast.fits = forecast.wait + forecast.duration <= share.window;
  forecast.pieces_in_flight = static_cast<int>(
      share.pieces_per_second * absl::ToDoubleSeconds(forecast.wait));
  forecast.budget_pieces = static_cast<int>(
      share.pieces_per_second * absl::ToDoubleSeconds(share.window));
  return forecast;
}

void ReserveTransfer(link_ledger& ledger, const link_share& share,
                     const std::string& request_id, int pieces,
                     absl::Time begins, absl::Time now) {
  if (share.pieces_per_second <= 0) return;
  auto& ends = ledger.transfer_ends[share.link];
  std::erase_if(ends, [now](const auto& entry) { return entry.second < now; });
  const transfer_forecast forecast =
      ForecastTransfer(ledger, share, pieces, begins);
  ends[request_id] = begins + forecast.wait + forecast.duration;
}

void ReleaseTransfer(link_ledger& ledger, const std::string& request_id) {
  for (auto& [link, ends] : ledger.transfer_ends) ends.erase(request_id);
}

}  // namespace anvilridge
