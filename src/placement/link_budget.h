#ifndef ANVILRIDGE_PLACEMENT_LINK_BUDGET_H_
#define ANVILRIDGE_PLACEMENT_LINK_BUDGET_H_

#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "config/config_state.h"

namespace anvilridge {

/// Share of a link between two failure domains that one prefill engine may use
/// without coordination with the other engines on the link.
struct link_share {
  /// Name of the link, `FROM>TO`; empty inside a failure domain.
  std::string link;
  /// Rate of the share in KV cache pieces per second; zero for no budget.
  double pieces_per_second = 0;
  /// Longest time from the end of a prefill to the end of its transfer. Engines
  /// keep a result for less than a second; the time beyond the window is left
  /// for transfers that start late.
  absl::Duration window = absl::Milliseconds(600);
};

/// Reserved transfers of one prefill engine. Soft state of the engine's home:
/// if it is lost, it is correct again after one window (`link_share::window`).
struct link_ledger {
  /// Latest end of each transfer if all engines use their full shares, by link
  /// and request id.
  std::map<std::string, std::map<std::string, absl::Time>> transfer_ends;
};

/// Predicted course of a transfer over its link.
struct transfer_forecast {
  /// Whether the transfer ends within the window of the link share.
  bool fits = true;
  /// Time that the transfer waits for the transfers reserved earlier.
  absl::Duration wait;
  /// Duration of the transfer itself at the share's rate; zero without a
  /// budget.
  absl::Duration duration;
  /// Pieces of earlier transfers that are still unsent when the transfer is
  /// ready to begin.
  int pieces_in_flight = 0;
  /// Largest number of pieces in flight: the share's rate times its window.
  int budget_pieces = 0;
};

/// Returns the share of the link from `prefill` to `to_domain`: the configured
/// rate over the prefill engines in the engine's own failure domain, so that
/// the shares of all engines never add up to more than the link.
link_share ComputeLinkShare(const config_state& config,
                            const upstream_config& prefill,
                            absl::string_view to_domain);

/// Predicts the course of a transfer of `pieces` pieces that is ready to begin
/// at `begins`.
transfer_forecast ForecastTransfer(const link_ledger& ledger,
                                   const link_share& share, int pieces,
                                   absl::Time begins);

/// Reserves the link for a transfer of `pieces` pieces that is ready to begin
/// at `begins`, whether it fits or not. Removes the transfers of the link that
/// have ended before `now`. Does nothing for a share without a budget.
void ReserveTransfer(link_ledger& ledger, const link_share& share,
                     const std::string& request_id, int pieces,
                     absl::Time begins, absl::Time now);

/// Removes the transfer of `request_id`; ignores unknown ids.
void ReleaseTransfer(link_ledger& ledger, const std::string& request_id);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_LINK_BUDGET_H_
