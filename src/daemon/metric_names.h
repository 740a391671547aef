#ifndef ANVILRIDGE_DAEMON_METRIC_NAMES_H_
#define ANVILRIDGE_DAEMON_METRIC_NAMES_H_

#include "metrics/metrics.h"

namespace anvilridge {

// Every metric of the daemon beside those of the process; docs/OPERATIONS.md
// says what to do about them.

inline constexpr metric_name kLogOut{
    "anvil_log_out", "1 while the log service does not answer."};
inline constexpr metric_name kConfigOffset{
    "anvil_config_offset", "Log offset of the configuration in force."};
inline constexpr metric_name kLiveDaemons{
    "anvil_live_daemons", "Daemons that this one believes to be serving."};
inline constexpr metric_name kControlBytes{
    "anvil_control_bytes", "Bytes to and from other daemons, by channel."};
inline constexpr metric_name kCancelsPending{
    "anvil_cancels_pending", "Cancels that no engine has confirmed."};
inline constexpr metric_name kRequestsActive{"anvil_requests_active",
                                             "Requests in progress."};
inline constexpr metric_name kUpstreamsEjected{
    "anvil_upstreams_ejected", "Upstreams without new work for failing calls."};
inline constexpr metric_name kUpstreamsLeaving{
    "anvil_upstreams_leaving", "Upstreams without new work because of orders."};
inline constexpr metric_name kConfigAge{
    "anvil_config_age_seconds",
    "How long the log has not answered, or another daemon has had a later "
    "configuration."};
inline constexpr metric_name kConnections{"anvil_connections",
                                          "Callers' open connections."};

inline constexpr metric_name kRequests{
    "anvil_requests_total",
    "Requests that ended, by route and result: ok, caller_left, "
    "upstream_error or an error kind."};
inline constexpr metric_name kServedInTarget{
    "anvil_served_in_target_total",
    "Completions answered whole, with the first token and the mean time "
    "between tokens within the route's targets, by route."};
inline constexpr metric_name kRefusals{
    "anvil_refusals_total",
    "Requests refused with the promise that they did not run, by error kind."};
inline constexpr metric_name kRetries{
    "anvil_retries_total", "Further attempts at other upstreams, by route."};
inline constexpr metric_name kFirstToken{
    "anvil_first_token_seconds",
    "Time from a completion's arrival to its first token, by decode pool."};
inline constexpr metric_name kTokenInterval{
    "anvil_token_interval_seconds",
    "Time between tokens of a completion, by decode pool."};
inline constexpr metric_name kPlacements{
    "anvil_placements_total",
    "Placements of attempts, by result: ok or an error kind."};
inline constexpr metric_name kPlaceWait{
    "anvil_place_wait_seconds",
    "Time from asking for a place until it was granted or refused."};
inline constexpr metric_name kPrefillTokens{
    "anvil_prefill_tokens_total", "Tokens of prefills that finished."};
inline constexpr metric_name kWastedPrefillTokens{
    "anvil_wasted_prefill_tokens_total",
    "Tokens of prefills that finished and of which no token was decoded."};
inline constexpr metric_name kClaims{
    "anvil_claims_total",
    "Claims of keys that ended, by outcome: replayed, settled, released, "
    "unknown or an error kind."};
inline constexpr metric_name kOrphansCancelled{
    "anvil_orphans_cancelled_total",
    "Requests cancelled at engines because no daemon serves them."};

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_METRIC_NAMES_H_
