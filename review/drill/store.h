#ifndef ANVILRIDGE_REVIEW_DRILL_STORE_H_
#define ANVILRIDGE_REVIEW_DRILL_STORE_H_

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http.h"

namespace review {

/// The record of a run: lines with the time in ms since the program's start.
class run_record {
 public:
  explicit run_record(const std::string& file) : out_(file) {}
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

/// Stand-in of the platform's store, by its published calls: keyed topics with
/// long reads, and one group. It can be away, and come back from an older copy.
class store_server {
 public:
  store_server(const std::string& ip, int port, run_record& record);

  bool Ok() const { return server_->Ok(); }

  /// Appends a record to partition 0 of `topic`; without a value, `key` is
  /// dropped. Returns its offset, or -1 while the store is away.
  int64_t Put(const std::string& topic, const std::string& key,
              const std::optional<std::string>& value);

  /// Copies the whole state, for a later `ReturnFromCopy`.
  void TakeCopy();

  /// While away, the store does nothing and answers 503.
  void GoAway();
  /// Returns with its state, or with that of the copy and the next era.
  void Return();
  void ReturnFromCopy();

  /// Deals all partitions of the group anew, the first one to `first`.
  void DealAnew(const std::string& first);

  /// Returns the holder of the group's first partition, or "".
  std::string FirstHolder();
  /// Returns the generation of the group that `member` received last, 0 if it
  /// received none.
  int64_t GenerationOf(const std::string& member);
  /// Returns the members of the group.
  std::vector<std::string> Members();

 private:
  struct stored_record {
    std::string key;
    std::optional<std::string> value;
  };
  struct group_member {
    int64_t ttl_ms = 0;
    int64_t lease_end_ms = 0;
  };
  // What is kept, and what a copy holds.
  struct kept_state {
    std::map<std::string, std::vector<stored_record>> topics;
    std::map<std::string, group_member> members;
    int64_t generation = 0;
    // Member that holds a partition, and the one that shall; by partition.
    std::vector<std::string> owners;
    std::vector<std::string> targets;
  };

  void Answer(const message& request, connection& with);
  void AnswerRead(const message& request, connection& with);
  std::string List(const std::string& topic);
  std::string Join(const std::string& body);
  std::string Owners();
  void Leave(const std::string& body);
  void EndLeases();
  void SpreadPartitions();
  void GivePartitions();
  std::string EraField() const;

  run_record& record_;
  std::mutex mutex_;
  // Guarded by `mutex_`.
  kept_state state_;
  kept_state copy_;
  bool away_ = false;
  int64_t era_ = 1;
  // Generation received last, by member; not kept by the store itself.
  std::map<std::string, int64_t> received_;
  std::unique_ptr<server> server_;
};

}  // namespace review

#endif  // ANVILRIDGE_REVIEW_DRILL_STORE_H_
