#include "peer/peer_http2.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "peer/peer_header.h"

namespace anvilridge {
namespace {

constexpr uint32_t kMaxConcurrentStreams = 10000;
constexpr uint32_t kStreamWindowBytes = 1 << 20;
constexpr int32_t kConnectionWindowBytes = 16 << 20;

/// One stream: what has arrived of it and what is still to be sent.
struct peer_stream {
  peer_header header;
  QByteArray received;
  QByteArray outgoing;
  qsizetype sent = 0;
  bool complete = false;
  /// Given up by this side: nothing more is told of it.
  bool abandoned = false;
};

absl::string_view TextOf(const uint8_t* bytes, size_t length) {
  return {reinterpret_cast<const char*>(bytes), length};
}

ssize_t ReadOutgoing(nghttp2_session*, int32_t, uint8_t* buffer, size_t length,
                     uint32_t* flags, nghttp2_data_source* source, void*) {
  auto& stream = *static_cast<peer_stream*>(source->ptr);
  const qsizetype left = stream.outgoing.size() - stream.sent;
  const qsizetype count = std::min(left, static_cast<qsizetype>(length));
  std::memcpy(buffer, stream.outgoing.constData() + stream.sent,
              static_cast<size_t>(count));
  stream.sent += count;
  if (stream.sent == stream.outgoing.size()) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return count;
}

bool EndsStream(const nghttp2_frame& frame) {
  return (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

}  // namespace

// nghttp2's callbacks only change streams and queue what to tell; `Tell` runs
// the queue after nghttp2 has returned.
struct peer_http2::impl {
  peer_side side;
  peer_http2_events events;
  nghttp2_session* session = nullptr;
  absl::flat_hash_map<int32_t, std::unique_ptr<peer_stream>> streams;
  std::vector<std::function<void()>> untold;
  bool authorized = false;
  bool refused = false;
  bool closed = false;

  impl(peer_side side, peer_http2_events events);
  ~impl();

  void MakeNghttp2Session();
  void SubmitSettings();

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame,
                            void* user);
  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                      const uint8_t* name, size_t name_length,
                      const uint8_t* value, size_t value_length, uint8_t flags,
                      void* user);
  static int OnData(nghttp2_session*, uint8_t flags, int32_t stream,
                    const uint8_t* data, size_t length, void* user);
  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user);
  static int OnFrameNotSent(nghttp2_session*, const nghttp2_frame* frame,
                            int error, void* user);
  static int OnStreamClose(nghttp2_session*, int32_t stream,
                           uint32_t error_code, void* user);

  peer_stream* Find(int32_t id);
  void CheckKey(int32_t id, const peer_stream& stream);
  void Complete(int32_t id, peer_stream& stream);
  void TellCall(int32_t id);
  void EndStream(int32_t id, run_state ran);
  void Tell();
  void AppendOutput(qsizetype limit, QByteArray& output);
};

peer_http2::impl::impl(peer_side side, peer_http2_events events)
    : side(side), events(std::move(events)) {
  MakeNghttp2Session();
  SubmitSettings();
}

peer_http2::impl::~impl() { nghttp2_session_del(session); }

void peer_http2::impl::MakeNghttp2Session() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                          &OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
  nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks,
                                                           &OnFrameNotSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &OnStreamClose);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_peer_max_concurrent_streams(option, kMaxConcurrentStreams);
  nghttp2_option_set_no_closed_streams(option, 1);
  if (side == peer_side::client) {
    nghttp2_session_client_new2(&session, callbacks, this, option);
  } else {
    nghttp2_session_server_new2(&session, callbacks, this, option);
  }
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
}

void peer_http2::impl::SubmitSettings() {
  const std::array<nghttp2_settings_entry, 2> settings = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxConcurrentStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes},
  }};
  nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindowBytes);
}

int peer_http2::impl::OnBeginHeaders(nghttp2_session*,
                                     const nghttp2_frame* frame, void* user) {
  auto& self = *static_cast<impl*>(user);
  if (frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    self.streams[frame->hd.stream_id] = std::make_unique<peer_stream>();
  }
  return 0;
}

int peer_http2::impl::OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                               const uint8_t* name, size_t name_length,
                               const uint8_t* value, size_t value_length,
                               uint8_t, void* user) {
  peer_stream* stream = static_cast<impl*>(user)->Find(frame->hd.stream_id);
  // Fields of trailers are not read.
  if (stream == nullptr || frame->headers.cat == NGHTTP2_HCAT_HEADERS) return 0;
  TakeField(stream->header, TextOf(name, name_length),
            TextOf(value, value_length));
  return 0;
}

int peer_http2::impl::OnData(nghttp2_session*, uint8_t, int32_t id,
                             const uint8_t* data, size_t length, void* user) {
  auto& self = *static_cast<impl*>(user);
  peer_stream* stream = self.Find(id);
  if (stream == nullptr || self.refused) return 0;
  const auto added = static_cast<qsizetype>(length);
  if (stream->received.size() + added > kMaxPeerBodyBytes) {
    nghttp2_submit_rst_stream(self.session, NGHTTP2_FLAG_NONE, id,
                              NGHTTP2_ENHANCE_YOUR_CALM);
    return 0;
  }
  stream->received.append(reinterpret_cast<const char*>(data), added);
  return 0;
}

int peer_http2::impl::OnFrame(nghttp2_session*, const nghttp2_frame* frame,
                              void* user) {
  auto& self = *static_cast<impl*>(user);
  const int32_t id = frame->hd.stream_id;
  const bool headers = frame->hd.type == NGHTTP2_HEADERS;
  if (!headers && frame->hd.type != NGHTTP2_DATA) return 0;
  peer_stream* stream = self.Find(id);
  if (stream == nullptr) return 0;
  if (headers && frame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    self.CheckKey(id, *stream);
  }
  if (EndsStream(*frame)) self.Complete(id, *stream);
  return 0;
}

int peer_http2::impl::OnFrameNotSent(nghttp2_session*,
                                     const nghttp2_frame* frame, int,
                                     void* user) {
  const bool call = frame->hd.type == NGHTTP2_HEADERS &&
                    frame->headers.cat == NGHTTP2_HCAT_REQUEST;
  if (call) {
    static_cast<impl*>(user)->EndStream(frame->hd.stream_id,
                                        run_state::not_run);
  }
  return 0;
}

int peer_http2::impl::OnStreamClose(nghttp2_session*, int32_t id,
                                    uint32_t error_code, void* user) {
  const bool refused = error_code == NGHTTP2_REFUSED_STREAM;
  static_cast<impl*>(user)->EndStream(
      id, refused ? run_state::not_run : run_state::unknown);
  return 0;
}

peer_stream* peer_http2::impl::Find(int32_t id) {
  const auto found = streams.find(id);
  return found == streams.end() ? nullptr : found->second.get();
}

void peer_http2::impl::CheckKey(int32_t id, const peer_stream& stream) {
  if (refused) return;
  if (events.authorize(stream.header.key)) {
    authorized = true;
    return;
  }
  refused = true;
  const std::string status = absl::StrCat(kPeerStatusForbidden);
  const nghttp2_nv field = MakeField(":status", status);
  nghttp2_submit_response(session, id, &field, 1, nullptr);
}

void peer_http2::impl::Complete(int32_t id, peer_stream& stream) {
  if (refused || stream.complete || stream.abandoned) return;
  stream.complete = true;
  if (side == peer_side::server) {
    untold.emplace_back([this, id] { TellCall(id); });
    return;
  }
  // The stream itself may be gone by the time that this is told.
  peer_answer answer{stream.header.http_status, std::move(stream.received)};
  untold.emplace_back(
      [this, id, answer = std::move(answer)] { events.on_answer(id, answer); });
}

void peer_http2::impl::TellCall(int32_t id) {
  peer_stream* stream = Find(id);
  // A call that was given up in the meantime is not run.
  if (stream == nullptr) return;
  // Moved out, since an answer given at once may end the stream.
  const peer_request request{std::move(stream->header.method),
                             std::move(stream->header.repeated),
                             std::move(stream->received)};
  events.on_call(id, request);
}

void peer_http2::impl::EndStream(int32_t id, run_state ran) {
  const auto found = streams.find(id);
  if (found == streams.end()) return;
  const bool tell = side == peer_side::client && !found->second->complete &&
                    !found->second->abandoned;
  streams.erase(found);
  if (!tell) return;
  untold.emplace_back([this, id, ran] { events.on_reset(id, ran); });
}

void peer_http2::impl::Tell() {
  std::vector<std::function<void()>> told;
  told.swap(untold);
  for (const auto& tell : told) {
    if (closed) return;
    tell();
  }
}

void peer_http2::impl::AppendOutput(qsizetype limit, QByteArray& output) {
  while (output.size() < limit) {
    const uint8_t* bytes = nullptr;
    const ssize_t count = nghttp2_session_mem_send(session, &bytes);
    if (count <= 0) break;
    output.append(reinterpret_cast<const char*>(bytes), count);
  }
}

peer_http2::peer_http2(peer_side side, peer_http2_events events)
    : impl_(std::make_unique<impl>(side, std::move(events))) {}

peer_http2::~peer_http2() = default;

absl::Status peer_http2::Receive(const QByteArray& bytes) {
  const ssize_t taken = nghttp2_session_mem_recv(
      impl_->session, reinterpret_cast<const uint8_t*>(bytes.constData()),
      static_cast<size_t>(bytes.size()));
  impl_->Tell();
  if (taken >= 0) return absl::OkStatus();
  return MakeError(error_kind::upstream_failed,
                   nghttp2_strerror(static_cast<int>(taken)));
}

QByteArray peer_http2::TakeOutput(qsizetype limit) {
  QByteArray output;
  impl_->AppendOutput(limit, output);
  if (impl_->refused) {
    // Once told to terminate, nghttp2 sends nothing but that: the refusal must
    // have been taken before.
    nghttp2_session_terminate_session(impl_->session, NGHTTP2_NO_ERROR);
    impl_->AppendOutput(limit, output);
  }
  impl_->Tell();
  return output;
}

absl::StatusOr<int32_t> peer_http2::SubmitCall(const peer_request& request,
                                               absl::string_view key) {
  const bool takes_calls =
      !impl_->closed &&
      nghttp2_session_check_request_allowed(impl_->session) != 0;
  if (!takes_calls) {
    return MakeError(error_kind::upstream_failed,
                     "the connection takes no more calls", run_state::not_run);
  }
  auto stream = std::make_unique<peer_stream>();
  stream->outgoing = request.body;
  const std::string path = absl::StrCat("/", request.method);
  const std::vector<nghttp2_nv> fields = CallFields(request, path, key);
  nghttp2_data_provider provider{};
  provider.source.ptr = stream.get();
  provider.read_callback = &ReadOutgoing;
  const int32_t id =
      nghttp2_submit_request(impl_->session, nullptr, fields.data(),
                             fields.size(), &provider, nullptr);
  if (id < 0) {
    return MakeError(error_kind::upstream_failed, nghttp2_strerror(id),
                     run_state::not_run);
  }
  impl_->streams[id] = std::move(stream);
  return id;
}

void peer_http2::SubmitAnswer(int32_t id, peer_answer answer) {
  peer_stream* stream = impl_->Find(id);
  if (stream == nullptr || impl_->closed) return;
  stream->outgoing = std::move(answer.body);
  const std::string status = absl::StrCat(answer.http_status);
  const nghttp2_nv field = MakeField(":status", status);
  nghttp2_data_provider provider{};
  provider.source.ptr = stream;
  provider.read_callback = &ReadOutgoing;
  nghttp2_submit_response(impl_->session, id, &field, 1, &provider);
}

void peer_http2::Reset(int32_t id) {
  peer_stream* stream = impl_->Find(id);
  if (stream == nullptr || impl_->closed) return;
  stream->abandoned = true;
  nghttp2_submit_rst_stream(impl_->session, NGHTTP2_FLAG_NONE, id,
                            NGHTTP2_CANCEL);
}

void peer_http2::Ping() {
  if (impl_->closed) return;
  nghttp2_submit_ping(impl_->session, NGHTTP2_FLAG_NONE, nullptr);
}

void peer_http2::Close() { impl_->closed = true; }

bool peer_http2::WantsToSend() const {
  return nghttp2_session_want_write(impl_->session) != 0;
}

bool peer_http2::IsOver() const {
  return nghttp2_session_want_read(impl_->session) == 0 && !WantsToSend();
}

bool peer_http2::Authorized() const { return impl_->authorized; }
bool peer_http2::Refused() const { return impl_->refused; }
size_t peer_http2::OpenStreams() const { return impl_->streams.size(); }

}  // namespace anvilridge
