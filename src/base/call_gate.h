#ifndef ANVILRIDGE_BASE_CALL_GATE_H_
#define ANVILRIDGE_BASE_CALL_GATE_H_

#include <deque>
#include <functional>
#include <memory>

namespace anvilridge {

/// Lets a bounded number of asynchronous calls run at once on one thread; the
/// others wait in order.
class call_gate {
 public:
  /// Tells the gate that the call has ended; must be called once.
  using release = std::function<void()>;
  using task = std::function<void(release)>;

  /// @param most calls that may run at once, at least 1.
  explicit call_gate(int most);

  /// Starts `call` now or when another one ends. A call that waits when the
  /// gate is destroyed is dropped.
  void Run(task call);

 private:
  struct state;

  static void StartNext(const std::shared_ptr<state>& gate);

  std::shared_ptr<state> state_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_CALL_GATE_H_
