#include "crowd.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <mutex>
#include <semaphore>
#include <set>
#include <thread>
#include <vector>

#include "lab.h"

namespace lab {
namespace {

constexpr int64_t kMemoryMb = 110;
// Ordinary callers, each on a channel that it keeps.
constexpr int kOrdinary = 12;
// Time for which the service works on a posting.
constexpr double kWork = 0.1;
constexpr double kWatched = 15;
// Time from the start of the daemon until it is in touch, and some more.
constexpr double kInTouch = 3.5;
// Requests that the service works on at once; further ones wait.
constexpr int kSlots = 6;
// Bytes that one caller of the crowd sends at a time, and all of them in a
// second: under half of what the machine's link carries, so that no packets
// wait there.
constexpr size_t kPieceBytes = 64 << 10;
constexpr double kBytesPerSecond = 50e6;
// Requests without an answer up to which the rule is kept.
constexpr size_t kLostAllowed = 3;

// Requests by their ids.
class ledger {
 public:
  void Add(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ids_.insert(id);
  }
  std::set<std::string> Ids() {
    const std::lock_guard lock(mutex_);
    return ids_;
  }

 private:
  std::mutex mutex_;
  std::set<std::string> ids_;
};

void ServeApp(int descriptor, ledger& ran,
              std::counting_semaphore<kSlots>& slots) {
  reader in(descriptor);
  message request;
  while (in.Read(request)) {
    slots.acquire();
    ran.Add(request.Field("request-id"));
    Sleep(kWork);
    slots.release();
    SendAll(descriptor,
            AnswerHead(request, 200) + "Content-Length: 4\r\n\r\ndone");
  }
}

// Sends postings on one channel until it ends or `done` is set.
void PostOnOneChannel(int port, int caller, const std::atomic<bool>& done,
                      ledger& kept, ledger& answered) {
  const int descriptor = Connect(port);
  if (descriptor < 0) return;
  SetReadTimeout(descriptor, 3);
  reader in(descriptor);
  for (int i = 0; !done; ++i) {
    const std::string id =
        "o" + std::to_string(caller) + "-" + std::to_string(i);
    const bool sent =
        SendAll(descriptor,
                "POST /u/2 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
                    "\r\nDeadline-Ms: 1000\r\n"
                    "Content-Length: 3\r\n\r\nfee");
    if (sent && i > 0) kept.Add(id);
    message answer;
    if (!sent || !in.Read(answer)) break;
    answered.Add(id);
  }
  ::close(descriptor);
}

struct crowd_caller {
  int descriptor = -1;
  std::string request;
  size_t sent = 0;
};

// Connects a caller with a request.
crowd_caller Join(int port, std::string request) {
  crowd_caller caller;
  caller.descriptor = Connect(port);
  caller.request = std::move(request);
  if (caller.descriptor >= 0) ::fcntl(caller.descriptor, F_SETFL, O_NONBLOCK);
  return caller;
}

// Sends the next piece of a caller's request as far as it is taken.
void SendPiece(crowd_caller& caller) {
  if (caller.descriptor < 0 || caller.sent == caller.request.size()) return;
  const size_t size =
      std::min(kPieceBytes, caller.request.size() - caller.sent);
  const ssize_t sent =
      ::send(caller.descriptor, caller.request.data() + caller.sent, size,
             MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent > 0) caller.sent += static_cast<size_t>(sent);
}

size_t BytesOf(const std::vector<crowd_caller>& callers) {
  size_t bytes = 0;
  for (const crowd_caller& caller : callers) bytes += caller.sent;
  return bytes;
}

// Sends a piece for each caller, as far as the rate allows.
void SendPieces(std::vector<crowd_caller>& callers, double began) {
  size_t bytes = BytesOf(callers);
  for (crowd_caller& caller : callers) {
    if (static_cast<double>(bytes) > kBytesPerSecond * (Now() - began)) return;
    const size_t before = caller.sent;
    SendPiece(caller);
    bytes += caller.sent - before;
  }
}

// What remains of a run for its verdict.
struct ordinary_work {
  ledger ran;
  ledger kept;
  ledger answered;
};

size_t CountLost(ordinary_work& work, record& record) {
  size_t lost = 0;
  const std::set<std::string> answered = work.answered.Ids();
  const std::set<std::string> kept = work.kept.Ids();
  for (const std::string& id : work.ran.Ids()) {
    if (answered.contains(id) || !kept.contains(id)) continue;
    record.Add("posting " + id + " of a kept channel ran and has no answer");
    ++lost;
  }
  record.Add(std::to_string(answered.size()) + " ordinary postings answered");
  return lost;
}

// Has the crowd send until the daemon is killed for its memory or the time is
// up. Returns whether it was killed.
bool SendFromCrowd(const crowd& crowd, const daemon& daemon,
                   std::vector<crowd_caller>& callers, record& record) {
  const double began = Now();
  const double end = began + kWatched;
  while (Now() < end) {
    const size_t sent_bytes = BytesOf(callers);
    if (static_cast<double>(sent_bytes) > kBytesPerSecond * (Now() - began)) {
      Sleep(0.001);
    } else if (!IsCalm() && static_cast<int>(callers.size()) < crowd.callers) {
      const int number = static_cast<int>(callers.size());
      callers.push_back(Join(daemon.CallerPort(), crowd.request(number)));
      SendPiece(callers.back());
    } else {
      SendPieces(callers, began);
      Sleep(0.002);
    }
    const int64_t used_mb = daemon.StatusKb("VmRSS:") / 1024;
    if (used_mb <= kMemoryMb) continue;
    record.Add(std::to_string(callers.size()) + " callers have sent " +
               std::to_string(BytesOf(callers) >> 10) + " KB, VmRSS is " +
               std::to_string(used_mb) + " MB: the platform kills the process");
    daemon.Signal(SIGKILL);
    return true;
  }
  record.Add("most memory " + std::to_string(daemon.StatusKb("VmHWM:") / 1024) +
             " MB");
  return false;
}

}  // namespace

int RunCrowd(const std::string& folder, const crowd& crowd) {
  record record(folder + "/record.txt");
  ordinary_work work;
  std::counting_semaphore<kSlots> slots(kSlots);
  server app([&](int descriptor) { ServeApp(descriptor, work.ran, slots); });
  store store;
  store.Put("keyed.op", "config", Config(1));
  store.Put("keyed.servers", "i-app", Entry("app", app.Port(), "", kSlots));
  daemon daemon({.memory_mb = kMemoryMb}, store.Port());
  if (!daemon.Start()) {
    record.Add("the daemon doesn't become ready");
    return kCouldNotRun;
  }
  std::atomic<bool> done = false;
  std::vector<std::thread> ordinary;
  ordinary.reserve(kOrdinary);
  for (int i = 0; i < kOrdinary; ++i) {
    ordinary.emplace_back([&, i] {
      PostOnOneChannel(daemon.CallerPort(), i, done, work.kept, work.answered);
    });
  }
  Sleep(kInTouch);
  const size_t before = work.answered.Ids().size();
  record.Add(std::to_string(kOrdinary) + " ordinary callers post, " +
             std::to_string(before) + " postings answered; VmRSS " +
             std::to_string(daemon.StatusKb("VmRSS:") / 1024) + " MB of " +
             std::to_string(kMemoryMb));
  if (!IsCalm()) {
    record.Add(std::to_string(crowd.callers) +
               " callers join: " + crowd.description);
  }
  std::vector<crowd_caller> callers;
  SendFromCrowd(crowd, daemon, callers, record);
  done = true;
  for (std::thread& caller : ordinary) caller.join();
  for (const crowd_caller& caller : callers) ::close(caller.descriptor);
  const size_t lost = CountLost(work, record);
  if (before == 0) return kCouldNotRun;
  const bool broken = lost > kLostAllowed;
  record.Add(std::to_string(lost) + " lost, more than " +
             std::to_string(kLostAllowed) +
             " break the rule: " + (broken ? "broken" : "held"));
  return broken ? kBroken : kHeld;
}

}  // namespace lab
