#ifndef ANVILRIDGE_BASE_PUBLISHED_H_
#define ANVILRIDGE_BASE_PUBLISHED_H_

#include <atomic>
#include <memory>
#include <utility>

namespace anvilridge {

/// A value that the control thread replaces and any thread reads.
template <typename T>
class published {
 public:
  /// Returns the latest value; null before the first.
  std::shared_ptr<const T> Get() const { return value_.load(); }

  void Set(std::shared_ptr<const T> value) { value_.store(std::move(value)); }

 private:
  std::atomic<std::shared_ptr<const T>> value_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_PUBLISHED_H_
