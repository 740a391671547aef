#include "upstreams/engine_client.h"

#include <array>
#include <memory>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "upstreams/engine_list.h"
#include "upstreams/json_reader.h"

namespace anvilridge {
namespace {

/// For calls that an engine answers from memory.
constexpr absl::Duration kQueryTimeout = absl::Seconds(2);
constexpr absl::Duration kOrderTimeout = absl::Seconds(5);
/// Refusals longer than this are cut.
constexpr size_t kMaxRefusalBytes = 4096;
/// Longest body of a refused decode that is read to its end. The call fails if
/// the engine sends more.
constexpr size_t kMaxRefusalBodyBytes = 64 << 10;

constexpr int kHttpOk = 200;
constexpr int kHttpAccepted = 202;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

struct phase_name {
  absl::string_view name;
  engine_phase phase;
};

constexpr std::array<phase_name, 6> kPhaseNames = {{
    {"queued", engine_phase::queued},
    {"prefill", engine_phase::prefill},
    {"exportable", engine_phase::exportable},
    {"transfer", engine_phase::transfer},
    {"ready", engine_phase::ready},
    {"decode", engine_phase::decode},
}};

engine_phase ReadPhase(json_reader& reader) {
  const std::string text = ReadText(reader, "phase");
  for (const phase_name& row : kPhaseNames) {
    if (row.name == text) return row.phase;
  }
  if (reader.status.ok()) {
    reader.status = MakeError(error_kind::upstream_failed,
                              "malformed answer: unknown phase");
  }
  return engine_phase::queued;
}

/// Makes the error of an answer that is not the one asked for. Engines refuse
/// with a client error, or with 503 or 504 and a reason; any other server
/// error leaves open what the engine did.
absl::Status RefusalOf(int http_status, absl::string_view body) {
  std::string reason = absl::StrCat("http ", http_status);
  absl::StatusOr<json_reader> parsed = ParseJson(body);
  const bool has_reason = parsed.ok() && parsed->object["error"].isString();
  if (has_reason) reason = ReadText(*parsed, "error");
  const bool client_error = http_status >= 400 && http_status < 500;
  const bool busy =
      http_status == kHttpUnavailable || http_status == kHttpGatewayTimeout;
  if (client_error || (busy && has_reason)) {
    return MakeError(error_kind::upstream_refused, reason);
  }
  return MakeError(error_kind::upstream_failed, reason);
}

http_call MakeGet(absl::string_view address, std::string target) {
  http_call call;
  call.address = std::string(address);
  call.target = std::move(target);
  call.repeatable = true;
  call.timeout = kQueryTimeout;
  return call;
}

http_call MakePost(absl::string_view address, absl::string_view target,
                   const QJsonObject& body, absl::Duration timeout,
                   bool repeatable) {
  http_call call;
  call.method = "POST";
  call.address = std::string(address);
  call.target = std::string(target);
  call.headers = {{"content-type", "application/json"}};
  call.body = JsonText(body);
  call.timeout = timeout;
  call.repeatable = repeatable;
  return call;
}

/// Parses a whole answer by `parse`, which notes its errors in the reader.
template <typename T>
absl::StatusOr<T> ParseAnswer(const http_result& result,
                              const std::function<T(json_reader&)>& parse) {
  if (!result.status.ok()) return result.status;
  if (result.http_status != kHttpOk && result.http_status != kHttpAccepted) {
    return RefusalOf(result.http_status, result.body);
  }
  absl::StatusOr<json_reader> reader = ParseJson(result.body);
  if (!reader.ok()) return reader.status();
  T value = parse(*reader);
  if (!reader->status.ok()) return reader->status;
  return value;
}

template <typename T>
http_client::call_id StartCall(http_client& client, http_call call,
                               std::function<T(json_reader&)> parse,
                               engine_callback<T> done) {
  http_handler handler;
  handler.on_done = [parse = std::move(parse),
                     done = std::move(done)](const http_result& result) {
    done(ParseAnswer<T>(result, parse));
  };
  return client.Start(std::move(call), std::move(handler));
}

/// Takes over the first error of a reader of a part.
void KeepError(json_reader& whole, const json_reader& part) {
  if (whole.status.ok()) whole.status = part.status;
}

engine_request ParseRequest(json_reader& reader) {
  engine_request request;
  request.request_id = ReadText(reader, "request_id");
  request.owner = ReadText(reader, "owner");
  request.phase = ReadPhase(reader);
  request.pieces = ReadInt(reader, "pieces");
  request.prompt_tokens = ReadInt(reader, "prompt_tokens");
  request.generated = ReadInt(reader, "generated");
  request.max_tokens = ReadInt(reader, "max_tokens");
  request.age = absl::Milliseconds(ReadInteger(reader, "age_ms"));
  request.attached = ReadBool(reader, "attached");
  return request;
}

std::vector<engine_request> ParseRequests(json_reader& reader) {
  std::vector<engine_request> requests;
  const QJsonArray rows = ReadArray(reader, "requests");
  for (const auto& row : rows) {
    json_reader part = ReaderOf(row);
    requests.push_back(ParseRequest(part));
    KeepError(reader, part);
  }
  return requests;
}

engine_list ParseList(json_reader& reader) {
  engine_list list;
  // Engines that can't give changes name no version.
  list.version = reader.object["version"].toString().toStdString();
  list.since = reader.object["since"].toString().toStdString();
  list.requests = ParseRequests(reader);
  if (list.since.empty()) return list;
  const QJsonArray gone = ReadArray(reader, "gone");
  for (const auto& id : gone) list.gone.push_back(id.toString().toStdString());
  return list;
}

engine_load ParseLoad(json_reader& reader) {
  engine_load load;
  load.slots = ReadInt(reader, "slots");
  load.slots_used = ReadInt(reader, "slots_used");
  load.pieces = ReadInt(reader, "pieces");
  load.pieces_used = ReadInt(reader, "pieces_used");
  load.queued = ReadInt(reader, "queued");
  load.queued_tokens = ReadInt(reader, "queued_tokens");
  return load;
}

cache_event ParseCacheEvent(json_reader& reader) {
  cache_event event;
  event.seq = ReadInteger(reader, "seq");
  const std::string op = ReadText(reader, "op");
  event.stored = op == "stored";
  event.prefix = ReadText(reader, "prefix");
  if (!event.stored && op != "evicted" && reader.status.ok()) {
    reader.status =
        MakeError(error_kind::upstream_failed, "malformed answer: unknown op");
  }
  return event;
}

cache_events ParseCacheEvents(json_reader& reader) {
  cache_events result;
  const QJsonArray rows = ReadArray(reader, "events");
  for (const auto& row : rows) {
    json_reader part = ReaderOf(row);
    result.events.push_back(ParseCacheEvent(part));
    KeepError(reader, part);
  }
  result.last_seq = ReadInteger(reader, "last_seq");
  return result;
}

/// An answer that names another request than the one asked for is not ours.
void CheckRequestId(json_reader& reader, absl::string_view request_id) {
  const std::string answered = ReadText(reader, "request_id");
  if (!reader.status.ok() || answered == request_id) return;
  reader.status = MakeError(error_kind::upstream_failed,
                            "the answer belongs to another request");
}

prefill_result ParsePrefill(json_reader& reader, absl::string_view request_id) {
  CheckRequestId(reader, request_id);
  prefill_result result;
  result.kv_handle = ReadText(reader, "kv_handle");
  result.prompt_tokens = ReadInt(reader, "prompt_tokens");
  result.cached_tokens = ReadInt(reader, "cached_tokens");
  result.pieces = ReadInt(reader, "pieces");
  result.expires_in = absl::Milliseconds(ReadInteger(reader, "expires_in_ms"));
  return result;
}

template <typename Call>
void AddGenerated(QJsonObject& body, const Call& call) {
  if (call.generated_tokens == 0) return;
  body["generated"] = ToQString(call.generated);
  body["generated_tokens"] = call.generated_tokens;
}

QJsonObject PrefillBody(const prefill_call& call) {
  QJsonObject body{{"request_id", ToQString(call.request_id)},
                   {"owner", ToQString(call.owner)},
                   {"model", ToQString(call.model)},
                   {"prompt", ToQString(call.prompt)},
                   {"max_tokens", call.max_tokens},
                   {"priority", call.priority}};
  AddGenerated(body, call);
  return body;
}

QJsonObject ImportBody(const import_call& call) {
  QJsonObject body{{"request_id", ToQString(call.request_id)},
                   {"owner", ToQString(call.owner)},
                   {"source", ToQString(call.source)},
                   {"kv_handle", ToQString(call.kv_handle)},
                   {"pieces", call.pieces},
                   {"prompt", ToQString(call.prompt)},
                   {"prompt_tokens", call.prompt_tokens},
                   {"max_tokens", call.max_tokens},
                   {"priority", call.priority}};
  AddGenerated(body, call);
  return body;
}

QJsonObject OrderBody(const engine_order& order) {
  return {{"order", ToQString(order.order)},
          {"model", ToQString(order.model)},
          {"version", ToQString(order.version)},
          {"adapter", ToQString(order.adapter)},
          {"role", ToQString(order.role)},
          {"fence", static_cast<qint64>(order.fence)}};
}

/// What a decode call has been answered so far.
struct decode_answer {
  http_client::call_id call = 0;
  int http_status = 0;
  /// First `kMaxRefusalBytes` of a refusal's body.
  std::string refusal;
  /// Bytes of the body that have arrived.
  size_t refusal_bytes = 0;
};

void AppendRefusal(decode_answer& answer, absl::string_view bytes) {
  answer.refusal_bytes += bytes.size();
  absl::StrAppend(&answer.refusal,
                  bytes.substr(0, kMaxRefusalBytes - answer.refusal.size()));
}

absl::Status RefusalTooLong(const decode_answer& answer) {
  return MakeError(
      error_kind::upstream_failed,
      absl::StrCat("the body of a refusal with status ", answer.http_status,
                   " is longer than ", kMaxRefusalBodyBytes, " bytes"),
      run_state::unknown);
}

absl::Status DecodeEnd(const http_result& result, const decode_answer& answer) {
  if (!result.status.ok()) return result.status;
  if (result.http_status == kHttpOk) return absl::OkStatus();
  return RefusalOf(result.http_status, answer.refusal);
}

}  // namespace

http_client::call_id ListEngineRequests(
    http_client& client, absl::string_view address,
    engine_callback<std::vector<engine_request>> done) {
  return StartCall<std::vector<engine_request>>(
      client, MakeGet(address, "/v1/requests"), ParseRequests, std::move(done));
}

http_client::call_id ListEngineChanges(http_client& client,
                                       absl::string_view address,
                                       absl::string_view since,
                                       engine_callback<engine_list> done) {
  const std::string target = absl::StrCat("/v1/requests?since=", since);
  return StartCall<engine_list>(client, MakeGet(address, target), ParseList,
                                std::move(done));
}

http_client::call_id GetEngineLoad(http_client& client,
                                   absl::string_view address,
                                   engine_callback<engine_load> done) {
  return StartCall<engine_load>(client, MakeGet(address, "/v1/load"), ParseLoad,
                                std::move(done));
}

http_client::call_id GetCacheEvents(http_client& client,
                                    absl::string_view address, int64_t after,
                                    engine_callback<cache_events> done) {
  const std::string target = absl::StrCat("/v1/cache/events?after=", after);
  return StartCall<cache_events>(client, MakeGet(address, target),
                                 ParseCacheEvents, std::move(done));
}

http_client::call_id StartPrefill(http_client& client,
                                  absl::string_view address,
                                  const prefill_call& call,
                                  absl::Duration timeout,
                                  engine_callback<prefill_result> done) {
  const auto parse = [id = call.request_id](json_reader& reader) {
    return ParsePrefill(reader, id);
  };
  return StartCall<prefill_result>(
      client,
      MakePost(address, "/v1/prefill", PrefillBody(call), timeout, false),
      parse, std::move(done));
}

http_client::call_id StartImport(http_client& client, absl::string_view address,
                                 const import_call& call,
                                 absl::Duration timeout,
                                 engine_callback<std::string> done) {
  const auto parse = [id = call.request_id](json_reader& reader) {
    CheckRequestId(reader, id);
    return id;
  };
  return StartCall<std::string>(
      client, MakePost(address, "/v1/import", ImportBody(call), timeout, false),
      parse, std::move(done));
}

http_client::call_id StartDecode(http_client& client, absl::string_view address,
                                 absl::string_view request_id,
                                 absl::string_view owner, int from,
                                 absl::Duration stall_timeout,
                                 std::function<void(absl::string_view)> on_data,
                                 std::function<void(absl::Status)> done) {
  const QJsonObject body = {{"request_id", ToQString(request_id)},
                            {"owner", ToQString(owner)},
                            {"from", from}};
  http_call call =
      MakePost(address, "/v1/decode", body, absl::InfiniteDuration(), false);
  call.headers.emplace_back("accept", "text/event-stream");
  call.stall_timeout = stall_timeout;
  const auto answer = std::make_shared<decode_answer>();
  http_handler handler;
  handler.on_headers = [answer](int http_status, const http_headers&) {
    answer->http_status = http_status;
  };
  handler.on_data = [&client, answer, done,
                     on_data = std::move(on_data)](absl::string_view bytes) {
    if (answer->http_status == kHttpOk) return on_data(bytes);
    AppendRefusal(*answer, bytes);
    if (answer->refusal_bytes <= kMaxRefusalBodyBytes) return;
    client.Cancel(answer->call);
    done(RefusalTooLong(*answer));
  };
  handler.on_done = [answer,
                     done = std::move(done)](const http_result& result) {
    done(DecodeEnd(result, *answer));
  };
  answer->call = client.Start(std::move(call), std::move(handler));
  return answer->call;
}

http_client::call_id CancelEngineRequest(http_client& client,
                                         absl::string_view address,
                                         absl::string_view request_id,
                                         absl::string_view owner,
                                         engine_callback<bool> done) {
  const QJsonObject body = {{"request_id", ToQString(request_id)},
                            {"owner", ToQString(owner)}};
  return StartCall<bool>(
      client, MakePost(address, "/v1/cancel", body, kQueryTimeout, true),
      [](json_reader& reader) { return ReadBool(reader, "cancelled"); },
      std::move(done));
}

http_client::call_id AdoptEngineRequest(http_client& client,
                                        absl::string_view address,
                                        absl::string_view request_id,
                                        absl::string_view owner,
                                        absl::string_view new_owner,
                                        engine_callback<bool> done) {
  const QJsonObject body = {{"request_id", ToQString(request_id)},
                            {"owner", ToQString(owner)},
                            {"new_owner", ToQString(new_owner)}};
  return StartCall<bool>(
      client, MakePost(address, "/v1/adopt", body, kQueryTimeout, true),
      [](json_reader& reader) { return ReadBool(reader, "adopted"); },
      std::move(done));
}

http_client::call_id SendEngineOrder(http_client& client,
                                     absl::string_view address,
                                     const engine_order& order,
                                     engine_callback<bool> done) {
  return StartCall<bool>(
      client,
      MakePost(address, "/v1/orders", OrderBody(order), kOrderTimeout, false),
      [](json_reader& reader) { return ReadBool(reader, "accepted"); },
      std::move(done));
}

}  // namespace anvilridge
