#include "fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <utility>

#include "http.h"

extern char** environ;

namespace review {
namespace {

constexpr char kProgram[] = "target/anvilridge_fleet";
constexpr char kTemplate[] = "deploy/anvilridge.ini.template";
constexpr int64_t kRunLimitMs = 115000;

std::string ReadFile(const std::string& file) {
  std::ifstream in(file);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

// The processes that were started, for the end of a run that took too long.
struct started_processes {
  std::mutex mutex;
  std::vector<int> pids;
  std::string folder;
};

started_processes& Started() {
  static auto* const kStarted = new started_processes;
  return *kStarted;
}

void RemoveFolder() {
  std::error_code ignored;
  if (!Started().folder.empty()) {
    std::filesystem::remove_all(Started().folder, ignored);
  }
}

// Fills the template's placeholders with `values`. A section whose name has no
// value is left out.
std::string Filled(std::string text,
                   const std::map<std::string, std::string>& values) {
  size_t at = 0;
  while ((at = text.find("{{#")) != std::string::npos) {
    const size_t name_end = text.find("}}", at);
    const std::string name = text.substr(at + 3, name_end - at - 3);
    const std::string closing = "{{/" + name + "}}";
    const size_t end = text.find(closing, at);
    text.erase(at, end + closing.size() - at);
  }
  while ((at = text.find("{{")) != std::string::npos) {
    const size_t end = text.find("}}", at);
    const auto value = values.find(text.substr(at + 2, end - at - 2));
    text.replace(at, end + 2 - at, value == values.end() ? "" : value->second);
  }
  return text;
}

bool IsFree(const std::string& ip) {
  const server probe(ip, kCallerPort, [](const message&, connection&) {});
  return probe.Ok();
}

}  // namespace

addresses FreeAddresses() {
  std::random_device random;
  std::uniform_int_distribution<int> draw(1, 250);
  while (true) {
    addresses found;
    found.prefix = "127." + std::to_string(draw(random)) + "." +
                   std::to_string(draw(random)) + ".";
    if (IsFree(found.Daemon(1)) && IsFree(found.Store())) return found;
  }
}

daemon_process::daemon_process(const addresses& at, int number,
                               const std::string& folder, int memory_mb)
    : ip_(at.Daemon(number)) {
  const std::string port_of = ":";
  const std::map<std::string, std::string> values = {
      {"Node", "front-" + std::to_string(number)},
      {"Zone", "z"},
      {"Ip", ip_},
      {"Listen.Front", ip_ + port_of + std::to_string(kCallerPort)},
      {"Listen.Ready", ip_ + port_of + std::to_string(kReadyPort)},
      {"PortRange.0", std::to_string(kSharingPort)},
      {"Platform.Addr", at.Store() + port_of + std::to_string(kStorePort)},
      {"Limits.MemoryMb", std::to_string(memory_mb)},
      {"Bounds.RetryRatio", "0.2"},
      {"Bounds.RetrySlack", "58"},
      {"Bounds.RetryWindowS", "10"},
      {"Bounds.LeaseMs", "3000"},
      {"Bounds.GraceS", "8"},
  };
  const std::string name = folder + "/daemon-" + std::to_string(number);
  const std::string settings = name + ".ini";
  std::ofstream(settings) << Filled(ReadFile(kTemplate), values);
  log_file_ = name + ".log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::string program = kProgram;
  std::string option = "--config";
  std::string file = settings;
  std::array<char*, 4> arguments = {program.data(), option.data(), file.data(),
                                    nullptr};
  if (posix_spawn(&pid_, kProgram, &actions, nullptr, arguments.data(),
                  environ) != 0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
  const std::lock_guard lock(Started().mutex);
  if (pid_ > 0) Started().pids.push_back(pid_);
}

daemon_process::~daemon_process() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  const std::lock_guard lock(Started().mutex);
  std::erase(Started().pids, pid_);
}

std::string daemon_process::Member() const {
  return ip_ + ":" + std::to_string(kSharingPort);
}

bool daemon_process::IsReady() const {
  const auto with = Connect(ip_, kReadyPort);
  if (!with) return false;
  with->Send("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  const auto answer = with->Read(NowMs() + 500, nullptr);
  return answer && answer->status == 200;
}

std::string daemon_process::Log() const { return ReadFile(log_file_); }

bool daemon_process::Runs() const {
  return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0;
}

int64_t daemon_process::ResidentKb() const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  std::string name;
  while (in >> name) {
    if (name != "VmRSS:") continue;
    int64_t kb = 0;
    in >> kb;
    return kb;
  }
  return 0;
}

void daemon_process::Kill() {
  if (pid_ > 0) ::kill(pid_, SIGKILL);
}

client_answer Ask(const std::string& ip, const client_request& request,
                  const std::string& id) {
  const auto with = Connect(ip, kCallerPort);
  if (with) return AskOn(*with, ip, request, id);
  client_answer seen;
  seen.id = id;
  seen.ip = ip;
  seen.sent_ms = NowMs();
  return seen;
}

client_answer AskOn(connection& channel, const std::string& ip,
                    const client_request& request, const std::string& id) {
  client_answer seen;
  seen.id = id;
  seen.ip = ip;
  seen.sent_ms = NowMs();
  channel.Send("POST " + request.path + " HTTP/1.1\r\nHost: a.example\r\n" +
               "Request-Id: " + id + "\r\nDeadline-Ms: " +
               std::to_string(request.deadline_ms) + "\r\n" + request.fields +
               "Content-Length: " + std::to_string(request.body.size()) +
               "\r\n\r\n" + request.body);
  const auto answer = channel.Read(seen.sent_ms + request.deadline_ms, nullptr);
  seen.ended_ms = NowMs();
  if (!answer) return seen;
  seen.status = answer->status;
  seen.has_seal = !answer->Field("response-seal").empty();
  return seen;
}

client_load::client_load(std::string name, std::string ip, int64_t interval_ms,
                         choice next)
    : name_(std::move(name)),
      ip_(std::move(ip)),
      interval_ms_(interval_ms),
      next_(std::move(next)),
      running_([this] { Run(); }) {}

client_load::~client_load() { Stop(); }

void client_load::Stop() {
  stop_ = true;
  if (running_.joinable()) running_.join();
  while (waiting_.load() > 0) SleepMs(1);
}

std::vector<client_answer> client_load::Answers() {
  const std::lock_guard lock(mutex_);
  return answers_;
}

void client_load::Run() {
  int64_t due = NowMs();
  for (int64_t number = 0; !stop_.load(); ++number) {
    ++waiting_;
    std::thread([this, number, request = next_(number)] {
      const client_answer seen =
          Ask(ip_, request, name_ + "-" + std::to_string(number));
      {
        const std::lock_guard lock(mutex_);
        answers_.push_back(seen);
      }
      --waiting_;
    }).detach();
    due += interval_ms_;
    SleepMs(due - NowMs());
  }
}

bool WaitFor(int64_t limit_ms, const std::function<bool()>& done) {
  constexpr int64_t kLookMs = 20;
  const int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    if (done()) return true;
    SleepMs(kLookMs);
  }
  return false;
}

bool WithTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string TemporaryFolder() {
  std::string folder =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) return "";
  Started().folder = folder;
  std::atexit(RemoveFolder);
  return folder;
}

void LimitRunTime() {
  std::thread([] {
    SleepMs(kRunLimitMs);
    {
      const std::lock_guard lock(Started().mutex);
      for (const int pid : Started().pids) ::kill(pid, SIGKILL);
    }
    RemoveFolder();
    std::_Exit(kNotRun);
  }).detach();
}

}  // namespace review
