#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <utility>

namespace review {
namespace {

constexpr int kPollMs = 50;

int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

const int64_t kStartMs = SteadyMs();

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Stripped(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return std::string(text);
}

message ParseHead(const std::string& head) {
  message parsed;
  size_t at = 0;
  while (at < head.size()) {
    const size_t end = std::min(head.find("\r\n", at), head.size());
    const std::string line = head.substr(at, end - at);
    at = end + 2;
    if (parsed.start_line.empty()) {
      parsed.start_line = line;
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    parsed.fields[Lower(line.substr(0, colon))] =
        Stripped(std::string_view(line).substr(colon + 1));
  }
  const size_t first = parsed.start_line.find(' ');
  if (first == std::string::npos) return parsed;
  if (parsed.start_line.rfind("HTTP/", 0) == 0) {
    parsed.status = std::atoi(parsed.start_line.c_str() + first + 1);
    return parsed;
  }
  parsed.method = parsed.start_line.substr(0, first);
  const size_t second = parsed.start_line.find(' ', first + 1);
  parsed.target = parsed.start_line.substr(first + 1, second - first - 1);
  return parsed;
}

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

}  // namespace

int64_t NowMs() { return SteadyMs() - kStartMs; }

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<int64_t>(ms, 0)));
}

std::string message::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? "" : found->second;
}

connection::~connection() { ::close(descriptor_); }

bool connection::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent =
        ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool connection::Fill(int64_t until_ms, const std::atomic<bool>* stop) {
  while (NowMs() < until_ms && (stop == nullptr || !stop->load())) {
    pollfd wait{descriptor_, POLLIN, 0};
    const int64_t left = std::clamp<int64_t>(until_ms - NowMs(), 1, kPollMs);
    if (::poll(&wait, 1, static_cast<int>(left)) <= 0) continue;
    std::array<char, 16384> bytes;
    const ssize_t read = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    if (read <= 0) return false;
    buffer_.append(bytes.data(), static_cast<size_t>(read));
    return true;
  }
  return false;
}

std::optional<message> connection::Read(int64_t until_ms,
                                        const std::atomic<bool>* stop) {
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until_ms, stop)) return std::nullopt;
  }
  message read = ParseHead(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  if (!ReadBody(read, until_ms, stop)) return std::nullopt;
  return read;
}

bool connection::ReadBody(message& read, int64_t until_ms,
                          const std::atomic<bool>* stop) {
  if (Lower(read.Field("transfer-encoding")) != "chunked") {
    const auto length =
        static_cast<size_t>(std::atoll(read.Field("content-length").c_str()));
    while (buffer_.size() < length) {
      if (!Fill(until_ms, stop)) return false;
    }
    read.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }
  while (true) {
    size_t line = 0;
    while ((line = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill(until_ms, stop)) return false;
    }
    const auto size =
        static_cast<size_t>(std::strtoull(buffer_.c_str(), nullptr, 16));
    while (buffer_.size() < line + 2 + size + 2) {
      if (!Fill(until_ms, stop)) return false;
    }
    read.body += buffer_.substr(line + 2, size);
    buffer_.erase(0, line + 2 + size + 2);
    if (size == 0) return true;
  }
}

bool connection::IsClosed() const {
  char next = 0;
  return ::recv(descriptor_, &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void connection::Reset() {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  ::shutdown(descriptor_, SHUT_RDWR);
}

std::unique_ptr<connection> Connect(const std::string& ip, int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip, port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<connection>(descriptor);
}

server::server(const std::string& ip, int port, handler on_request)
    : on_request_(std::move(on_request)) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  constexpr int kBacklog = 256;
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(descriptor, kBacklog) != 0) {
    ::close(descriptor);
    return;
  }
  listener_ = descriptor;
  accepting_ = std::thread([this] { Accept(); });
}

server::~server() {
  End();
  while (serving_.load() > 0) SleepMs(1);
}

void server::End() {
  if (stop_.exchange(true)) return;
  if (accepting_.joinable()) accepting_.join();
  if (listener_ >= 0) ::close(listener_);
  const std::lock_guard lock(mutex_);
  for (const auto& weak : open_) {
    if (const auto with = weak.lock()) with->Reset();
  }
}

void server::Accept() {
  while (!stop_.load()) {
    pollfd wait{listener_, POLLIN, 0};
    if (::poll(&wait, 1, kPollMs) <= 0) continue;
    const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) continue;
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto with = std::make_shared<connection>(descriptor);
    {
      const std::lock_guard lock(mutex_);
      std::erase_if(open_, [](const auto& weak) { return weak.expired(); });
      open_.push_back(with);
    }
    ++serving_;
    std::thread([this, with = std::move(with)]() mutable {
      Serve(with);
      with.reset();
      --serving_;
    }).detach();
  }
}

void server::Serve(const std::shared_ptr<connection>& with) {
  constexpr int64_t kIdleMs = 15000;
  while (!stop_.load()) {
    const auto request = with->Read(NowMs() + kIdleMs, &stop_);
    if (!request) return;
    on_request_(*request, *with);
  }
}

std::string ResponseHead(int status, const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields;
}

std::string JsonResponse(int status, const std::string& fields,
                         const std::string& body) {
  return ResponseHead(status, fields) +
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string JsonValue(const std::string& json, const std::string& name) {
  const size_t at = json.find("\"" + name + "\"");
  if (at == std::string::npos) return "";
  size_t from = json.find(':', at + name.size() + 2);
  if (from == std::string::npos) return "";
  from = json.find_first_not_of(" \n\t", from + 1);
  if (from == std::string::npos) return "";
  if (json[from] == '"') {
    return json.substr(from + 1, json.find('"', from + 1) - from - 1);
  }
  return json.substr(from, json.find_first_of(",}] \n", from) - from);
}

int64_t JsonNumber(const std::string& json, const std::string& name) {
  return std::strtoll(JsonValue(json, name).c_str(), nullptr, 10);
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t query = target.find('?');
  if (query == std::string::npos) return "";
  const std::string text = "&" + target.substr(query + 1);
  const size_t at = text.find("&" + name + "=");
  if (at == std::string::npos) return "";
  const size_t from = at + name.size() + 2;
  return text.substr(from, text.find('&', from) - from);
}

int64_t QueryNumber(const std::string& target, const std::string& name) {
  return std::strtoll(QueryValue(target, name).c_str(), nullptr, 10);
}

}  // namespace review
