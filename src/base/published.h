#ifndef ANVILRIDGE_BASE_PUBLISHED_H_
#define ANVILRIDGE_BASE_PUBLISHED_H_

#include <memory>
#include <mutex>
#include <utility>

namespace anvilridge {

/// A value that the control thread replaces and any thread reads. Guarded by a
/// mutex: the standard library's atomic shared pointer spins, and a reader that
/// spins on one core keeps the writer from ending.
template <typename T>
class published {
 public:
  /// Returns the latest value; null before the first.
  std::shared_ptr<const T> Get() const {
    const std::lock_guard lock(mutex_);
    return value_;
  }

  void Set(std::shared_ptr<const T> value) {
    const std::lock_guard lock(mutex_);
    // The parameter, and with it the old value, is destroyed behind the lock.
    std::swap(value_, value);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> value_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_PUBLISHED_H_
