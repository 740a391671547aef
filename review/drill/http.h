#ifndef ANVILRIDGE_REVIEW_DRILL_HTTP_H_
#define ANVILRIDGE_REVIEW_DRILL_HTTP_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds of the steady clock since the program's start.
int64_t NowMs();

void SleepMs(int64_t ms);

/// A request or a response. Field names are in lower case.
struct message {
  std::string start_line;
  std::string method;
  std::string target;
  int status = 0;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
};

/// A blocking TCP connection. Closed by its destructor.
class connection {
 public:
  explicit connection(int descriptor) : descriptor_(descriptor) {}
  ~connection();
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Returns whether all bytes were handed to the kernel.
  bool Send(std::string_view bytes);

  /// Reads the next message. Returns nothing if the peer closes before its
  /// end, or `until_ms` passes.
  /// @param stop ends the wait; may be null.
  std::optional<message> Read(int64_t until_ms, const std::atomic<bool>* stop);

  /// Returns whether the peer has closed.
  bool IsClosed() const;

  /// Closes with a reset.
  void Reset();

 private:
  bool Fill(int64_t until_ms, const std::atomic<bool>* stop);
  bool ReadBody(message& read, int64_t until_ms, const std::atomic<bool>* stop);

  int descriptor_;
  std::string buffer_;
};

/// Connects from any address to `ip`:`port`. Returns null on failure.
std::unique_ptr<connection> Connect(const std::string& ip, int port);

/// A server with a thread for each connection.
class server {
 public:
  using handler = std::function<void(const message&, connection&)>;

  /// Listens on `ip`:`port`; `Ok` tells whether that worked.
  server(const std::string& ip, int port, handler on_request);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  bool Ok() const { return listener_ >= 0; }

  /// Accepts no more and resets all connections, as a process that ends.
  void End();

 private:
  void Accept();
  void Serve(const std::shared_ptr<connection>& with);

  handler on_request_;
  int listener_ = -1;
  std::atomic<bool> stop_ = false;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::vector<std::weak_ptr<connection>> open_;
  std::atomic<int> serving_ = 0;
  std::thread accepting_;
};

/// Returns the head of a response with `fields`, each ended by CR LF.
std::string ResponseHead(int status, const std::string& fields);

/// Returns a whole response with a JSON body.
std::string JsonResponse(int status, const std::string& fields,
                         const std::string& body);

/// Returns the text or number of the first member `name` in a JSON text, or "".
std::string JsonValue(const std::string& json, const std::string& name);
int64_t JsonNumber(const std::string& json, const std::string& name);

/// Returns the value of a parameter in the query of `target`, or "".
std::string QueryValue(const std::string& target, const std::string& name);
int64_t QueryNumber(const std::string& target, const std::string& name);

}  // namespace review

#endif  // ANVILRIDGE_REVIEW_DRILL_HTTP_H_
