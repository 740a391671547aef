#ifndef ANVILRIDGE_PLANNING_OFFLINE_BOUND_H_
#define ANVILRIDGE_PLANNING_OFFLINE_BOUND_H_

#include "absl/time/time.h"
#include "absl/types/span.h"

namespace anvilridge {

/// One streamed request with its output length, as known in hindsight.
struct stream_arrival {
  absl::Time arrived_at;
  double prompt_tokens = 0;
  double output_tokens = 0;
};

/// Number and peak performance of the model engines of a service.
struct engine_capacity {
  int engines = 0;
  /// KV cache of one engine, in tokens.
  double kv_tokens = 0;
  /// Prefill speed of an engine that does nothing else.
  double prefill_tokens_per_ms = 0;
  /// Duration of a decode step with a single request.
  double step_ms = 0;
};

/// Upper bound on the streams that a service can begin on time.
struct on_time_bound {
  int arrivals = 0;
  /// Most streams that any plan can begin on time, even one that has full
  /// knowledge of future arrivals.
  int max_on_time = 0;
};

/// Returns an upper bound on the `arrivals` that any plan can begin within
/// `latency_target` of their arrival. The bound treats the engines as one large
/// engine that can be divided at will, decodes at its fastest and spends no
/// time on transfers or stage changes. It compares, for each time interval, the
/// engine time that the interval offers with the engine time needed by the
/// streams that must run entirely within it.
on_time_bound BoundStreamsOnTime(absl::Span<const stream_arrival> arrivals,
                                 const engine_capacity& capacity,
                                 absl::Duration latency_target);

}  // namespace anvilridge

#endif  // ANVILRIDGE_PLANNING_OFFLINE_BOUND_H_
