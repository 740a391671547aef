#ifndef ANVILRIDGE_CONFIG_CONFIG_PUBLISHER_H_
#define ANVILRIDGE_CONFIG_CONFIG_PUBLISHER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "config/config_follower.h"
#include "config/config_state.h"

namespace anvilridge {

/// Where one command has got to.
enum class publish_phase {
  /// To be appended, at first or again after a lost answer.
  append,
  /// An append is on its way.
  appending,
  /// In the log; not read back yet.
  read_back,
  /// In force here; no other live daemon has it yet.
  spread,
  accepted,
  contested,
  rejected,
  /// Nothing was appended.
  failed
};

/// One command on its way into force: a value without I/O.
struct config_publisher {
  config_command command;
  publish_phase phase = publish_phase::append;
  /// Log offset; zero until it is known.
  int64_t offset = 0;
  /// Whether an append may have taken effect without an answer.
  bool maybe_appended = false;
  absl::Time retry_at = absl::InfinitePast();
  /// Why it was contested, rejected or failed.
  absl::Status error;
};

/// Begins to publish `command`. One that is not valid for `state` is rejected
/// at once; one against a stale version is appended all the same, so that both
/// operators find it contested.
config_publisher BeginPublish(const config_state& state,
                              config_command command);

/// Whether the command is to be appended now.
bool ShouldAppend(const config_publisher& publisher, absl::Time now);

/// Notes that the append was sent.
void OnAppendSent(config_publisher& publisher);

/// Takes the answer to the append. One that may have taken effect is sent
/// again later: the same id counts once.
void OnAppendAnswer(config_publisher& publisher,
                    const absl::StatusOr<int64_t>& offset, absl::Time now);

/// Looks for the command in the state in force and, once it is there, for
/// another live daemon that has it; without another one, force here suffices.
void OnConfigInForce(config_publisher& publisher, const config_state& state,
                     const std::vector<peer_offset>& peers);

/// Whether nothing more will come of the command.
bool IsSettled(const config_publisher& publisher);

/// Returns `pending`, `accepted`, `contested`, `rejected` or `failed`.
absl::string_view PublishStatusName(const config_publisher& publisher);

/// Returns what the command waits for, or why it failed, for a person.
std::string PublishDetail(const config_publisher& publisher);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_CONFIG_PUBLISHER_H_
