#ifndef ANVILRIDGE_PLANNING_OFFLINE_BOUND_H_
#define ANVILRIDGE_PLANNING_OFFLINE_BOUND_H_

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace anvilridge {

/// One streamed request, as it is known when all is over.
struct stream_arrival {
  absl::Time at;
  double prompt_tokens = 0;
  double output_tokens = 0;
};

/// What the model engines of a service can do at most.
struct engine_capacity {
  int engines = 0;
  /// Tokens of KV memory of one engine.
  double kv_tokens = 0;
  /// Speed at which an engine that does nothing else reads prompts.
  double prefill_tokens_per_ms = 0;
  /// Time of a decode step with a single request.
  double step_ms = 0;
};

/// How many streams could be on time.
struct service_bound {
  int arrivals = 0;
  /// No plan serves more than these on time, however much it knows of what
  /// will come.
  int most_on_time = 0;
};

/// Returns an upper bound for any plan that begins each stream within
/// `latency_target` of its arrival. Engines are taken as one large one that may
/// be split at will, decodes at its quickest and pays neither transfers nor
/// changes of stage: what must be under way within a span can't need more of it
/// than the span has.
service_bound BoundOnTime(absl::Span<const stream_arrival> arrivals,
                          const engine_capacity& capacity,
                          absl::Duration latency_target);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLANNING_OFFLINE_BOUND_H_
