#ifndef ANVILRIDGE_REVIEW_SCENE_H_
#define ANVILRIDGE_REVIEW_SCENE_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Stand-ins of the platform, of upstreams and of callers for the cases of the
/// review. They speak what the users' pages say, over blocking sockets on
/// loopback addresses, with a thread for each connection.
namespace review {

/// Seconds since the process started.
double Now();

/// Sleeps for `seconds`.
void Sleep(double seconds);

/// Names of header fields are lower case.
using header_map = std::map<std::string, std::string>;

struct request {
  std::string method;
  std::string target;
  header_map headers;
  std::string body;
};

struct response {
  /// 0 if the connection ended before a status line.
  int status = 0;
  /// Whether the response has arrived whole.
  bool complete = false;
  header_map headers;
  std::string body;
};

/// Writes what happens to a file, a line each with the time.
class recorder {
 public:
  explicit recorder(const std::string& path);
  ~recorder();
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

/// A connected socket, closed with the object.
class connection {
 public:
  explicit connection(int descriptor) : descriptor_(descriptor) {}
  ~connection() { Close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Connects to a port of the loopback address; null on failure.
  static std::unique_ptr<connection> Open(uint16_t port);

  bool Write(const std::string& bytes) const;
  /// Returns false at the end of the connection, or after the time limit.
  bool ReadLine(std::string& line);
  bool ReadBytes(size_t count, std::string& bytes);
  bool ReadRequest(request& read);
  response ReadResponse();
  /// Ends reads that wait for longer.
  void SetTimeout(double seconds) const;
  void Close();

 private:
  bool Fill();

  int descriptor_;
  std::string buffer_;
};

/// Serves requests on a free port of the loopback address until the process
/// ends. The handler returns false to close the connection.
class server {
 public:
  using handler = std::function<bool(connection& caller, const request& read)>;

  explicit server(handler handle);
  std::string Address() const;

 private:
  struct state;
  std::shared_ptr<state> state_;
};

/// Writes a whole response with the marks of an upstream's own.
bool Answer(connection& caller, const request& read, int status,
            const std::string& body);
/// Begins a response that is a stream of events.
bool BeginStream(connection& caller, const request& read);
/// Writes the event `id` as a chunk.
bool WriteEvent(connection& caller, int id);
bool EndStream(connection& caller);

/// The platform's store: a log with two topics, and one group.
class store {
 public:
  store();
  std::string Address() const { return server_->Address(); }
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);

 private:
  bool Handle(connection& caller, const request& read);
  std::string Read(const request& read);
  std::string Newest(const request& read);
  std::string Join(const std::string& body);
  std::string Owners();

  std::mutex mutex_;
  std::map<std::string, std::vector<std::pair<std::string, std::string>>>
      topics_;
  /// Ends of the leases by member.
  std::map<std::string, double> members_;
  int generation_ = 1;
  std::unique_ptr<server> server_;
};

/// Entry of an upstream in the store; `stage` is empty for plain services.
/// @param state `ready` or `draining`.
std::string UpstreamEntry(const std::string& service,
                          const std::string& address, const std::string& stage,
                          const std::string& state = "ready");

/// The configuration of the cases: host `a.example` with the routes `/draft/`
/// (a stream that may be resumed), `/note/` (one that may not), `/post/`
/// (unsafe) and `/read/` (safe), and the limits that the users' pages show.
std::string Configuration();

/// Returns a port that nobody listens on.
uint16_t FreePort();

/// The daemon as the deploy file runs it, with settings by its template.
class fleet_daemon {
 public:
  /// @param program path of `anvilridge_fleet`.
  /// @param folder where settings and output are written.
  fleet_daemon(std::string program, std::string folder,
               const std::string& store, int memory_mb);
  ~fleet_daemon();

  void Start();
  /// Waits until the daemon says that it is ready.
  bool WaitReady(double seconds) const;
  void Kill();
  bool Running();
  /// Resident memory in MiB, without the pages of files such as the program
  /// and its libraries; 0 if the process has ended.
  double MemoryMb() const;
  uint16_t CallerPort() const { return caller_port_; }

 private:
  std::string program_;
  std::string folder_;
  uint16_t caller_port_;
  uint16_t ready_port_;
  std::mutex mutex_;
  pid_t process_ = -1;
};

/// A new id for a request.
std::string NewId();

/// Text of a request with the fields that all callers send.
/// @param fields further header fields, each with its line end.
std::string RequestText(const std::string& method, const std::string& target,
                        const std::string& id, int time_limit_ms,
                        const std::string& fields, const std::string& body);

/// Fields of a request to a model engine, whose prompt begins with a part that
/// other prompts share.
std::string PromptFields(const std::string& id, int prompt_tokens,
                         int output_tokens, const std::string& shared_part,
                         int shared_tokens);

}  // namespace review

#endif  // ANVILRIDGE_REVIEW_SCENE_H_
