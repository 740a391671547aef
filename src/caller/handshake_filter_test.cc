#include "caller/handshake_filter.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <string>
#include <tuple>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

// Longer than a connection on loopback takes, shorter than the kernel's second
// try.
constexpr int kNoAnswerMs = 300;
// Beyond the kernel's second try.
constexpr int kPatienceMs = 8000;

/// A non-blocking socket on a free loopback port, closed with this.
class test_socket {
 public:
  explicit test_socket(int descriptor) : descriptor_(descriptor) {}
  ~test_socket() { Close(); }
  test_socket(const test_socket&) = delete;
  test_socket& operator=(const test_socket&) = delete;

  int Get() const { return descriptor_; }
  void Close() {
    if (descriptor_ >= 0) ::close(descriptor_);
    descriptor_ = -1;
  }
  bool Ready(int16_t event, int patience_ms) const {
    pollfd awaited{.fd = descriptor_, .events = event, .revents = 0};
    return ::poll(&awaited, 1, patience_ms) > 0;
  }
  int Error() const {
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
    return error;
  }
  std::string Read() const {
    std::array<char, 64> bytes{};
    if (!Ready(POLLIN, kPatienceMs)) return "";
    const ssize_t count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    return {bytes.data(), count > 0 ? static_cast<size_t>(count) : 0};
  }
  void Write(const std::string& text) const {
    EXPECT_EQ(::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
  }

 private:
  int descriptor_;
};

/// Runs with IPv4 and with IPv6, whose headers before TCP's differ.
class handshake_filter_test : public testing::TestWithParam<int> {
 protected:
  handshake_filter_test() : listening_(MakeSocket()) {
    EXPECT_EQ(::bind(listening_.Get(), Address(), sizeof(address_)), 0);
    EXPECT_EQ(::listen(listening_.Get(), 16), 0);
    socklen_t size = sizeof(address_);
    EXPECT_EQ(::getsockname(listening_.Get(), Address(), &size), 0);
  }
  static int MakeSocket() {
    return ::socket(GetParam(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  }
  static sockaddr_in6 Loopback() {
    sockaddr_in6 address{};
    if (GetParam() == AF_INET6) {
      address.sin6_family = AF_INET6;
      address.sin6_addr = in6addr_loopback;
    } else {
      auto* four = reinterpret_cast<sockaddr_in*>(&address);
      four->sin_family = AF_INET;
      four->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    }
    return address;
  }
  sockaddr* Address() { return reinterpret_cast<sockaddr*>(&address_); }
  void Connect(const test_socket& caller) {
    std::ignore = ::connect(caller.Get(), Address(), sizeof(address_));
  }

  sockaddr_in6 address_ = Loopback();
  test_socket listening_;
};

TEST_P(handshake_filter_test, ConnectionsThatAreMadeBeforeWorkOn) {
  const test_socket before(MakeSocket());
  Connect(before);
  ASSERT_TRUE(before.Ready(POLLOUT, kPatienceMs));
  ASSERT_TRUE(DropNewHandshakes(listening_.Get()).ok());
  const test_socket accepted(::accept4(listening_.Get(), nullptr, nullptr, 0));
  ASSERT_GE(accepted.Get(), 0);
  before.Write("question");
  EXPECT_EQ(accepted.Read(), "question");
  accepted.Write("answer");
  EXPECT_EQ(before.Read(), "answer");
}

TEST_P(handshake_filter_test, NoConnectionIsMadeAfterwards) {
  ASSERT_TRUE(DropNewHandshakes(listening_.Get()).ok());
  const test_socket late(MakeSocket());
  Connect(late);
  EXPECT_FALSE(late.Ready(POLLOUT, kNoAnswerMs));
  EXPECT_EQ(::accept4(listening_.Get(), nullptr, nullptr, 0), -1);
  EXPECT_EQ(errno, EAGAIN);
  listening_.Close();
  ASSERT_TRUE(late.Ready(POLLOUT, kPatienceMs));
  EXPECT_EQ(late.Error(), ECONNREFUSED);
}

TEST_P(handshake_filter_test, SaysWhenNothingIsFiltered) {
  EXPECT_FALSE(DropNewHandshakes(-1).ok());
}

INSTANTIATE_TEST_SUITE_P(families, handshake_filter_test,
                         testing::Values(AF_INET, AF_INET6),
                         [](const auto& info) {
                           return info.param == AF_INET6 ? "ip6" : "ip4";
                         });

}  // namespace
}  // namespace anvilridge
