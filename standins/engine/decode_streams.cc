#include "engine/decode_streams.h"

#include "common/token_text.h"

namespace anvilridge {
namespace {

QJsonObject StreamContext(const std::string& request_id) {
  return {{"path", "/v1/decode"},
          {"request_id", QString::fromStdString(request_id)}};
}

// Picks another request of this engine to stand in for `request_id`.
void CrossStream(decode_stream& stream, const engine_state& state,
                 const std::string& request_id) {
  stream.crossed_id = "crossed-" + request_id;
  stream.crossed_seed = TextSeed("crossed", request_id, 0);
  for (const auto& [id, request] : state.requests) {
    if (id == request_id) continue;
    stream.crossed_id = id;
    stream.crossed_seed = request.text_seed;
    return;
  }
}

void TakeStreamFaults(decode_stream& stream, engine_state& state,
                      const std::string& request_id) {
  const QJsonObject context = StreamContext(request_id);
  if (const auto cut = TakeFault(state.faults, "drop_stream_after", context)) {
    stream.tokens_until_cut = cut->value("tokens").toInt(1);
  }
  if (TakeFault(state.faults, "wrong_id", context)) {
    CrossStream(stream, state, request_id);
  }
}

void FenceStream(decode_streams& streams, const std::string& request_id) {
  const auto earlier = streams.find(request_id);
  if (earlier == streams.end()) return;
  const exchange_ptr exchange = earlier->second.exchange;
  streams.erase(earlier);
  exchange->SendEvent({}, {{"fenced", true}});
  exchange->EndEvents(true);
}

void SendToken(decode_stream& stream, const std::string& request_id,
               uint64_t text_seed) {
  const bool crossed = !stream.crossed_id.empty();
  const std::string& shown_id = crossed ? stream.crossed_id : request_id;
  const uint64_t seed = crossed ? stream.crossed_seed : text_seed;
  const std::string token = TokenText(seed, stream.next_index);
  stream.exchange->SendEvent(
      QByteArray::number(stream.next_index),
      {{"token", QString::fromStdString(token)},
       {"index", stream.next_index},
       {"request_id", QString::fromStdString(shown_id)}});
  ++stream.next_index;
}

// Returns whether the fault's limit of tokens has been reached.
bool CutByFault(decode_stream& stream) {
  if (stream.tokens_until_cut < 0) return false;
  if (stream.tokens_until_cut-- > 0) return false;
  stream.exchange->Cut();
  return true;
}

}  // namespace

void AttachStream(decode_streams& streams, engine_state& state,
                  const std::string& request_id, int from,
                  const exchange_ptr& exchange) {
  FenceStream(streams, request_id);
  decode_stream stream;
  stream.exchange = exchange;
  stream.next_index = from;
  TakeStreamFaults(stream, state, request_id);
  const std::string shown_id =
      stream.crossed_id.empty() ? request_id : stream.crossed_id;
  exchange->BeginEvents({{"X-Request-Id", shown_id.c_str()}});
  streams[request_id] = std::move(stream);
  SetAttached(state, request_id, true);
  PumpStream(streams, state, request_id);
}

void PumpStream(decode_streams& streams, engine_state& state,
                const std::string& request_id) {
  const auto found = streams.find(request_id);
  const auto source = FindStream(state, request_id);
  if (found == streams.end() || !source) return;
  decode_stream& stream = found->second;
  while (stream.next_index < source->generated) {
    if (CutByFault(stream)) {
      return DetachStream(streams, state, request_id, stream.exchange.get());
    }
    SendToken(stream, request_id, source->text_seed);
  }
  if (!source->finished) return;
  stream.exchange->SendEvent({},
                             {{"done", true}, {"tokens", source->generated}});
  stream.exchange->EndEvents(false);
  streams.erase(found);
}

void EndCancelledStream(decode_streams& streams,
                        const std::string& request_id) {
  const auto found = streams.find(request_id);
  if (found == streams.end()) return;
  const exchange_ptr exchange = found->second.exchange;
  streams.erase(found);
  exchange->SendEvent({}, {{"cancelled", true}});
  exchange->EndEvents(true);
}

void DetachStream(decode_streams& streams, engine_state& state,
                  const std::string& request_id,
                  const http_exchange* exchange) {
  const auto found = streams.find(request_id);
  if (found == streams.end() || found->second.exchange.get() != exchange) {
    return;
  }
  streams.erase(found);
  SetAttached(state, request_id, false);
}

}  // namespace anvilridge
