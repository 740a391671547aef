#ifndef ANVILRIDGE_REVIEW_LAB_LAB_H_
#define ANVILRIDGE_REVIEW_LAB_LAB_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins of the platform around one daemon, for the scripts of the second
/// review: its store, HTTP servers, and the daemon as a process.
namespace lab {

/// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Partitions of a topic, and of the four topics of the group of daemons.
inline constexpr size_t kPartitions = 12;
inline constexpr size_t kGroupPartitions = 4 * kPartitions;

/// Returns whether the disruption is to be left out (`TROUBLE=0`).
bool IsCalm();

/// Seconds since the program started.
double Now();

/// Sleeps for `seconds`.
void Sleep(double seconds);

/// Lines of what was sent, answered and run, written to `record.txt`.
class record {
 public:
  /// @param file path of the file, which is replaced.
  explicit record(const std::string& file);
  ~record();
  record(const record&) = delete;
  record& operator=(const record&) = delete;

  /// Adds `line` with the time, to the file and to standard output.
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  int descriptor_ = -1;
};

/// One HTTP message that was read.
struct message {
  /// Request line or status line, without its end.
  std::string start;
  /// Names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;

  /// Returns the value of the field `name`, "" if it is absent.
  std::string Field(const std::string& name) const;
  /// Returns the second word of the start line: target or status.
  std::string Word() const;
};

/// Reads HTTP messages from a connection; knows bodies with a length, in
/// chunks, and none.
class reader {
 public:
  explicit reader(int descriptor) : descriptor_(descriptor) {}

  /// Reads the head of the next message. Returns false at the end.
  bool ReadHead(message& into);
  /// Reads the body that the head of `into` announces. Returns false if the
  /// connection ends before it does.
  bool ReadBody(message& into);
  /// Reads head and body.
  bool Read(message& into) { return ReadHead(into) && ReadBody(into); }

 private:
  bool Fill();
  bool TakeLine(std::string& line);
  bool TakeBytes(size_t count, std::string& into);

  int descriptor_;
  std::string pending_;
};

/// Sends all of `bytes`. Returns false if the connection has ended.
bool SendAll(int descriptor, const std::string& bytes);

/// Connects to `port` of the loopback address; -1 on failure.
int Connect(int port);

/// Bounds the time of each later read from `descriptor`.
void SetReadTimeout(int descriptor, double seconds);

/// Server with a thread for each connection.
class server {
 public:
  /// Serves one connection until it ends; the server closes the descriptor.
  using handler = std::function<void(int descriptor)>;

  explicit server(handler serve);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  int Port() const { return port_; }

 private:
  void Accept();

  handler serve_;
  int listening_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable idle_;
  // Guarded by `mutex_`.
  std::map<int, bool> open_;
  bool stopping_ = false;
  std::thread accepting_;
};

/// The platform's store as far as a daemon uses it: a log with keyed topics,
/// and a group with the partitions of four topics.
class store {
 public:
  store();

  /// Appends a record. An empty value removes the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  int Port() const { return server_.Port(); }
  /// Serves one connection; for further addresses of the same store.
  void Serve(int descriptor);

 private:
  struct entry {
    std::string key;
    std::string value;
  };

  std::string Read(const std::string& target);
  std::string Newest(const std::string& target);
  // Ends members whose time is up and hands out what nobody holds.
  void Assign();
  std::string Join(const std::string& body);
  std::string Owners();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::vector<entry>> topics_;
  std::map<std::string, double> members_;
  int generation_ = 1;
  // Of each partition: the member that holds it, and the one that is to.
  std::vector<std::string> holders_ =
      std::vector<std::string>(kGroupPartitions);
  std::vector<std::string> targets_ =
      std::vector<std::string>(kGroupPartitions);
  // Last: its threads use the rest.
  server server_;
};

/// Settings of a small deployment's machine.
struct machine {
  std::string name = "front-a-1";
  std::string zone = "a";
  int memory_mb = 110;
  int grace_s = 8;
};

/// The daemon of the deploy file, as a process with settings of its own.
class daemon {
 public:
  /// @param store_port port of the store on the loopback address.
  daemon(const machine& machine, int store_port);
  /// Kills the process if it still runs.
  ~daemon();
  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;

  /// Starts the process. Returns whether it became ready within 10 s.
  bool Start();
  /// Replaces the settings file by one with another address of the store.
  void WriteSettings(int store_port) const;
  /// Sends `signal` to the process.
  void Signal(int signal) const;
  /// Returns whether the process runs.
  bool Running();
  /// Returns whether the path that says ready is answered with 200.
  bool Ready() const;
  /// Returns a number of the process's status in kB, such as `VmHWM:`; -1 if it
  /// has none.
  int64_t StatusKb(const std::string& field) const;
  int CallerPort() const { return caller_port_; }
  int SharingPort() const { return sharing_port_; }

 private:
  machine machine_;
  std::string folder_;
  int caller_port_;
  int ready_port_;
  int metrics_port_;
  int sharing_port_;
  pid_t pid_ = -1;
};

/// Returns the answer of an engine or service to `request`: status line, the
/// request's id and a seal, without framing.
std::string AnswerHead(const message& request, int status);

/// Returns the entry of an upstream in `keyed.servers`.
/// @param stage `prefill`, `decode`, or "" for a plain service.
std::string Entry(const std::string& service, int port,
                  const std::string& stage, int slots);

/// Returns the configuration with the limits of the users' sites: `/u/` is
/// unsafe and `/g/` safe at the service `app`, `/s/` and `/r/` stream from
/// `llm`, and those of `/r/` may be resumed.
std::string Config(int version);

}  // namespace lab

#endif  // ANVILRIDGE_REVIEW_LAB_LAB_H_
