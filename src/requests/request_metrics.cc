#include "requests/request_metrics.h"

#include "base/error_kind.h"

namespace anvilridge {

void CountFailure(const request_metrics& metrics, absl::string_view route,
                  const absl::Status& error) {
  const absl::string_view kind = ResultName(error);
  metrics.ended(route, kind);
  if (RunStateOf(error) == run_state::not_run) metrics.refused(kind);
}

absl::string_view ResultName(const absl::Status& status) {
  return status.ok() ? kResultOk : AnswerFor(KindOf(status)).name;
}

}  // namespace anvilridge
