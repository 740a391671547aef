#ifndef ANVILRIDGE_PLACEMENT_LINK_BUDGET_H_
#define ANVILRIDGE_PLACEMENT_LINK_BUDGET_H_

#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "config/config_state.h"

namespace anvilridge {

/// The part of a link between two failure domains that one prefill engine may
/// use without asking anyone.
struct link_share {
  /// `FROM>TO`; empty inside a failure domain.
  std::string link;
  /// KV cache pieces per second; zero for no budget.
  double pieces_per_second = 0;
  /// Longest time from the end of a prefill to the end of its transfer. Engines
  /// keep a result for under a second; the rest is left for what starts late.
  absl::Duration window = absl::Milliseconds(600);
};

/// Transfers of one prefill engine in flight: when each has ended at the latest
/// if all engines use their whole shares, by link and request. Soft state of
/// the engine's home, right again a window after it was lost.
struct link_ledger {
  std::map<std::string, std::map<std::string, absl::Time>> transfer_ends;
};

/// What a transfer would find on its link.
struct transfer_forecast {
  /// Whether it ends within the window.
  bool fits = true;
  /// Time that it waits for those promised before.
  absl::Duration queue;
  /// Time from then on to its end, at the share's rate; zero without a budget.
  absl::Duration sending;
  /// Pieces promised and not sent by then, and the most there may be.
  int pieces_in_flight = 0;
  int budget_pieces = 0;
};

/// Returns the share of the link from `prefill` to `to_domain`: the configured
/// rate over the prefill engines in the engine's own failure domain, so that
/// the shares of all engines never add up to more than the link.
link_share ShareOfLink(const config_state& config,
                       const upstream_config& prefill,
                       absl::string_view to_domain);

/// Says how a transfer of `pieces` that begins at `begins` would fare.
transfer_forecast ForecastTransfer(const link_ledger& ledger,
                                   const link_share& share, int pieces,
                                   absl::Time begins);

/// Promises the transfer that was forecast; those that have ended by `now` are
/// forgotten. Does nothing for a share without a budget.
void PromiseTransfer(link_ledger& ledger, const link_share& share,
                     const std::string& request_id, int pieces,
                     absl::Time begins, absl::Time now);

/// Forgets the transfer of `request_id`; unknown ids are ignored.
void ReleaseTransfer(link_ledger& ledger, const std::string& request_id);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLACEMENT_LINK_BUDGET_H_
