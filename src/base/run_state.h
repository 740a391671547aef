#ifndef ANVILRIDGE_BASE_RUN_STATE_H_
#define ANVILRIDGE_BASE_RUN_STATE_H_

#include "absl/strings/string_view.h"

namespace anvilridge {

/// Whether a request was executed by an upstream.
enum class run_state { not_run, ran, unknown };

/// Returns the stable name: `not_run`, `ran` or `unknown`.
constexpr absl::string_view RunStateName(run_state state) {
  switch (state) {
    case run_state::not_run:
      return "not_run";
    case run_state::ran:
      return "ran";
    case run_state::unknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_RUN_STATE_H_
