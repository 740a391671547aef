#ifndef ANVILRIDGE_DAEMON_OPERATOR_CANCELS_H_
#define ANVILRIDGE_DAEMON_OPERATOR_CANCELS_H_

#include <cstdint>
#include <map>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "config/config_state.h"

namespace anvilridge {

/// How long each attempt of a request that operators cancelled is looked for.
inline constexpr absl::Duration kCancelLife = absl::Minutes(1);

/// Requests that operators have cancelled lately.
struct operator_cancels {
  /// Whether a configuration was seen: cancels in the first are old.
  bool started = false;
  /// Offset of the last cancel taken over.
  int64_t offset = 0;
  /// By request id, until when it is looked for.
  std::map<std::string, absl::Time, std::less<>> wanted;
};

/// Takes over the cancels that are new in `config`.
void TakeCancels(operator_cancels& cancels, const config_state& config,
                 absl::Time now);

/// Returns whether `attempt`, the id of a request at an engine, belongs to a
/// request that is to be cancelled. Attempts are `REQUEST.NUMBER`.
bool IsCancelled(const operator_cancels& cancels, absl::string_view attempt,
                 absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DAEMON_OPERATOR_CANCELS_H_
