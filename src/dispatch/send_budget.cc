#include "dispatch/send_budget.h"

#include <algorithm>

namespace anvilridge {
namespace {

// Granularity of the window.
constexpr absl::Duration kSlice = absl::Milliseconds(500);
// Part of the slack that is used at all: daemons that restart forget what they
// have used, and two views of how many daemons there are may differ.
constexpr double kSlackShare = 0.5;
// Part of the ratio that is used: requests that never reach an upstream are
// counted here, but windows don't slide in step.
constexpr double kRatioShare = 0.85;

send_counts& CurrentSlice(send_budget& budget, absl::string_view service,
                          absl::Time now) {
  std::deque<send_counts>& slices = budget.services[std::string(service)];
  if (slices.empty() || now >= slices.back().began + kSlice) {
    slices.push_back({now, 0, 0});
  }
  return slices.back();
}

}  // namespace

void NoteRequest(send_budget& budget, absl::string_view service,
                 absl::Time now) {
  ++CurrentSlice(budget, service, now).requests;
}

bool TakeExtraSend(send_budget& budget, absl::string_view service,
                   const send_budget_limits& limits, int daemons,
                   absl::Time now) {
  send_counts& current = CurrentSlice(budget, service, now);
  std::deque<send_counts>& slices = budget.services[std::string(service)];
  while (slices.front().began + kSlice < now - limits.window) {
    slices.pop_front();
  }
  double requests = 0;
  int extra = 0;
  for (const send_counts& slice : slices) {
    requests += slice.requests;
    extra += slice.extra;
  }
  const double allowed = kRatioShare * limits.ratio * requests +
                         kSlackShare * limits.slack / std::max(1, daemons);
  if (extra + 1 > allowed) return false;
  ++current.extra;
  return true;
}

}  // namespace anvilridge
