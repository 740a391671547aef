#include "base/call_gate.h"

#include <utility>

namespace anvilridge {

struct call_gate::state {
  int free = 0;
  std::deque<task> waiting;
};

call_gate::call_gate(int most) : state_(std::make_shared<state>()) {
  state_->free = most;
}

void call_gate::Run(task call) {
  state_->waiting.push_back(std::move(call));
  StartNext(state_);
}

void call_gate::StartNext(const std::shared_ptr<state>& gate) {
  if (gate->free == 0 || gate->waiting.empty()) return;
  --gate->free;
  const task call = std::move(gate->waiting.front());
  gate->waiting.pop_front();
  // A call may outlive the gate.
  call([weak = std::weak_ptr<state>(gate)] {
    const std::shared_ptr<state> held = weak.lock();
    if (!held) return;
    ++held->free;
    StartNext(held);
  });
}

}  // namespace anvilridge
