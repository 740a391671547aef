#ifndef ANVILRIDGE_REVIEW_DRILL_FLEET_H_
#define ANVILRIDGE_REVIEW_DRILL_FLEET_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "store.h"

namespace review {

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// Addresses of a run: a loopback network of its own.
struct addresses {
  std::string prefix;

  std::string Store() const { return prefix + "200"; }
  std::string Daemon(int number) const {
    return prefix + std::to_string(number);
  }
  std::string Engine(int number) const {
    return prefix + std::to_string(100 + number);
  }
};

inline constexpr int kStorePort = 8142;
inline constexpr int kCallerPort = 8144;
inline constexpr int kReadyPort = 8140;
inline constexpr int kSharingPort = 7660;

/// Returns addresses on which nothing listens.
addresses FreeAddresses();

/// One daemon as a process, started with the command of the deploy file and the
/// settings of its template.
class daemon_process {
 public:
  /// @param folder for its settings file and its log.
  /// @param memory_mb memory of its machine.
  daemon_process(const addresses& at, int number, const std::string& folder,
                 int memory_mb);
  ~daemon_process();
  daemon_process(const daemon_process&) = delete;
  daemon_process& operator=(const daemon_process&) = delete;

  const std::string& Ip() const { return ip_; }
  /// Name in the store's group, which is the holder in orders.
  std::string Member() const;
  bool IsReady() const;
  /// Returns the text of its log.
  std::string Log() const;
  bool Runs() const;
  /// Returns the memory of the process in KB, 0 once it has ended.
  int64_t ResidentKb() const;
  /// Ends the process as the platform does with one over its memory.
  void Kill();

 private:
  std::string ip_;
  std::string log_file_;
  int pid_ = -1;
};

/// What a client has seen of one request.
struct client_answer {
  std::string id;
  /// 0 if the channel ended without a complete answer.
  int status = 0;
  bool has_seal = false;
  std::string ip;
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;
};

/// A request of a client.
struct client_request {
  std::string path;
  std::string fields;
  std::string body;
  int64_t deadline_ms = 1000;
};

/// Sends a request to the daemon at `ip` on a new channel and reads its answer.
client_answer Ask(const std::string& ip, const client_request& request,
                  const std::string& id);

/// Sends a request on `channel`, a kept one to the daemon at `ip`, and reads
/// its answer.
client_answer AskOn(connection& channel, const std::string& ip,
                    const client_request& request, const std::string& id);

/// Clients that send requests at a steady rate until they are stopped.
class client_load {
 public:
  using choice = std::function<client_request(int64_t number)>;

  /// @param name begins the ids of the requests.
  client_load(std::string name, std::string ip, int64_t interval_ms,
              choice next);
  ~client_load();
  client_load(const client_load&) = delete;
  client_load& operator=(const client_load&) = delete;

  /// Stops, and waits for the answers that are due.
  void Stop();
  std::vector<client_answer> Answers();

 private:
  void Run();

  const std::string name_;
  const std::string ip_;
  const int64_t interval_ms_;
  const choice next_;
  std::atomic<bool> stop_ = false;
  std::atomic<int> waiting_ = 0;
  std::mutex mutex_;
  std::vector<client_answer> answers_;
  std::thread running_;
};

/// Waits until `done` returns true. Returns false if `limit_ms` passes before.
bool WaitFor(int64_t limit_ms, const std::function<bool()>& done);

/// Returns whether the environment's `TROUBLE` asks for the disruption.
bool WithTrouble();

/// Makes a temporary folder; it is removed at the end of the program.
std::string TemporaryFolder();

/// Ends the program with `kNotRun` once it has run for too long.
void LimitRunTime();

}  // namespace review

#endif  // ANVILRIDGE_REVIEW_DRILL_FLEET_H_
