// Three machines of nine, those that read the platform's store for the others,
// are cut off from it; an engine leaves meanwhile.
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../lab/lab.h"

namespace {

constexpr size_t kDaemons = 9;
constexpr size_t kZones = 3;
// A share of 0.35 at most, for 12 s at most.
constexpr size_t kCut = 3;
constexpr double kCutTime = 12;
constexpr double kSettling = 8;
// From the cut until the engine leaves.
constexpr double kUntilLeaving = 3;
constexpr double kDrain = 3;
// Above what a posting takes on its way here.
constexpr double kMargin = 0.5;
constexpr double kPause = 0.05;
constexpr double kWork = 0.1;

// Path of one machine to the store. While it is cut, bytes wait, as on a link
// that loses all packets.
class path_to_store {
 public:
  explicit path_to_store(int store_port)
      : store_port_(store_port),
        server_([this](int descriptor) { Carry(descriptor); }) {}

  int Port() const { return server_.Port(); }
  void SetCut(bool cut) { cut_ = cut; }
  // Returns the number of the machine's reads from the store.
  int Reads() const { return reads_; }

 private:
  // Passes on what can be read from `from`. Returns false at the end.
  bool Pass(int from, int to, bool is_request) {
    char buffer[16384];
    const ssize_t count = ::recv(from, buffer, sizeof(buffer), 0);
    if (count <= 0) return false;
    const std::string bytes(buffer, static_cast<size_t>(count));
    if (is_request && bytes.find("/api/log-read") != std::string::npos) {
      ++reads_;
    }
    return lab::SendAll(to, bytes);
  }

  void Carry(int daemon) {
    while (cut_) lab::Sleep(0.01);
    const int store = lab::Connect(store_port_);
    if (store < 0) return;
    bool open = true;
    while (open) {
      if (cut_) {
        lab::Sleep(0.01);
        continue;
      }
      pollfd ends[] = {{daemon, POLLIN, 0}, {store, POLLIN, 0}};
      constexpr int kWaitMs = 20;
      if (::poll(ends, 2, kWaitMs) <= 0 || cut_) continue;
      if (ends[0].revents != 0) open = Pass(daemon, store, true);
      if (open && ends[1].revents != 0) open = Pass(store, daemon, false);
    }
    ::close(store);
  }

  int store_port_;
  std::atomic<bool> cut_ = false;
  std::atomic<int> reads_ = 0;
  // Last: its threads use the rest.
  lab::server server_;
};

struct machine_of_fleet {
  std::unique_ptr<path_to_store> path;
  std::unique_ptr<lab::daemon> daemon;
  bool is_cut = false;
};

// What the engine that leaves has got.
struct leaving_engine {
  std::atomic<double> left = -1;
  std::atomic<int> late = 0;
  std::atomic<int> ran = 0;
  std::atomic<double> latest = 0;

  void Serve(int descriptor, lab::record& record) {
    lab::reader in(descriptor);
    lab::message request;
    while (in.Read(request)) {
      // Status checks don't count.
      const bool posting = request.Word() == "/u/1";
      if (posting) ++ran;
      const double after = left < 0 ? 0 : lab::Now() - left;
      if (posting && after > kDrain + kMargin) {
        latest = after;
        if (++late <= 5) {
          record.Add("posting " + request.Field("request-id") +
                     " reaches the engine " + std::to_string(after) +
                     " s after the store removed its entry");
        }
      }
      if (posting) lab::Sleep(kWork);
      lab::SendAll(descriptor, lab::AnswerHead(request, 200) +
                                   "Content-Length: 4\r\n\r\ndone");
    }
  }
};

void ServeOther(int descriptor) {
  lab::reader in(descriptor);
  lab::message request;
  while (in.Read(request)) {
    lab::Sleep(kWork);
    lab::SendAll(descriptor, lab::AnswerHead(request, 200) +
                                 "Content-Length: 4\r\n\r\ndone");
  }
}

// Returns the status, "" if there is no answer.
std::string Post(int port, const std::string& id) {
  const int descriptor = lab::Connect(port);
  if (descriptor < 0) return "";
  lab::SetReadTimeout(descriptor, 2);
  lab::SendAll(descriptor,
               "POST /u/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
                   "\r\nDeadline-Ms: 1000\r\nContent-Length: 3\r\n\r\nfee");
  lab::reader in(descriptor);
  lab::message answer;
  std::string status = in.Read(answer) ? answer.Word() : "";
  ::close(descriptor);
  return status;
}

}  // namespace

int main(int, char** arguments) {
  lab::record record(std::string(arguments[1]) + "/record.txt");
  leaving_engine leaving;
  lab::server first([&](int descriptor) { leaving.Serve(descriptor, record); });
  lab::server second(ServeOther);
  lab::store store;
  store.Put("keyed.op", "config", lab::Config(1));
  store.Put("keyed.servers", "i-first", lab::Entry("app", first.Port(), "", 6));
  store.Put("keyed.servers", "i-second",
            lab::Entry("app", second.Port(), "", 6));
  std::vector<machine_of_fleet> fleet(kDaemons);
  for (size_t i = 0; i < kDaemons; ++i) {
    machine_of_fleet& machine = fleet[i];
    lab::machine settings;
    settings.zone = std::string(1, static_cast<char>('a' + i % kZones));
    settings.name =
        "front-" + settings.zone + "-" + std::to_string(i / kZones + 1);
    machine.path = std::make_unique<path_to_store>(store.Port());
    machine.daemon =
        std::make_unique<lab::daemon>(settings, machine.path->Port());
    if (!machine.daemon->Start()) {
      record.Add("a daemon doesn't become ready");
      return lab::kCouldNotRun;
    }
  }
  lab::Sleep(kSettling);
  // Those that have read the store most of late are its readers.
  std::vector<int> before;
  before.reserve(kDaemons);
  for (const auto& machine : fleet) before.push_back(machine.path->Reads());
  lab::Sleep(3);
  std::vector<std::pair<int, size_t>> reads;
  for (size_t i = 0; i < kDaemons; ++i) {
    reads.emplace_back(fleet[i].path->Reads() - before[i], i);
    record.Add("daemon " + std::to_string(i) + " has read the store " +
               std::to_string(reads.back().first) + " times in 3 s");
  }
  std::sort(reads.rbegin(), reads.rend());
  if (reads[kCut - 1].first == 0 || reads[kCut].first > 0) {
    record.Add("other than three machines read the store");
    return lab::kCouldNotRun;
  }
  for (size_t i = 0; i < kCut; ++i) fleet[reads[i].second].is_cut = true;
  if (!lab::IsCalm()) {
    for (auto& machine : fleet) machine.path->SetCut(machine.is_cut);
    record.Add("the first three are cut off from the store");
  }
  const double cut_at = lab::Now();
  std::atomic<bool> done = false;
  std::atomic<int> served = 0;
  std::atomic<int> failed = 0;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < kDaemons; ++i) {
    if (fleet[i].is_cut) continue;
    callers.emplace_back([&, i] {
      for (int n = 0; !done; ++n) {
        const std::string id =
            "d" + std::to_string(i) + "-" + std::to_string(n);
        const std::string status = Post(fleet[i].daemon->CallerPort(), id);
        ++(status == "200" ? served : failed);
        lab::Sleep(kPause);
      }
    });
  }
  lab::Sleep(kUntilLeaving);
  const int ran_before = leaving.ran;
  store.Put("keyed.servers", "i-first", "");
  leaving.left = lab::Now();
  record.Add("the store has removed the engine's entry; it had got " +
             std::to_string(ran_before) + " postings");
  lab::Sleep(cut_at + kCutTime - lab::Now());
  for (auto& machine : fleet) machine.path->SetCut(false);
  done = true;
  for (std::thread& caller : callers) caller.join();
  record.Add(
      std::to_string(served) + " postings served by machines in touch, " +
      std::to_string(failed) + " failed; " + std::to_string(leaving.late) +
      " reached the engine over 3.5 s after its removal, the last " +
      std::to_string(leaving.latest) + " s after it");
  if (ran_before == 0 || served == 0) return lab::kCouldNotRun;
  record.Add(leaving.late > 0 ? "broken" : "held");
  return leaving.late > 0 ? lab::kBroken : lab::kHeld;
}
