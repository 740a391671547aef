// What a connection keeps for its caller, and which one is ended for others.
#include "base/clock.h"
#include "base/error_kind.h"
#include "caller/caller_connection.h"

namespace anvilridge {
namespace {

/// Bytes that each connection may hold beyond the bound for all.
constexpr int64_t kReservedBytes = 64 << 10;

/// Copies of a body until its answer begins: the request itself, and what is
/// sent to an upstream.
constexpr int64_t kBodyCopies = 3;

}  // namespace

void caller_connection::UpdateHeld() {
  int64_t bytes =
      scanner_.KeptBytes() + socket_->bytesAvailable() + UnsentBytes();
  if (phase_ == phase::answering) {
    bytes += (answer_begun_ ? 1 : kBodyCopies) * body_bytes_;
  }
  CountHeld(bytes);
}

held_connection caller_connection::Held() const {
  held_connection held;
  held.last_progress = last_progress_;
  switch (phase_) {
    case phase::receiving:
      held.bytes = held_bytes_;
      break;
    case phase::flushing:
      if (UnsentBytes() > 0) held.bytes = held_bytes_;
      break;
    case phase::answering:
      // Without unsent bytes it is the upstream that makes no progress.
      held.bytes = UnsentBytes();
      break;
    case phase::idle:
    case phase::lingering:
    case phase::gone:
      break;
  }
  return held;
}

void caller_connection::GiveUpForMemory() {
  if (phase_ == phase::receiving) {
    Refuse(MakeError(error_kind::overloaded,
                     "no memory left for a request that doesn't arrive whole",
                     run_state::not_run, kMemoryRetryAfter));
    return;
  }
  ReportCutOfRequest(cut_reason::no_memory);
  Break(/*reset=*/true);
}

void caller_connection::CountHeld(int64_t bytes) {
  context_.counters->held_bytes += bytes - held_bytes_;
  held_bytes_ = bytes;
}

bool caller_connection::ExceedsHeldBytes() const {
  const port_counters& counters = *context_.counters;
  const int64_t bound = received_bytes_ <= kReservedBytes
                            ? 2 * counters.max_held_bytes
                            : counters.max_held_bytes;
  return counters.held_bytes.load() > bound;
}

void caller_connection::CutWithoutMemory() {
  const port_counters& counters = *context_.counters;
  if (UnsentBytes() <= kReservedBytes ||
      counters.held_bytes.load() <= 2 * counters.max_held_bytes) {
    return;
  }
  ReportCutOfRequest(cut_reason::no_memory);
  Break(/*reset=*/true);
}

}  // namespace anvilridge
