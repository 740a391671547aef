#include "engines.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>
#include <utility>

namespace review {
namespace {

constexpr char kTopic[] = "keyed.servers";
constexpr int64_t kBeatMs = 1200;
constexpr int64_t kLookMs = 20;
// Time in which an engine changes its stage.
constexpr int64_t kStageSwitchMs = 6000;
// Tokens of a prompt that are read in a ms, and tokens that are made in a ms.
constexpr double kPrefillTokensPerMs = 50;
constexpr double kDecodeTokensPerMs = 1.3;
constexpr int kTokensPerEvent = 73;

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Returns the two numbers of a request's `Token-Count`.
std::pair<int, int> TokenCount(const message& request) {
  const std::string text = request.Field("token-count");
  const size_t comma = text.find(',');
  if (comma == std::string::npos) return {0, 0};
  return {std::atoi(text.c_str()), std::atoi(text.c_str() + comma + 1)};
}

std::string Chunk(const std::string& text) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string size;
  for (size_t left = text.size(); left > 0; left /= 16) {
    size.insert(size.begin(), kDigits[left % 16]);
  }
  return size + "\r\n" + text + "\r\n";
}

}  // namespace

void engine_log::Add(const arrived_order& order) {
  const std::lock_guard lock(mutex_);
  orders_.push_back(order);
}

void engine_log::Add(const arrived_request& request) {
  const std::lock_guard lock(mutex_);
  requests_.push_back(request);
}

std::vector<arrived_order> engine_log::Orders() {
  const std::lock_guard lock(mutex_);
  return orders_;
}

std::vector<arrived_request> engine_log::Requests() {
  const std::lock_guard lock(mutex_);
  return requests_;
}

engine::engine(engine_setup setup, store_server& store, engine_log& log,
               run_record& record)
    : setup_(std::move(setup)),
      store_(store),
      log_(log),
      record_(record),
      start_ms_(NowMs()),
      born_ms_(UnixMs()),
      stage_(setup_.stage) {
  server_ = std::make_unique<server>(
      setup_.ip, setup_.port, [this](const message& request, connection& with) {
        Answer(request, with);
      });
  if (!server_->Ok()) return;
  Write();
  beating_ = std::thread([this] { Beat(); });
}

engine::~engine() {
  ended_ = true;
  if (beating_.joinable()) beating_.join();
}

void engine::Drain() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  while (!Write()) SleepMs(kLookMs);
}

void engine::End() {
  ended_ = true;
  if (beating_.joinable()) beating_.join();
  server_->End();
  store_.Put(kTopic, setup_.id, std::nullopt);
}

std::string engine::Marks(const message& request) {
  const std::lock_guard lock(mutex_);
  return "Request-Id: " + request.Field("request-id") + "\r\n" +
         (draining_ ? "Server-Leaving: 1\r\n" : "");
}

std::string engine::NotRun(int status, const message& request) {
  return JsonResponse(status, Marks(request) + "Not-Run: 1\r\n", "{}");
}

std::string engine::Entry(bool with_seq) {
  std::string entry =
      R"({"Service":")" + setup_.service + R"(","Addr":")" + setup_.ip + ":" +
      std::to_string(setup_.port) + R"(","Zone":"z","Version":"v1","Slots":)" +
      std::to_string(setup_.slots) + R"(,"State":")" +
      (draining_ ? "draining" : "ready") + R"(","ColdLeftMs":)" +
      std::to_string(
          std::max<int64_t>(0, setup_.cold_ms - (NowMs() - start_ms_)));
  if (!stage_.empty()) {
    entry += R"(,"Stage":")" + stage_ +
             R"(","Models":[{"Name":"m","Version":1,"Adapters":[]}])";
  }
  entry += R"(,"born":)" + std::to_string(born_ms_);
  if (with_seq) entry += R"(,"Seq":)" + std::to_string(seq_);
  return entry + "}";
}

bool engine::Write() {
  const std::lock_guard lock(mutex_);
  ++seq_;
  const std::string content = Entry(/*with_seq=*/false);
  // The entry changes when more than its count does.
  if (content == written_ && !write_again_) return true;
  if (store_.Put(kTopic, setup_.id, Entry(/*with_seq=*/true)) < 0) return false;
  write_again_ = false;
  written_ = content;
  return true;
}

void engine::Beat() {
  int64_t next = NowMs() + kBeatMs;
  while (!ended_.load()) {
    SleepMs(kLookMs);
    bool changed = false;
    {
      const std::lock_guard lock(mutex_);
      if (!next_stage_.empty() && NowMs() >= stage_at_ms_) {
        stage_ = std::exchange(next_stage_, "");
        changed = true;
      }
    }
    if (!changed && NowMs() < next) continue;
    Write();
    next = NowMs() + kBeatMs;
  }
}

void engine::Answer(const message& request, connection& with) {
  const std::string expected = request.Field("expect-instance");
  if (!expected.empty() && expected != setup_.id) {
    with.Send(NotRun(421, request));
    return;
  }
  if (request.target == "/api/order") return AnswerOrder(request, with);
  if (!setup_.stage.empty()) return AnswerModelRequest(request, with);
  if (request.target == "/api/report") {
    with.Send(JsonResponse(404, Marks(request), "{}"));
    return;
  }
  log_.Add({setup_.id, request.Field("request-id"), setup_.service, NowMs()});
  SleepMs(setup_.work_ms);
  with.Send(JsonResponse(200, Marks(request) + "Response-Seal: s1\r\n",
                         R"({"done":true})"));
}

void engine::AnswerOrder(const message& request, connection& with) {
  arrived_order order;
  order.engine = setup_.id;
  order.holder = JsonValue(request.body, "Holder");
  order.fence = JsonNumber(request.body, "Fence");
  order.at_ms = NowMs();
  order.status = 202;
  {
    const std::lock_guard lock(mutex_);
    const std::string stage = JsonValue(request.body, "Stage");
    if (order.fence < fence_) {
      order.status = 412;
    } else if (!next_stage_.empty() ||
               JsonNumber(request.body, "Expect") != orders_) {
      order.status = 409;
    } else if (stage == stage_) {
      order.status = 200;
    } else {
      ++orders_;
      next_stage_ = stage;
      stage_at_ms_ = NowMs() + kStageSwitchMs;
    }
    fence_ = std::max(fence_, order.fence);
  }
  log_.Add(order);
  record_.Add("engine " + setup_.id + ": order " + request.body + " from " +
              order.holder + " answered " + std::to_string(order.status));
  with.Send(JsonResponse(order.status, Marks(request), "{}"));
}

void engine::AnswerModelRequest(const message& request, connection& with) {
  std::string stage;
  std::string report;
  bool busy = false;
  {
    const std::lock_guard lock(mutex_);
    stage = stage_;
    busy = !next_stage_.empty();
    report = R"({"Stage":")" + stage_ +
             R"(","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":)" +
             (busy ? "true" : "false") + R"(,"Seq":)" +
             std::to_string(orders_) +
             R"(,"Waiting":0,"Running":0,"KvUsed":0,"KvTotal":96209,)"
             R"("Handles":0})";
  }
  if (request.target == "/api/report") {
    with.Send(JsonResponse(200, Marks(request), report));
    return;
  }
  if (request.method == "DELETE") {
    with.Send(JsonResponse(200, Marks(request), "{}"));
    return;
  }
  if (busy) {
    with.Send(NotRun(503, request));
    return;
  }
  const bool prefills = request.Field("stage") == "prefill";
  if (prefills != (stage == "prefill")) {
    with.Send(NotRun(421, request));
    return;
  }
  if (prefills) return Prefill(request, with);
  Decode(request, with);
}

void engine::Prefill(const message& request, connection& with) {
  const int tokens = TokenCount(request).first;
  SleepMs(static_cast<int64_t>(tokens / kPrefillTokensPerMs));
  with.Send(JsonResponse(200, Marks(request),
                         R"({"Handle":")" + setup_.id + "x" +
                             std::to_string(++handles_) + R"(","Tokens":)" +
                             std::to_string(tokens) + R"(,"Version":1})"));
}

void engine::Decode(const message& request, connection& with) {
  log_.Add({setup_.id, request.Field("request-id"), setup_.service, NowMs()});
  const std::string head = ResponseHead(
      200, Marks(request) +
               "Response-Seal: s1\r\nContent-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n\r\n");
  if (!with.Send(head)) return;
  const int events = TokenCount(request).second / kTokensPerEvent;
  for (int i = std::atoi(request.Field("last-event-id").c_str()) + 1;
       i <= events; ++i) {
    SleepMs(static_cast<int64_t>(kTokensPerEvent / kDecodeTokensPerMs));
    if (with.IsClosed()) return;
    const std::string number = std::to_string(i);
    std::string event = "id: ";
    event.append(number).append("\ndata: t").append(number).append("\n\n");
    if (!with.Send(Chunk(event))) return;
  }
  with.Send("0\r\n\r\n");
}

}  // namespace review
