#include "daemon/operator_cancels.h"

#include <algorithm>

namespace anvilridge {

void TakeCancels(operator_cancels& cancels, const config_state& config,
                 absl::Time now) {
  std::erase_if(cancels.wanted,
                [now](const auto& entry) { return entry.second <= now; });
  for (const request_cancel& cancel : config.cancels) {
    if (cancel.offset <= cancels.offset) continue;
    cancels.offset = cancel.offset;
    if (cancels.started) cancels.wanted[cancel.request_id] = now + kCancelLife;
  }
  cancels.started = true;
}

bool IsCancelled(const operator_cancels& cancels, absl::string_view attempt,
                 absl::Time now) {
  const absl::string_view request = attempt.substr(0, attempt.rfind('.'));
  const auto found = cancels.wanted.find(request);
  return found != cancels.wanted.end() && now < found->second;
}

}  // namespace anvilridge
