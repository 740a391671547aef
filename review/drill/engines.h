#ifndef ANVILRIDGE_REVIEW_DRILL_ENGINES_H_
#define ANVILRIDGE_REVIEW_DRILL_ENGINES_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

/// An order that arrived at an engine, and the status it was answered with.
struct arrived_order {
  std::string engine;
  std::string holder;
  int64_t fence = 0;
  int status = 0;
  int64_t at_ms = 0;
};

/// A request that an engine began to run.
struct arrived_request {
  std::string engine;
  std::string id;
  std::string service;
  int64_t at_ms = 0;
};

/// What all engines of a run have seen.
class engine_log {
 public:
  void Add(const arrived_order& order);
  void Add(const arrived_request& request);
  std::vector<arrived_order> Orders();
  std::vector<arrived_request> Requests();

 private:
  std::mutex mutex_;
  std::vector<arrived_order> orders_;
  std::vector<arrived_request> requests_;
};

/// How an engine is set up.
struct engine_setup {
  std::string id;
  std::string service;
  std::string ip;
  int port = 8080;
  /// "prefill" or "decode"; empty for an engine of a plain service.
  std::string stage;
  int slots = 6;
  /// How long it stays slow after its start, as it says in its entry.
  int64_t cold_ms = 0;
  /// Time for one request of a plain service.
  int64_t work_ms = 30;
};

/// Stand-in of an engine: registers itself in the store, checks for whom a
/// request is, and runs it. A model engine prefills prompts, streams answers
/// and takes orders, and checks their fence numbers.
class engine {
 public:
  engine(engine_setup setup, store_server& store, engine_log& log,
         run_record& record);
  ~engine();
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;

  bool Ok() const { return server_->Ok(); }
  const std::string& Id() const { return setup_.id; }

  /// Reports that it drains. Returns when the store has accepted that.
  void Drain();

  /// Ends: cuts off what it runs, and has its entry removed.
  void End();

  /// Writes its entry again: the store has lost it.
  void WriteAgain() { write_again_ = true; }

 private:
  // Returns the fields that all of its answers have.
  std::string Marks(const message& request);
  std::string NotRun(int status, const message& request);
  std::string Entry(bool with_seq);
  void Beat();
  bool Write();
  void Answer(const message& request, connection& with);
  void AnswerOrder(const message& request, connection& with);
  void AnswerModelRequest(const message& request, connection& with);
  void Prefill(const message& request, connection& with);
  void Decode(const message& request, connection& with);

  const engine_setup setup_;
  store_server& store_;
  engine_log& log_;
  run_record& record_;
  const int64_t start_ms_;
  const int64_t born_ms_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  std::string stage_;
  std::string next_stage_;
  int64_t stage_at_ms_ = 0;
  int64_t fence_ = 0;
  int64_t orders_ = 0;
  bool draining_ = false;
  int64_t seq_ = 0;
  std::string written_;
  std::atomic<bool> write_again_ = false;
  std::atomic<bool> ended_ = false;
  std::atomic<int64_t> handles_ = 0;
  std::unique_ptr<server> server_;
  std::thread beating_;
};

}  // namespace review

#endif  // ANVILRIDGE_REVIEW_DRILL_ENGINES_H_
