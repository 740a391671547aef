// Connections that callers make while the callers' port closes.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdint>
#include <thread>
#include <tuple>
#include <vector>

#include "caller/caller_world_for_test.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr int kCallers = 16;
constexpr int kRounds = 30;
// Longer than a connection on loopback takes, also beside load; far shorter
// than the kernel's second try.
constexpr int kConnectPatienceMs = 100;

/// What became of the calls on connections that were made.
struct call_ends {
  std::atomic<int> answered{0};
  std::atomic<int> broken{0};
};

bool Await(int socket, int16_t event, int patience_ms) {
  pollfd awaited{.fd = socket, .events = event, .revents = 0};
  return ::poll(&awaited, 1, patience_ms) > 0;
}

/// Begins a connection to `port` on loopback.
/// @return its socket, which doesn't block.
int BeginConnection(uint16_t port) {
  const int made =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  std::ignore = ::connect(made, reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address));
  return made;
}

bool Connects(int socket) {
  if (!Await(socket, POLLOUT, kConnectPatienceMs)) return false;
  int error = 0;
  socklen_t size = sizeof(error);
  ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
  return error == 0;
}

/// Sends one call on a connected `socket` and reads to the end.
/// @return whether an answer came.
bool Call(int socket) {
  const std::string text = Get("/a");
  if (::send(socket, text.data(), text.size(), MSG_NOSIGNAL) < 0) return false;
  char bytes[1024];
  if (!Await(socket, POLLIN, kPatienceMs)) return false;
  return ::recv(socket, bytes, sizeof(bytes), 0) > 0;
}

void CallUntilGone(uint16_t port, call_ends& ends) {
  bool gone = false;
  while (!gone) {
    const int socket = BeginConnection(port);
    gone = !Connects(socket);
    if (!gone) ++(Call(socket) ? ends.answered : ends.broken);
    ::close(socket);
  }
}

// Guards against resetting connections that the kernel makes between the last
// accept and the close.
TEST_F(caller_port_thread_test, ClosingAnswersEveryConnectionThatIsMade) {
  call_ends ends;
  for (int round = 0; round < kRounds; ++round) {
    const int before = ends.answered;
    Start();
    std::atomic<int> calling{kCallers};
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, port = port_->Port()] {
        CallUntilGone(port, ends);
        --calling;
      });
    }
    EXPECT_TRUE(WaitFor([&] { return ends.answered > before + kCallers; }));
    port_->BeginClose();
    EXPECT_TRUE(WaitFor([&] { return calling == 0 && port_->Closed(); }));
    for (std::thread& caller : callers) caller.join();
  }
  EXPECT_EQ(ends.broken, 0) << "of " << ends.answered;
  EXPECT_EQ(cuts_.Text(), "");
}

}  // namespace
}  // namespace anvilridge
