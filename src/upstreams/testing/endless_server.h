#ifndef ANVILRIDGE_UPSTREAMS_TESTING_ENDLESS_SERVER_H_
#define ANVILRIDGE_UPSTREAMS_TESTING_ENDLESS_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <ostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace anvilridge {

/// Bytes that an upstream sends in place of an answer: `begin`, and then
/// `repeated` until its caller closes the connection.
struct endless_answer {
  const char* name;
  std::string begin;
  std::string repeated;
};

inline std::ostream& operator<<(std::ostream& out,
                                const endless_answer& answer) {
  return out << answer.name;
}

/// Returns answers that never end in each of their parts.
inline std::vector<endless_answer> EndlessAnswers() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {{"no_http", "", "x"},
          {"blank_lines", "", "\r\n"},
          {"reason", "HTTP/1.1 200 ", "a"},
          {"field_name", head, "a"},
          {"field_value", head + "X-A: ", "b"},
          {"fields", head, "X-A: b\r\n"},
          {"interim_answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
          {"body", head + "\r\n", "b"},
          {"chunks", chunked, "4\r\nbody\r\n"},
          {"chunk_extension", chunked + "4;", "a"},
          {"trailers", chunked + "0\r\n", "X-A: b\r\n"}};
}

/// Sends one caller an endless answer as fast as it takes it, from a thread of
/// its own, until the caller closes the connection or the server is destroyed.
class endless_server {
 public:
  explicit endless_server(endless_answer answer) : answer_(std::move(answer)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    (void)::bind(listener_, reinterpret_cast<const sockaddr*>(&address), size);
    ::listen(listener_, 1);
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Serve(); });
  }
  ~endless_server() {
    stopped_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
  }
  endless_server(const endless_server&) = delete;
  endless_server& operator=(const endless_server&) = delete;

  std::string Address() const { return absl::StrCat("127.0.0.1:", port_); }
  /// Returns whether the caller has closed the connection.
  bool Closed() const { return closed_; }
  /// Returns the bytes that were sent, including those in socket buffers.
  size_t SentBytes() const { return sent_; }

 private:
  static constexpr size_t kBlockBytes = 64 << 10;

  void Serve() {
    const int caller = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0) return;
    const timeval patience{.tv_sec = 0, .tv_usec = 100'000};
    ::setsockopt(caller, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
    std::array<char, 1 << 12> request{};
    (void)::recv(caller, request.data(), request.size(), 0);
    std::string block;
    while (block.size() < kBlockBytes) block += answer_.repeated;
    bool open = Send(caller, answer_.begin);
    while (open) open = Send(caller, block);
    closed_ = !open && !stopped_;
    ::close(caller);
  }

  // Returns false once the caller has closed the connection.
  bool Send(int caller, const std::string& bytes) {
    size_t done = 0;
    while (done < bytes.size() && !stopped_) {
      const ssize_t written = ::send(caller, bytes.data() + done,
                                     bytes.size() - done, MSG_NOSIGNAL);
      if (written < 0 && errno != EAGAIN && errno != EINTR) return false;
      if (written < 0) continue;
      done += static_cast<size_t>(written);
      sent_ += static_cast<size_t>(written);
    }
    return !stopped_;
  }

  const endless_answer answer_;
  int listener_ = -1;
  uint16_t port_ = 0;
  std::atomic<bool> stopped_ = false;
  std::atomic<bool> closed_ = false;
  std::atomic<size_t> sent_ = 0;
  std::thread thread_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_TESTING_ENDLESS_SERVER_H_
