#include "harness/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"

namespace anvilridge {
namespace {

constexpr int kSignalExitBase = 128;
constexpr int kExecFailed = 127;
constexpr absl::string_view kListening = "listening ";

std::string ProgramPath(absl::string_view program) {
  if (absl::StrContains(program, "/")) return std::string(program);
  return absl::StrCat(ANVIL_BUILD_DIR, "/", program);
}

int OpenForWriting(const std::string& path) {
  constexpr int kMode = 0600;
  return open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
}

// Runs in the child between fork and exec: system calls only.
[[noreturn]] void Become(char* const* arguments, int out, int err,
                         pid_t parent) {
  dup2(out, STDOUT_FILENO);
  dup2(err, STDERR_FILENO);
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(kExecFailed);
  execv(arguments[0], arguments);
  _exit(kExecFailed);
}

std::optional<uint16_t> PortIn(const std::string& out) {
  const std::vector<std::string> lines = absl::StrSplit(out, '\n');
  // The last part has no line end yet.
  for (size_t i = 0; i + 1 < lines.size(); ++i) {
    int port = 0;
    if (absl::StartsWith(lines[i], kListening) &&
        absl::SimpleAtoi(lines[i].substr(kListening.size()), &port)) {
      return static_cast<uint16_t>(port);
    }
  }
  return std::nullopt;
}

}  // namespace

child_process::child_process(absl::string_view program,
                             std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), ProgramPath(program));
  std::vector<char*> raw;
  raw.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) raw.push_back(argument.data());
  raw.push_back(nullptr);
  const int out = OpenForWriting(folder_.File("out"));
  const int err = OpenForWriting(folder_.File("err"));
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) Become(raw.data(), out, err, parent);
  close(out);
  close(err);
  if (pid_ < 0) ADD_FAILURE() << "fork failed for " << arguments[0];
}

child_process::~child_process() { Kill(); }

std::string child_process::Out() const { return ReadFile(folder_.File("out")); }

std::string child_process::Err() const { return ReadFile(folder_.File("err")); }

uint16_t child_process::WaitForPort(absl::Duration bound) const {
  std::optional<uint16_t> port;
  Eventually(bound, [&] {
    siginfo_t ended{};
    waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOHANG | WNOWAIT);
    port = PortIn(Out());
    return port.has_value() || ended.si_pid == pid_;
  });
  if (!port) ADD_FAILURE() << "no listening line; stderr: " << Err();
  return port.value_or(0);
}

bool child_process::Reap(int options) {
  if (exit_code_ || pid_ <= 0) return true;
  int status = 0;
  if (waitpid(pid_, &status, options) != pid_) return false;
  exit_code_ = WIFSIGNALED(status) ? kSignalExitBase + WTERMSIG(status)
                                   : WEXITSTATUS(status);
  return true;
}

bool child_process::Running() { return !Reap(WNOHANG); }

void child_process::Signal(int signal) {
  if (Running()) kill(pid_, signal);
}

void child_process::Kill() {
  Signal(SIGKILL);
  Reap(0);
}

void child_process::Freeze() {
  Signal(SIGSTOP);
  siginfo_t stopped{};
  waitid(P_PID, static_cast<id_t>(pid_), &stopped,
         WSTOPPED | WEXITED | WNOWAIT);
}

void child_process::Thaw() { Signal(SIGCONT); }

std::optional<int> child_process::WaitForExit(absl::Duration bound) {
  Eventually(bound, [this] { return Reap(WNOHANG); });
  return exit_code_;
}

}  // namespace anvilridge
