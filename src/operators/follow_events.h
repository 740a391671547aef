#ifndef ANVILRIDGE_OPERATORS_FOLLOW_EVENTS_H_
#define ANVILRIDGE_OPERATORS_FOLLOW_EVENTS_H_

#include <memory>
#include <string>
#include <vector>

#include "caller/caller_port.h"
#include "config/config_state.h"

namespace anvilridge {

/// One open stream of `follow`.
struct history_follower {
  std::shared_ptr<inbound_exchange> exchange;
  /// Sees this team's entries only; empty for operators.
  std::string team;
};

using follower_list = std::vector<history_follower>;

/// Adds a stream; those that were closed are dropped.
void AddFollower(follower_list& followers, history_follower follower);

/// Sends the entries of `config` after offset `after` as server-sent events
/// with the offset as id.
void SendHistory(follower_list& followers, const config_state& config,
                 int64_t after);

/// Sends a comment to each stream.
void SendKeepAlive(follower_list& followers);

/// Ends all streams.
void EndAll(follower_list& followers);

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_FOLLOW_EVENTS_H_
