#ifndef ANVILRIDGE_TESTS_HARNESS_STORE_STANDIN_H_
#define ANVILRIDGE_TESTS_HARNESS_STORE_STANDIN_H_

#include <memory>
#include <string>

namespace anvilridge {

/// Stand-in for the platform's store by its published calls: topics that keep
/// records in order, long reads, and one group of daemons with leases. It can
/// come back from an older copy of itself, as the era in its answers shows.
/// Made and destroyed on a thread with a Qt event loop, on which it answers.
class store_standin {
 public:
  store_standin();
  ~store_standin();
  store_standin(const store_standin&) = delete;
  store_standin& operator=(const store_standin&) = delete;

  /// Returns `a.b.c.d:port`.
  std::string Address() const;

  /// Appends a record to a topic; may be called on any thread.
  /// @param value removes the key if empty.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);

  /// Copies all that it keeps. May be called on any thread.
  void TakeCopy();

  /// Replaces all that it keeps by the copy, and begins a new era. Leases begin
  /// anew. May be called on any thread.
  void ReturnFromCopy();

  /// Sets whether it answers; while it doesn't, it refuses each call. May be
  /// called on any thread.
  void SetUp(bool up);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_STORE_STANDIN_H_
