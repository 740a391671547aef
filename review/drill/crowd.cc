#include "crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>
#include <vector>

#include "fleet.h"
#include "http.h"

namespace review {
namespace {

// One caller of the crowd.
struct crowd_caller {
  int descriptor = -1;
  size_t sent = 0;
};

int Open(const std::string& ip, bool reads) {
  const int descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int receive_bytes = 2048;
  if (!reads) {
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                 sizeof(receive_bytes));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kCallerPort);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0 ||
      errno == EINPROGRESS) {
    return descriptor;
  }
  ::close(descriptor);
  return -1;
}

// Returns the bytes that follow the first `sent` ones.
std::string_view Next(const crowd_plan& plan, size_t sent) {
  if (sent < plan.head.size()) {
    return std::string_view(plan.head).substr(sent);
  }
  const size_t at = (sent - plan.head.size()) % plan.block.size();
  return std::string_view(plan.block).substr(at, plan.bytes_of_each - sent);
}

// Returns whether the daemon has answered or closed.
bool HasAnswer(int descriptor) {
  std::array<char, 4096> bytes;
  const ssize_t read =
      ::recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
  return read >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// Sends the next bytes of `caller`, and returns their number.
int64_t SendNext(const std::string& ip, const crowd_plan& plan,
                 crowd_caller& caller) {
  if (plan.reads && caller.descriptor >= 0 && caller.sent > 0 &&
      HasAnswer(caller.descriptor)) {
    ::close(std::exchange(caller.descriptor, -1));
  }
  if (caller.descriptor < 0) {
    caller.descriptor = Open(ip, plan.reads);
    caller.sent = 0;
  }
  if (caller.descriptor < 0 || caller.sent >= plan.bytes_of_each) return 0;
  constexpr size_t kPiece = 16384;
  const std::string_view bytes = Next(plan, caller.sent).substr(0, kPiece);
  const ssize_t sent = ::send(caller.descriptor, bytes.data(), bytes.size(),
                              MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent <= 0) return 0;
  caller.sent += static_cast<size_t>(sent);
  return sent;
}

}  // namespace

int64_t RunCrowd(const std::string& ip, const crowd_plan& plan,
                 const std::atomic<bool>& stop) {
  std::vector<crowd_caller> crowd(static_cast<size_t>(plan.callers));
  for (crowd_caller& caller : crowd) caller.descriptor = Open(ip, plan.reads);
  const int64_t start = NowMs();
  int64_t total = 0;
  while (!stop.load() && NowMs() - start < plan.duration_ms) {
    for (crowd_caller& caller : crowd) {
      if (stop.load() || total > plan.bytes_per_ms * (NowMs() - start)) break;
      total += SendNext(ip, plan, caller);
    }
    SleepMs(1);
  }
  for (const crowd_caller& caller : crowd) {
    if (caller.descriptor >= 0) ::close(caller.descriptor);
  }
  return total;
}

}  // namespace review
