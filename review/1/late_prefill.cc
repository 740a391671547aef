// A stream that may run once at most, whose prefill engine is slow and whose
// decode engine leaves meanwhile, at a moment at which the other engines are
// full. Watches at how many engines it runs.
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../scene.h"

namespace {

constexpr int kMemoryMb = 110;
constexpr int kDecodeEngines = 6;
// Five such prompts with their outputs fill the memory of an engine.
constexpr int kPromptTokens = 12'000;
constexpr int kOutputTokens = 80;
constexpr int kOtherStreams = 29;
constexpr int kRoundsAtMost = 4;
constexpr int kOk = 200;
constexpr int kTimeLimitMs = 14'000;
// The sheet's engines read 55.5556 prompt tokens in a ms.
constexpr double kPrefillTokensPerSecond = 55'555.6;
constexpr double kPrefillSeconds = kPromptTokens / kPrefillTokensPerSecond;
// The other streams share all but the end of their prompts; the one that is
// watched has a prompt of its own.
constexpr char kSharedPart[] = "5c1e07a2";
constexpr int kSharedTokens = 11'800;
constexpr char kOwnPart[] = "91bd3f06";
constexpr int kOwnPartTokens = 200;
// A grey engine takes 8 times as long.
constexpr double kSlowFactor = 8;
constexpr double kEventSeconds = 0.031;
// Extra sends are saved up meanwhile.
constexpr double kSettleSeconds = 16;

struct decode_engine {
  std::string id;
  std::unique_ptr<review::server> server;
  std::atomic<int> running = 0;
};

struct scene {
  explicit scene(const std::string& folder) : record(folder + "/record.txt") {}

  review::recorder record;
  review::store store;
  std::unique_ptr<review::server> prefill;
  // Those that are ready, and all of them.
  std::array<decode_engine*, kDecodeEngines> decodes{};
  std::vector<std::unique_ptr<decode_engine>> all_decodes;
  // Held while the prefill engine reads: it reads one prompt after the other.
  std::mutex reading;
  bool keeps_shared_part = false;
  std::mutex mutex;
  // Engines that have run a request, by its id; guarded by `mutex`.
  std::map<std::string, std::vector<std::string>> runs;
  // Id of the stream whose prefill takes long.
  std::string slow_id;
};

std::string FieldOf(const review::request& read, const std::string& name) {
  const auto found = read.headers.find(name);
  return found == read.headers.end() ? "" : found->second;
}

// Answers what is neither a prefill nor a run. An engine that says that an
// order is in progress gets no other.
bool AnswerControl(review::connection& caller, const review::request& read) {
  if (read.target == "/api/report") {
    return review::Answer(caller, read, kOk,
                          R"({"Stage":"decode","Busy":true,"Seq":0})");
  }
  return review::Answer(caller, read, kOk, "{}");
}

// Answers a request that expects another instance.
bool AnswerOther(review::connection& caller, const std::string& id) {
  return caller.Write("HTTP/1.1 421 X\r\nInstance-Id: " + id +
                      "\r\nContent-Length: 0\r\n\r\n");
}

bool Prefill(scene& of, review::connection& caller,
             const review::request& read) {
  if (read.target.rfind("/api/", 0) == 0) return AnswerControl(caller, read);
  const std::string id = FieldOf(read, "request-id");
  bool slow = false;
  {
    const std::lock_guard lock(of.mutex);
    slow = id == of.slow_id;
  }
  {
    const std::lock_guard lock(of.reading);
    const bool shares =
        FieldOf(read, "prompt-prefix").rfind(kSharedPart, 0) == 0;
    const int kept = shares && of.keeps_shared_part ? kSharedTokens : 0;
    of.keeps_shared_part = of.keeps_shared_part || shares;
    review::Sleep((kPromptTokens - kept) / kPrefillTokensPerSecond *
                  (slow ? kSlowFactor : 1));
  }
  if (slow) of.record.Line("the slow prefill of " + id + " is answered");
  return review::Answer(caller, read, kOk,
                        R"({"Handle":"h)" + id + R"(","Tokens":)" +
                            std::to_string(kPromptTokens) + R"(,"Version":1})");
}

bool Decode(scene& of, decode_engine& engine, review::connection& caller,
            const review::request& read) {
  if (read.target.rfind("/api/", 0) == 0) return AnswerControl(caller, read);
  if (FieldOf(read, "expect-instance") != engine.id) {
    return AnswerOther(caller, engine.id);
  }
  const std::string id = FieldOf(read, "request-id");
  ++engine.running;
  // Without a handle it prefills the prompt itself, at half the speed.
  if (FieldOf(read, "kv-source").empty()) review::Sleep(2 * kPrefillSeconds);
  {
    const std::lock_guard lock(of.mutex);
    of.runs[id].push_back(engine.id);
  }
  of.record.Line("run " + id + " " + read.target + " at " + engine.id);
  bool open = review::BeginStream(caller, read);
  for (int i = 1; open && i <= kOutputTokens; ++i) {
    open = review::WriteEvent(caller, i);
    review::Sleep(kEventSeconds);
  }
  --engine.running;
  of.record.Line("end " + id + " at " + engine.id +
                 (open ? ": complete" : ": its channel was closed"));
  return open && review::EndStream(caller);
}

// Sends one stream and waits for its end.
// @param shared_part part that its prompt begins with.
void RunCaller(scene& of, uint16_t port, const std::string& target,
               const std::string& id, const std::string& shared_part,
               int shared_tokens) {
  const auto channel = review::connection::Open(port);
  if (!channel) return;
  channel->SetTimeout(kTimeLimitMs / 1000.0);
  of.record.Line("sent " + id + " " + target);
  channel->Write(
      review::RequestText("POST", target, id, kTimeLimitMs,
                          review::PromptFields(id, kPromptTokens, kOutputTokens,
                                               shared_part, shared_tokens),
                          "prompt"));
  const review::response answer = channel->ReadResponse();
  size_t events = 0;
  for (size_t at = answer.body.find("id: "); at != std::string::npos;
       at = answer.body.find("id: ", at + 1)) {
    ++events;
  }
  of.record.Line("answered " + id + " " + std::to_string(answer.status) + ", " +
                 std::to_string(events) + " events, " +
                 (answer.complete ? "complete" : "broken off"));
}

void Register(scene& of, const decode_engine& engine, const char* state) {
  of.store.Put("keyed.servers", engine.id,
               review::UpstreamEntry("model", engine.server->Address(),
                                     "decode", state));
}

// Starts a decode engine.
decode_engine* StartDecode(scene& of) {
  auto made = std::make_unique<decode_engine>();
  decode_engine& engine = *made;
  engine.id = "i-d" + std::to_string(of.all_decodes.size());
  engine.server = std::make_unique<review::server>(
      [&of, &engine](review::connection& caller, const review::request& read) {
        return Decode(of, engine, caller, read);
      });
  Register(of, engine, "ready");
  of.all_decodes.push_back(std::move(made));
  return &engine;
}

// Returns the engine that has room for one more of the streams, or null.
decode_engine* EngineWithRoom(scene& of) {
  decode_engine* found = nullptr;
  for (decode_engine* engine : of.decodes) {
    if (engine->running == kOtherStreams / kDecodeEngines) {
      if (found != nullptr) return nullptr;
      found = engine;
    } else if (engine->running != kOtherStreams / kDecodeEngines + 1) {
      return nullptr;
    }
  }
  return found;
}

// Plays the streams once. Returns how often the one that is watched has run,
// or -1 if the engines weren't filled as intended.
int PlayRound(scene& of, uint16_t port, bool trouble) {
  std::vector<std::thread> callers;
  callers.reserve(kOtherStreams + 1);
  for (int i = 0; i < kOtherStreams; ++i) {
    callers.emplace_back([&of, port] {
      RunCaller(of, port, "/draft/season", review::NewId(), kSharedPart,
                kSharedTokens);
    });
    review::Sleep(0.008);
  }
  review::Sleep(kPrefillSeconds + 0.15);
  decode_engine* leaving = EngineWithRoom(of);
  const std::string id = review::NewId();
  if (leaving != nullptr) {
    if (trouble) {
      const std::lock_guard lock(of.mutex);
      of.slow_id = id;
    }
    callers.emplace_back([&of, port, id] {
      RunCaller(of, port, "/note/difference", id, kOwnPart, kOwnPartTokens);
    });
    review::Sleep(0.8);
    if (trouble) {
      of.record.Line(leaving->id + " is draining");
      Register(of, *leaving, "draining");
    }
  }
  for (std::thread& caller : callers) caller.join();
  review::Sleep(1);
  if (leaving == nullptr) return -1;
  if (trouble) {
    // Another comes in its place.
    std::replace(of.decodes.begin(), of.decodes.end(), leaving,
                 StartDecode(of));
    review::Sleep(1);
  }
  const std::lock_guard lock(of.mutex);
  return static_cast<int>(of.runs[id].size());
}

int Run(const std::string& program, const std::string& folder,
        const std::string& settings, bool trouble) {
  scene of(folder);
  of.prefill = std::make_unique<review::server>(
      [&of](review::connection& caller, const review::request& read) {
        return Prefill(of, caller, read);
      });
  of.store.Put(
      "keyed.servers", "i-p0",
      review::UpstreamEntry("model", of.prefill->Address(), "prefill"));
  for (decode_engine*& engine : of.decodes) engine = StartDecode(of);
  of.store.Put("keyed.op", "config", review::Configuration());
  review::fleet_daemon daemon(program, settings, of.store.Address(), kMemoryMb);
  daemon.Start();
  if (!daemon.WaitReady(10)) return 2;
  review::Sleep(kSettleSeconds);
  int most = 0;
  int rounds = 0;
  for (int i = 0; i < kRoundsAtMost; ++i) {
    const int runs = PlayRound(of, daemon.CallerPort(), trouble);
    std::printf("round %d: the stream ran %d times\n", i + 1, runs);
    if (runs < 0) continue;
    ++rounds;
    if (runs > most) most = runs;
  }
  daemon.Kill();
  if (rounds == 0) return 2;
  return most > 1 ? 1 : 0;
}

}  // namespace

int main(int count, char** arguments) {
  if (count != 5) return 2;
  const int status = Run(arguments[1], arguments[2], arguments[3],
                         std::string(arguments[4]) != "0");
  std::fflush(stdout);
  // Threads of the stand-ins still run.
  ::_exit(status);
}
