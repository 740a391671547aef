#ifndef ANVILRIDGE_REVIEW_DRILL_SCENE_H_
#define ANVILRIDGE_REVIEW_DRILL_SCENE_H_

#include <memory>
#include <string>
#include <vector>

#include "engines.h"
#include "fleet.h"
#include "store.h"

namespace review {

/// A small deployment: daemons, four unless told otherwise, the store, a model
/// service with five engines and a plain service with three.
class scene {
 public:
  /// @param folder of the case, for its record.
  explicit scene(const std::string& folder);
  ~scene();
  scene(const scene&) = delete;
  scene& operator=(const scene&) = delete;

  /// Starts all. Returns false if the daemons don't get ready.
  /// @param work_ms time for one request of the plain service.
  bool Start(size_t daemon_count = 4, int memory_mb = 520,
             int64_t work_ms = 30);

  /// Starts an engine of the plain service at address `number`.
  engine& StartPlainEngine(int number, const std::string& service,
                           int64_t cold_ms, int64_t work_ms = 30);
  engine& EngineOf(const std::string& id);

  /// Writes a configuration: the one at the start, with its version and with
  /// the service that postings go to.
  void PutConfig(int version, const std::string& posting_service);

  /// Begins postings, which may run once at most, to each daemon.
  void StartPostings(int64_t interval_ms);
  void StopPostings();
  /// Sends postings to each daemon, all at once, and waits for the answers.
  void SendPostings(int to_each);
  std::vector<client_answer> Postings();

  /// Writes all requests and answers to the record.
  void WriteRecord();

  /// Address of the daemon that a request was sent to, by its id.
  static std::string DaemonOf(const std::string& request_id);

  run_record record;
  addresses at;
  store_server store;
  engine_log log;
  std::vector<std::unique_ptr<daemon_process>> daemons;

 private:
  void AddEngine(const engine_setup& setup);

  const std::string folder_;
  std::vector<std::unique_ptr<engine>> engines_;
  std::vector<std::unique_ptr<client_load>> postings_;
  // Postings that were sent at once, and the number of those.
  std::vector<client_answer> sent_at_once_;
  int rounds_ = 0;
};

}  // namespace review

#endif  // ANVILRIDGE_REVIEW_DRILL_SCENE_H_
