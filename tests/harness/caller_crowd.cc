#include "harness/caller_crowd.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <fstream>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace anvilridge {

int64_t ProcessStatus(pid_t pid, absl::string_view field) {
  std::ifstream status(absl::StrCat("/proc/", pid, "/status"));
  std::string line;
  while (std::getline(status, line)) {
    if (!absl::StartsWith(line, field)) continue;
    int64_t number = 0;
    const size_t digit = line.find_first_of("0123456789");
    const std::string text = line.substr(digit, line.find(' ', digit) - digit);
    return absl::SimpleAtoi(text, &number) ? number : -1;
  }
  return -1;
}

int OpenDescriptors(pid_t pid) {
  DIR* folder = ::opendir(absl::StrCat("/proc/", pid, "/fd").c_str());
  if (folder == nullptr) return -1;
  int count = 0;
  while (::readdir(folder) != nullptr) ++count;
  ::closedir(folder);
  return count;
}

class caller_crowd::connection {
 public:
  explicit connection(uint16_t port)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int small = 4096;
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0) {
      Close();
      return;
    }
    ::fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~connection() { Close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  // Sends a part of `text` that was not sent yet, of at most `bytes`. Returns
  // false once all is sent, or if the daemon takes nothing more.
  bool SendSome(const std::string& text, size_t bytes) {
    if (fd_ < 0 || sent_ >= text.size()) return false;
    pollfd ready = {fd_, POLLOUT, 0};
    // Long enough for a busy daemon; one that doesn't read takes nothing more.
    constexpr int kTakeMs = 200;
    if (::poll(&ready, 1, kTakeMs) <= 0) return false;
    const ssize_t taken =
        ::send(fd_, text.data() + sent_, std::min(bytes, text.size() - sent_),
               MSG_NOSIGNAL);
    if (taken < 0 && errno != EAGAIN) Close();
    if (taken > 0) sent_ += static_cast<size_t>(taken);
    return taken > 0;
  }

  bool IsOpen() const { return fd_ >= 0; }

  void Reset() {
    const linger at_once = {.l_onoff = 1, .l_linger = 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    Close();
  }

 private:
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

  int fd_;
  size_t sent_ = 0;
};

caller_crowd::caller_crowd() = default;
caller_crowd::~caller_crowd() = default;

int caller_crowd::Connect(uint16_t port, int connections) {
  int made = 0;
  for (int i = 0; i < connections; ++i) {
    connections_.push_back(std::make_unique<connection>(port));
    if (connections_.back()->IsOpen()) ++made;
  }
  return made;
}

void caller_crowd::Send(const std::string& text, size_t bytes,
                        const std::function<bool()>& go_on) {
  bool more = true;
  while (more) {
    more = false;
    for (const auto& connection : connections_) {
      if (connection->SendSome(text, bytes)) more = true;
    }
    if (!go_on()) return;
  }
}

void caller_crowd::Reset() {
  for (const auto& connection : connections_) connection->Reset();
  connections_.clear();
}

}  // namespace anvilridge
