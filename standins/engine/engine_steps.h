#ifndef ANVILRIDGE_STANDINS_ENGINE_ENGINE_STEPS_H_
#define ANVILRIDGE_STANDINS_ENGINE_ENGINE_STEPS_H_

#include <string>
#include <vector>

#include "engine/engine_model.h"

namespace anvilridge {

/// Returns the pieces that hold `tokens`.
int PiecesFor(int tokens);

/// Returns the pieces held by all requests.
int PiecesHeld(const engine_state& state);

/// Starts computing a chunk of the prefill that comes first by priority and
/// arrival, if none is being computed.
void StartChunk(engine_state& state, absl::Time now);

/// Ends the chunk that is due.
void EndChunk(engine_state& state, absl::Time now,
              std::vector<engine_event>& events);

/// Starts a decode step of all requests that decode, if none is in progress.
void StartBatch(engine_state& state, absl::Time now);

/// Ends the decode step that is due: one token for each of its requests.
void EndBatch(engine_state& state, absl::Time now,
              std::vector<engine_event>& events);

/// Ends the decoding of `request`, which is forgotten but for its output.
void FinishDecode(engine_state& state, const held_request& request,
                  absl::Time now);

/// Adds the load of now to the history behind the lagged report.
void RecordLoad(engine_state& state, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_STANDINS_ENGINE_ENGINE_STEPS_H_
