// A planned stop while callers with open streams send the next one on the same
// channel. A few streams are far longer than their Length-Hint, before the stop
// as in it.
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "../lab/lab.h"

namespace {

constexpr int kEngines = 6;
constexpr int kSlots = 12;
// Time between two events of a stream; each event has one token.
constexpr double kEventInterval = 0.02;
// Hints of the two kinds of request, in tokens.
constexpr int kShort = 60;
constexpr int kLong = 180;
constexpr int kLimit = 600;
// One in `kFarOffEvery` short requests is `kFarOff` times as long as its hint.
constexpr int kFarOffEvery = 25;
constexpr int kFarOff = 6;
// Requests before the stop, and how many are in progress at once.
constexpr int kLearned = 150;
constexpr int kAtOnce = 30;
// Callers with an open stream at SIGTERM.
constexpr int kCallers = 25;
constexpr double kBeforeStop = 0.4;
constexpr double kGrace = 8;
// Time limit of the requests and of their route.
constexpr double kTimeLimit = 14;
// Requests that are sent no later than this after SIGTERM may be cut.
constexpr double kExcused = 3;

// What callers and engines have seen of one request.
struct seen_request {
  int tokens = 0;
  double sent = 0;
  bool reached_engine = false;
  std::string status;
  int events = 0;
  bool complete = false;
  double ended = 0;
};

class book {
 public:
  template <typename T>
  void Note(const std::string& id, T change) {
    const std::lock_guard lock(mutex_);
    change(requests_[id]);
  }
  seen_request Of(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return requests_[id];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, seen_request> requests_;
};

// Whether an engine was ordered to change its stage, which these don't model.
std::atomic<bool> ordered = false;

// Answers what is no request of a caller: reports, orders, handles.
void AnswerControl(int descriptor, const lab::message& request,
                   const std::string& stage) {
  const std::string target = request.Word();
  std::string status = "200 OK";
  std::string body = "{}";
  if (target.rfind("/api/report", 0) == 0) {
    body = R"({"Stage":")" + stage +
           R"(","Models":[{"Name":"m","Version":1,"Adapters":[]}],)"
           R"("Busy":false,"Seq":0,"Waiting":0,"Running":0,"KvUsed":0,)"
           R"("KvTotal":74829,"Handles":0})";
  } else if (target.rfind("/api/order", 0) == 0) {
    ordered = true;
    status = "409 Conflict";
  } else if (target.rfind("/api/kv-handle/", 0) != 0) {
    status = "421 Misdirected Request";
  }
  lab::SendAll(descriptor, "HTTP/1.1 " + status + "\r\nContent-Length: " +
                               std::to_string(body.size()) + "\r\n\r\n" + body);
}

void Prefill(int descriptor) {
  lab::reader in(descriptor);
  lab::message request;
  while (in.Read(request)) {
    if (request.Field("stage") != "prefill") {
      AnswerControl(descriptor, request, "prefill");
      continue;
    }
    const std::string body = R"({"Handle":"h)" + request.Field("request-id") +
                             R"(","Tokens":200,"Version":1})";
    lab::Sleep(0.01);
    lab::SendAll(descriptor,
                 lab::AnswerHead(request, 200) + "Content-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
  }
}

// Generates as many events as the request's body says.
void Decode(int descriptor, book& seen) {
  lab::reader in(descriptor);
  lab::message request;
  while (in.Read(request)) {
    if (request.Word().rfind("/s/", 0) != 0) {
      AnswerControl(descriptor, request, "decode");
      continue;
    }
    seen.Note(request.Field("request-id"),
              [](seen_request& noted) { noted.reached_engine = true; });
    bool open =
        lab::SendAll(descriptor, lab::AnswerHead(request, 200) +
                                     "Content-Type: text/event-stream\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n");
    const int tokens = std::atoi(request.body.c_str());
    double next = lab::Now();
    for (int i = 1; i <= tokens && open; ++i) {
      next += kEventInterval;
      lab::Sleep(next - lab::Now());
      const std::string event =
          "id: " + std::to_string(i) + "\ndata: t" + std::to_string(i) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      open = lab::SendAll(descriptor, size + event + "\r\n");
    }
    if (!open || !lab::SendAll(descriptor, "0\r\n\r\n")) return;
  }
}

// Returns the id of a part of the prompt that only the request `id` has.
std::string OwnPart(const std::string& id) {
  std::string hex;
  for (const char c : id) {
    char digits[4];
    std::snprintf(digits, sizeof(digits), "%02x", c);
    hex += digits;
  }
  return hex;
}

std::string Request(const std::string& id, int hint, int tokens) {
  const std::string body = std::to_string(tokens);
  return "POST /s/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
         "\r\nModel: m\r\nToken-Count: 200," + std::to_string(kLimit) +
         "\r\nLength-Hint: " + std::to_string(hint) +
         "\r\nPrompt-Prefix: " + OwnPart(id) +
         ":200\r\nDeadline-Ms: 14000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends a request on `descriptor` and reads its answer. Returns whether the
// channel may be used again.
bool Stream(int descriptor, lab::reader& in, const std::string& id, int hint,
            int tokens, book& seen) {
  seen.Note(id, [&](seen_request& noted) {
    noted.tokens = tokens;
    noted.sent = lab::Now();
  });
  lab::message answer;
  bool complete = lab::SendAll(descriptor, Request(id, hint, tokens)) &&
                  in.ReadHead(answer);
  const std::string status = answer.Word();
  complete = in.ReadBody(answer) && complete;
  int events = 0;
  for (size_t at = answer.body.find("id: "); at != std::string::npos;
       at = answer.body.find("id: ", at + 1)) {
    ++events;
  }
  seen.Note(id, [&](seen_request& noted) {
    noted.status = status;
    noted.events = events;
    noted.complete = complete && (status != "200" || events == tokens);
    noted.ended = lab::Now();
  });
  return complete && answer.Field("connection") != "close";
}

int TokensOf(int hint, int number) {
  return hint == kShort && number % kFarOffEvery == kFarOffEvery - 1
             ? hint * kFarOff
             : hint;
}

// Lets the daemon see `kLearned` streams, every sixth of them long.
void Learn(int port, book& seen) {
  std::atomic<int> next = 0;
  std::vector<std::thread> callers;
  callers.reserve(kAtOnce);
  for (int i = 0; i < kAtOnce; ++i) {
    callers.emplace_back([&] {
      for (int number = next++; number < kLearned; number = next++) {
        const int descriptor = lab::Connect(port);
        lab::reader in(descriptor);
        const int hint = number % 6 == 5 ? kLong : kShort;
        Stream(descriptor, in, "w" + std::to_string(number), hint,
               TokensOf(hint, number), seen);
        ::close(descriptor);
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
}

}  // namespace

int main(int, char** arguments) {
  lab::record record(std::string(arguments[1]) + "/record.txt");
  book seen;
  lab::store store;
  store.Put("keyed.op", "config", lab::Config(1));
  lab::server prefill(Prefill);
  store.Put("keyed.servers", "i-p",
            lab::Entry("llm", prefill.Port(), "prefill", kSlots));
  std::vector<std::unique_ptr<lab::server>> engines;
  for (int i = 0; i < kEngines; ++i) {
    engines.push_back(std::make_unique<lab::server>(
        [&seen](int descriptor) { Decode(descriptor, seen); }));
    store.Put("keyed.servers", "i-d" + std::to_string(i),
              lab::Entry("llm", engines.back()->Port(), "decode", kSlots));
  }
  lab::daemon daemon({.grace_s = static_cast<int>(kGrace)}, store.Port());
  if (!daemon.Start()) {
    record.Add("the daemon doesn't become ready");
    return lab::kCouldNotRun;
  }
  Learn(daemon.CallerPort(), seen);
  int whole = 0;
  for (int i = 0; i < kLearned; ++i) {
    if (seen.Of("w" + std::to_string(i)).complete) ++whole;
  }
  record.Add(std::to_string(whole) + " of " + std::to_string(kLearned) +
             " streams before the stop are whole; one in " +
             std::to_string(kFarOffEvery) + " of the short ones has " +
             std::to_string(kFarOff) + " times the tokens of its hint");
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i] {
      const int descriptor = lab::Connect(daemon.CallerPort());
      lab::reader in(descriptor);
      const std::string number = std::to_string(i);
      if (Stream(descriptor, in, "a" + number, kLong, kLong, seen)) {
        Stream(descriptor, in, "b" + number, kShort, TokensOf(kShort, i), seen);
      }
      ::close(descriptor);
    });
  }
  lab::Sleep(kBeforeStop);
  const double stop = lab::Now();
  if (!lab::IsCalm()) {
    daemon.Signal(SIGTERM);
    record.Add("SIGTERM");
  }
  for (std::thread& caller : callers) caller.join();
  int passed_on = 0;
  int lost = 0;
  for (int i = 0; i < kCallers; ++i) {
    const std::string id = "b" + std::to_string(i);
    const seen_request of = seen.Of(id);
    char times[96];
    std::snprintf(times, sizeof(times),
                  " sent %.3f s after SIGTERM, ended %.3f s after it",
                  of.sent - stop, of.ended - stop);
    record.Add(id + (of.sent == 0 ? " was not sent" : times) + ", status " +
               of.status + ", " + std::to_string(of.events) + " of " +
               std::to_string(of.tokens) + " events" +
               (of.reached_engine ? ", reached an engine" : "") +
               (of.complete ? "" : ", no complete answer"));
    if (of.reached_engine) ++passed_on;
    const bool excused =
        of.sent - stop <= kExcused || of.ended - of.sent >= kTimeLimit;
    if (of.reached_engine && !of.complete && !excused) ++lost;
  }
  if (ordered) record.Add("an engine was ordered to change its stage");
  if (passed_on == 0 || ordered) return lab::kCouldNotRun;
  record.Add(std::to_string(passed_on) + " streams passed on, " +
             std::to_string(lost) + " of those sent over 3 s after SIGTERM " +
             "without a complete answer: " + (lost > 0 ? "broken" : "held"));
  return lost > 0 ? lab::kBroken : lab::kHeld;
}
