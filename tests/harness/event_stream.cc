#include <sys/socket.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "absl/strings/match.h"
#include "harness/curl_request.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

/// Splits bytes into server-sent events.
struct event_splitter {
  std::string line;
  test_event pending;

  void Feed(absl::string_view bytes, std::vector<test_event>& events) {
    for (const char c : bytes) {
      if (c != '\n') {
        line += c;
        continue;
      }
      TakeLine(events);
      line.clear();
    }
  }

  void TakeLine(std::vector<test_event>& events) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (line.empty()) {
      if (!pending.data.empty()) events.push_back(pending);
      pending = {};
    } else if (absl::StartsWith(line, "id:")) {
      pending.id = Value();
    } else if (absl::StartsWith(line, "event:")) {
      pending.event = Value();
    } else if (absl::StartsWith(line, "data:")) {
      if (!pending.data.empty()) pending.data += '\n';
      pending.data += Value();
    }
  }

  std::string Value() const {
    const size_t colon = line.find(':');
    const size_t skip = colon + 1 < line.size() && line[colon + 1] == ' ';
    return line.substr(colon + 1 + skip);
  }
};

}  // namespace

struct event_stream::impl {
  mutable std::mutex mutex;
  std::condition_variable changed;
  test_answer answer;
  std::vector<test_event> events;
  event_splitter splitter;
  bool ended = false;
  std::atomic<bool> cut = false;
  std::atomic<bool> stopped = false;
  int socket = -1;
  std::thread reader;

  void SetSocket(int opened) {
    const std::lock_guard lock(mutex);
    socket = opened;
  }

  void Read(const test_request& request) {
    curl_sinks sinks;
    sinks.on_header = [this](absl::string_view line) {
      const std::lock_guard lock(mutex);
      AddHeaderLine(answer, line);
      return !cut;
    };
    sinks.on_body = [this](absl::string_view bytes) {
      return TakeBytes(bytes);
    };
    sinks.on_open = [this](int opened) { SetSocket(opened); };
    sinks.on_close = [this] { SetSocket(-1); };
    std::string error = PerformRequest(request, sinks);
    const std::lock_guard lock(mutex);
    answer.error = std::move(error);
    ended = true;
    changed.notify_all();
  }

  bool TakeBytes(absl::string_view bytes) {
    std::unique_lock lock(mutex);
    changed.wait(lock, [this] { return !stopped || cut; });
    if (cut) return false;
    answer.body.append(bytes.data(), bytes.size());
    splitter.Feed(bytes, events);
    changed.notify_all();
    return true;
  }

  template <typename Predicate>
  bool Wait(absl::Duration bound, const Predicate& predicate) {
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, absl::ToChronoMilliseconds(bound), predicate);
  }
};

event_stream::event_stream(test_request request)
    : impl_(std::make_unique<impl>()) {
  impl_->reader =
      std::thread([state = impl_.get(), request = std::move(request)] {
        state->Read(request);
      });
}

event_stream::~event_stream() {
  Cut();
  impl_->reader.join();
}

bool event_stream::WaitForEvents(size_t count, absl::Duration bound) {
  impl_->Wait(bound,
              [&] { return impl_->events.size() >= count || impl_->ended; });
  return Events().size() >= count;
}

bool event_stream::WaitForEnd(absl::Duration bound) {
  return impl_->Wait(bound, [&] { return impl_->ended; });
}

void event_stream::Cut() {
  const std::lock_guard lock(impl_->mutex);
  impl_->cut = true;
  if (impl_->socket >= 0) shutdown(impl_->socket, SHUT_RDWR);
  impl_->changed.notify_all();
}

void event_stream::StopReading() { impl_->stopped = true; }

std::vector<test_event> event_stream::Events() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->events;
}

test_answer event_stream::Answer() const {
  const std::lock_guard lock(impl_->mutex);
  return impl_->answer;
}

std::vector<test_event> CollectEvents(uint16_t port, absl::string_view target,
                                      const QJsonObject& body,
                                      size_t max_events, absl::Duration bound,
                                      const test_headers& headers) {
  test_request request;
  request.method = "POST";
  request.port = port;
  request.target = std::string(target);
  request.headers = headers;
  request.body = BodyText(body);
  request.timeout = bound;
  event_stream stream(request);
  stream.WaitForEvents(max_events, bound);
  stream.Cut();
  stream.WaitForEnd(bound);
  std::vector<test_event> events = stream.Events();
  if (events.size() > max_events) events.resize(max_events);
  return events;
}

}  // namespace anvilridge
