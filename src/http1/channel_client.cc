#include "http1/channel_client.h"

#include <QObject>
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/hash/hash.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "base/clock.h"
#include "base/deadline_queue.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "http1/idle_time.h"
#include "http1/response_reader.h"
#include "http1/tcp_stream.h"
#include "log/decision_log.h"
#include "settings/settings_values.h"

namespace anvilridge {
namespace {

// How long an idle connection is kept when the upstream names no time. Shorter
// than the 5 s that common servers keep one, so that they rarely cross.
constexpr absl::Duration kDefaultIdle = absl::Seconds(4);
// Taken off the time that the upstream names, for the way of its close here.
constexpr absl::Duration kIdleMargin = absl::Milliseconds(700);
// A connection that had been dropped before a call was written to it breaks
// within a round trip; one that breaks later had reached its upstream.
constexpr absl::Duration kDroppedWithin = absl::Milliseconds(40);
// Calls after which a connection is closed, so that the marks it has carried
// stay few.
constexpr int kMaxCallsPerChannel = 1000;
// Most idle connections to one address.
constexpr size_t kMaxIdlePerAddress = 32;

std::string Serialized(const http_call& call) {
  std::string text =
      absl::StrCat(call.method, " ", call.target, " HTTP/1.1\r\n");
  bool has_host = false;
  for (const auto& [name, value] : call.headers) {
    if (name == "host") has_host = true;
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  if (!has_host) absl::StrAppend(&text, "host: ", call.address, "\r\n");
  if (!call.body.empty() || (call.method != "GET" && call.method != "HEAD" &&
                             call.method != "DELETE")) {
    absl::StrAppend(&text, "content-length: ", call.body.size(), "\r\n");
  }
  absl::StrAppend(&text, "\r\n", call.body);
  return text;
}

// The time for which the upstream keeps an idle connection.
absl::Duration IdleTimeOf(const http_headers& headers) {
  const absl::string_view field = HeaderValue(headers, "keep-alive");
  for (absl::string_view part : absl::StrSplit(field, ',')) {
    const std::pair<absl::string_view, absl::string_view> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    int seconds = 0;
    if (absl::StrContains(pair.first, "timeout") &&
        absl::SimpleAtoi(pair.second, &seconds)) {
      return absl::Seconds(seconds) - kIdleMargin;
    }
  }
  return kDefaultIdle;
}

// One connection; carries one call at a time.
struct channel {
  uint64_t id = 0;
  std::string address;
  std::unique_ptr<tcp_stream> stream;
  response_reader reader;
  // The call in progress; 0 for none.
  uint64_t call = 0;
  bool connected = false;
  // Calls written, the one in progress included, and hashes of their marks.
  int calls = 0;
  absl::flat_hash_set<size_t> marks;
  absl::Duration idle_time = kDefaultIdle;
  absl::Time idle_since = absl::InfinitePast();
  // How long it had rested before the call in progress; none for a new one.
  absl::Duration rested = absl::ZeroDuration();
};

size_t MarkHash(const http_call& call) {
  return absl::HashOf(call.answer_mark.second);
}

// Returns whether `used` has carried a call with the mark of `call`.
bool HasCarried(const channel& used, const http_call& call) {
  return !call.answer_mark.first.empty() && used.marks.contains(MarkHash(call));
}

struct call_state {
  call_state(http_call started_call, std::shared_ptr<kept_bytes> ledger)
      : call(std::move(started_call)), kept(std::move(ledger), call.address) {}

  http_call call;
  http_handler handler;
  http_result result;
  uint64_t channel_id = 0;
  absl::Time started;
  absl::Time last_progress;
  // Whether the response being read belongs to an earlier call.
  bool passing_over = false;
  // Body bytes that were buffered or passed over.
  size_t body_bytes = 0;
  // What is kept of the response.
  kept_share kept;
};

}  // namespace

struct channel_client::impl {
  call_id last_id = 0;
  uint64_t last_channel = 0;
  absl::flat_hash_map<call_id, std::unique_ptr<call_state>> calls;
  absl::flat_hash_map<uint64_t, std::unique_ptr<channel>> channels;
  // Ids of idle channels, the one used last at the back.
  std::map<std::string, std::vector<uint64_t>, std::less<>> idle;
  idle_times idle_limits;
  deadline_queue deadlines{[this](call_id id) { CheckDeadline(id); }};
  deadline_queue idle_deadlines{[this](uint64_t id) { Close(id); }};
  QObject context;
  channel_counts counts;
  std::shared_ptr<kept_bytes> kept = std::make_shared<kept_bytes>();

  channel* Find(uint64_t id) {
    const auto found = channels.find(id);
    return found == channels.end() ? nullptr : found->second.get();
  }

  call_state* FindCall(call_id id) {
    const auto found = calls.find(id);
    return found == calls.end() ? nullptr : found->second.get();
  }

  channel* TakeIdle(const http_call& call);
  channel* Open(const http_call& call);
  void Write(channel& used, call_id id);
  void BeginResponse(channel& used);
  void OnConnected(uint64_t id);
  void OnBytes(uint64_t id, absl::string_view bytes);
  void OnEnd(uint64_t id, const absl::Status& end);
  void NoteEnd(const channel& used, const call_state* state);
  void TakeHead(call_id id, channel& used, int status,
                const http_headers& head);
  void TakeBody(call_id id, absl::string_view bytes);
  absl::Status CheckLength(const channel& used, call_state& state) const;
  void Complete(channel& used, bool reusable);
  void Fail(call_id id, const absl::Status& error);
  void Finish(call_id id, absl::Status status);
  void CheckDeadline(call_id id);
  void ArmDeadline(call_id id, const call_state& state);
  void Close(uint64_t id);
};

channel* channel_client::impl::TakeIdle(const http_call& call) {
  const auto found = idle.find(call.address);
  if (found == idle.end()) return nullptr;
  const absl::Time now = MonotonicNow();
  // Closing a connection changes the list.
  const std::vector<uint64_t> ids = found->second;
  for (auto id = ids.rbegin(); id != ids.rend(); ++id) {
    channel* kept = Find(*id);
    if (kept == nullptr) continue;
    // A second copy of the answer to the earlier call would pass for this
    // one's.
    if (HasCarried(*kept, call)) continue;
    const absl::Duration rested = now - kept->idle_since;
    if (rested >= IdleTime(idle_limits, call.address, kept->idle_time, now) ||
        kept->stream->HasUnread()) {
      Close(*id);
      continue;
    }
    std::erase(found->second, *id);
    idle_deadlines.Remove(*id);
    kept->rested = rested;
    return kept;
  }
  return nullptr;
}

channel* channel_client::impl::Open(const http_call& call) {
  const auto peer = ParseEndpoint(call.address);
  if (!peer) return nullptr;
  auto made = std::make_unique<channel>();
  channel* opened = made.get();
  const uint64_t id = ++last_channel;
  opened->id = id;
  opened->address = call.address;
  channels.emplace(id, std::move(made));
  tcp_events events;
  events.on_connected = [this, id] { OnConnected(id); };
  events.on_bytes = [this, id](absl::string_view bytes) { OnBytes(id, bytes); };
  events.on_end = [this, id](const absl::Status& end) { OnEnd(id, end); };
  opened->stream = std::make_unique<tcp_stream>(*peer, std::move(events));
  ++counts.opened;
  return opened;
}

void channel_client::impl::OnConnected(uint64_t id) {
  channel* opened = Find(id);
  if (opened == nullptr) return;
  opened->connected = true;
  if (opened->call != 0) Write(*opened, opened->call);
}

void channel_client::impl::Write(channel& used, call_id id) {
  call_state* state = FindCall(id);
  if (state == nullptr) return;
  state->last_progress = MonotonicNow();
  ArmDeadline(id, *state);
  ++used.calls;
  if (!state->call.answer_mark.first.empty()) {
    used.marks.insert(MarkHash(state->call));
  }
  BeginResponse(used);
  used.stream->Write(Serialized(state->call));
}

void channel_client::impl::BeginResponse(channel& used) {
  const call_id id = used.call;
  const call_state* state = FindCall(id);
  const uint64_t channel_id = used.id;
  response_sink sink;
  sink.on_head = [this, id, channel_id](int status, const http_headers& head) {
    if (channel* reading = Find(channel_id)) {
      TakeHead(id, *reading, status, head);
    }
  };
  sink.on_body = [this, id](absl::string_view bytes) { TakeBody(id, bytes); };
  used.reader.Begin(std::move(sink),
                    state != nullptr && state->call.method == "HEAD");
}

void channel_client::impl::TakeHead(call_id id, channel& used, int status,
                                    const http_headers& head) {
  call_state* state = FindCall(id);
  if (state == nullptr) return;
  used.idle_time = IdleTimeOf(head);
  const auto& [name, value] = state->call.answer_mark;
  const absl::string_view mark =
      name.empty() ? absl::string_view() : HeaderValue(head, name);
  state->passing_over = !mark.empty() && mark != value;
  const bool unmatched = !name.empty() && mark.empty() && used.calls > 1;
  if (state->passing_over || unmatched) {
    LogEvent(log_level::warn, "answer_not_matched",
             {{"upstream", QtText(used.address)},
              {"status", status},
              {"due", QtText(value)},
              {"arrived", QtText(mark)}});
  }
  if (state->passing_over) return;
  if (unmatched) {
    return Fail(id, MakeError(error_kind::upstream_failed,
                              absl::StrCat("an answer without ", name,
                                           " on a connection used before"),
                              run_state::unknown));
  }
  state->result.http_status = status;
  state->result.headers = head;
  if (state->handler.on_headers) state->handler.on_headers(status, head);
}

void channel_client::impl::TakeBody(call_id id, absl::string_view bytes) {
  call_state* state = FindCall(id);
  if (state == nullptr) return;
  if (state->handler.on_data && !state->passing_over) {
    return state->handler.on_data(bytes);
  }
  state->body_bytes += bytes.size();
  if (!state->passing_over) absl::StrAppend(&state->result.body, bytes);
}

// Counts what is kept of a response, and checks it against the bounds. At most
// one read of the connection was added beyond them.
// @return an error if the call must fail.
absl::Status channel_client::impl::CheckLength(const channel& used,
                                               call_state& state) const {
  if (!state.kept.Set(state.result.body.size() + used.reader.HeadBytes())) {
    LogEvent(
        log_level::warn, "answer_exceeds_memory",
        {{"upstream", QtText(used.address)},
         {"target", QtText(state.call.target)},
         {"body_bytes", static_cast<double>(state.body_bytes)},
         {"kept_bytes", static_cast<double>(kept->total)},
         {"bound", static_cast<double>(kept->limits.total)},
         {"upstream_bound", static_cast<double>(kept->limits.per_upstream)}});
    return MakeError(
        error_kind::upstream_failed,
        absl::StrCat("no memory left for the rest of the answer: ", kept->total,
                     " bytes of all answers are kept, the bounds are ",
                     kept->limits.total, " and ", kept->limits.per_upstream,
                     " for one upstream"),
        run_state::unknown);
  }
  if (state.body_bytes > state.call.max_body_bytes) {
    LogEvent(log_level::warn, "answer_too_long",
             {{"upstream", QtText(used.address)},
              {"target", QtText(state.call.target)},
              {"bound", static_cast<double>(state.call.max_body_bytes)}});
    return MakeError(error_kind::upstream_failed,
                     absl::StrCat("the answer is longer than ",
                                  state.call.max_body_bytes, " bytes"));
  }
  return absl::OkStatus();
}

void channel_client::impl::OnBytes(uint64_t id, absl::string_view bytes) {
  channel* used = Find(id);
  if (used == nullptr) return;
  if (used->call == 0) {
    // Nothing is due: an extra answer, or bytes behind a complete one.
    Close(id);
    return;
  }
  const call_id call = used->call;
  if (call_state* state = FindCall(call)) {
    state->last_progress = MonotonicNow();
    ArmDeadline(call, *state);
  }
  while (!bytes.empty()) {
    size_t taken = 0;
    const auto progress = used->reader.Take(bytes, taken);
    // A handler may have cancelled the call, and with it the channel.
    used = Find(id);
    if (used == nullptr || used->call != call) return;
    if (!progress.ok()) return Fail(call, progress.status());
    const bool is_partial = *progress == response_reader::progress::partial;
    call_state* state = FindCall(call);
    if (state != nullptr) {
      const absl::Status length = CheckLength(*used, *state);
      if (!length.ok()) return Fail(call, length);
    }
    if (is_partial) return;
    bytes.remove_prefix(taken);
    if (state != nullptr && state->passing_over) {
      if (!used->reader.KeepAlive()) {
        return Fail(call, MakeError(error_kind::upstream_failed,
                                    "closed behind an extra answer"));
      }
      BeginResponse(*used);
      continue;
    }
    return Complete(*used, bytes.empty() && used->reader.KeepAlive() &&
                               used->stream->UnsentBytes() == 0);
  }
}

void channel_client::impl::Complete(channel& used, bool reusable) {
  const call_id call = std::exchange(used.call, 0);
  const absl::Duration idle_time = used.idle_time;
  std::vector<uint64_t>& ids = idle[used.address];
  if (reusable && idle_time > absl::ZeroDuration() &&
      used.calls < kMaxCallsPerChannel && ids.size() < kMaxIdlePerAddress) {
    used.idle_since = MonotonicNow();
    ids.push_back(used.id);
    idle_deadlines.Set(used.id, used.idle_since + idle_time);
  } else {
    Close(used.id);
  }
  Finish(call, absl::OkStatus());
}

void channel_client::impl::OnEnd(uint64_t id, const absl::Status& end) {
  channel* used = Find(id);
  if (used == nullptr) return;
  if (used->call == 0) return Close(id);
  const call_id call = used->call;
  const call_state* state = FindCall(call);
  const bool ours = state != nullptr && !state->passing_over &&
                    state->result.http_status != 0;
  if (end.ok() && ours && used->reader.TakeClose()) {
    used = Find(id);
    if (used != nullptr && used->call == call) Complete(*used, false);
    return;
  }
  NoteEnd(*used, state);
  const absl::string_view why =
      end.ok() ? "closed before the end of the answer" : end.message();
  Fail(call,
       MakeError(error_kind::upstream_failed,
                 absl::StrCat(used->address, ": ", why),
                 used->connected ? run_state::unknown : run_state::not_run));
}

void channel_client::impl::NoteEnd(const channel& used,
                                   const call_state* state) {
  const absl::Time now = MonotonicNow();
  if (state == nullptr || used.rested == absl::ZeroDuration() ||
      state->result.http_status != 0 || now - state->started > kDroppedWithin) {
    return;
  }
  NoteIdleBreak(idle_limits, used.address, used.rested, now);
  LogEvent(log_level::info, "idle_connection_dropped",
           {{"upstream", QtText(used.address)},
            {"rested_ms",
             static_cast<double>(absl::ToInt64Milliseconds(used.rested))}});
}

void channel_client::impl::Fail(call_id id, const absl::Status& error) {
  call_state* state = FindCall(id);
  if (state == nullptr) return;
  if (channel* used = Find(state->channel_id)) {
    used->call = 0;
    Close(used->id);
  }
  Finish(id, error);
}

void channel_client::impl::Finish(call_id id, absl::Status status) {
  const auto found = calls.find(id);
  if (found == calls.end()) return;
  const std::unique_ptr<call_state> state = std::move(found->second);
  calls.erase(found);
  deadlines.Remove(id);
  state->result.status = std::move(status);
  if (state->handler.on_done) {
    state->handler.on_done(std::move(state->result));
  }
}

void channel_client::impl::ArmDeadline(call_id id, const call_state& state) {
  const channel* used = Find(state.channel_id);
  absl::Time due = std::min(state.started + state.call.timeout,
                            state.last_progress + state.call.stall_timeout);
  if (used != nullptr && !used->connected) {
    due = std::min(due, state.started + state.call.connect_timeout);
  }
  deadlines.Set(id, due);
}

void channel_client::impl::CheckDeadline(call_id id) {
  const call_state* state = FindCall(id);
  if (state == nullptr) return;
  const channel* used = Find(state->channel_id);
  const bool connected = used != nullptr && used->connected;
  Fail(id, MakeError(error_kind::upstream_stalled,
                     absl::StrCat(state->call.address,
                                  connected ? ": no progress in time"
                                            : ": no connection in time"),
                     connected ? run_state::unknown : run_state::not_run));
}

void channel_client::impl::Close(uint64_t id) {
  const auto found = channels.find(id);
  if (found == channels.end()) return;
  channel* gone = found->second.release();
  channels.erase(found);
  idle_deadlines.Remove(id);
  const auto kept = idle.find(gone->address);
  if (kept != idle.end()) std::erase(kept->second, id);
  gone->stream.reset();
  // Its reader may be the one that is calling.
  PostTo(&context, [gone = std::shared_ptr<channel>(gone)] {});
}

channel_client::channel_client() : impl_(std::make_unique<impl>()) {}
channel_client::~channel_client() = default;

channel_client::call_id channel_client::Start(http_call call,
                                              http_handler handler) {
  const call_id id = ++impl_->last_id;
  auto made = std::make_unique<call_state>(std::move(call), impl_->kept);
  call_state& state = *made;
  state.handler = std::move(handler);
  state.started = MonotonicNow();
  state.last_progress = state.started;
  impl_->calls.emplace(id, std::move(made));
  channel* used = impl_->TakeIdle(state.call);
  if (used != nullptr) {
    ++impl_->counts.reused;
    used->call = id;
    state.channel_id = used->id;
    impl_->Write(*used, id);
    return id;
  }
  used = impl_->Open(state.call);
  if (used == nullptr) {
    PostTo(&impl_->context, [this, id] {
      impl_->Finish(id, MakeError(error_kind::upstream_failed, "not an address",
                                  run_state::not_run));
    });
    return id;
  }
  used->call = id;
  state.channel_id = used->id;
  impl_->ArmDeadline(id, state);
  return id;
}

void channel_client::Cancel(call_id id) {
  const auto found = impl_->calls.find(id);
  if (found == impl_->calls.end()) return;
  const std::unique_ptr<call_state> state = std::move(found->second);
  impl_->calls.erase(found);
  impl_->deadlines.Remove(id);
  if (channel* used = impl_->Find(state->channel_id)) {
    used->call = 0;
    impl_->Close(used->id);
  }
}

void channel_client::Forget(absl::string_view address) {
  const auto found = impl_->idle.find(address);
  if (found == impl_->idle.end()) return;
  const std::vector<uint64_t> ids = found->second;
  for (uint64_t id : ids) impl_->Close(id);
}

size_t channel_client::ActiveCalls() const { return impl_->calls.size(); }

channel_counts channel_client::Counts() const { return impl_->counts; }

const std::shared_ptr<kept_bytes>& channel_client::Kept() const {
  return impl_->kept;
}

}  // namespace anvilridge
