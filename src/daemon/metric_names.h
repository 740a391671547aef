#ifndef ANVILRIDGE_DAEMON_METRIC_NAMES_H_
#define ANVILRIDGE_DAEMON_METRIC_NAMES_H_

#include "metrics/metrics.h"

namespace anvilridge {

// Every metric of the daemon beside those of the process; docs/OPERATING.md
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

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_METRIC_NAMES_H_
