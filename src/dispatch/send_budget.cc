#include "dispatch/send_budget.h"

#include <algorithm>

namespace anvilridge {
namespace {

// The window slides in steps of this length.
constexpr absl::Duration kSliceLength = absl::Milliseconds(500);
// Part of the slack that the daemons use. The margin covers daemons that
// restart and lose their counts, and daemons that disagree on the number of
// daemons.
constexpr double kSlackShare = 0.5;
// Part of the ratio that the daemons use. The margin covers requests that are
// counted here but never reach an upstream, and windows of different daemons
// that don't slide at the same time.
constexpr double kRatioShare = 0.85;

// Returns the counts of the slice at `now`; begins a new slice when the last
// one is over.
send_counts& CurrentSlice(service_sends& sends, absl::Time now) {
  std::deque<send_counts>& slices = sends.slices;
  if (slices.empty() || now >= slices.back().start + kSliceLength) {
    slices.push_back({now, 0, 0});
  }
  return slices.back();
}

}  // namespace

void RecordRequest(send_budget& budget, absl::string_view service,
                   absl::Time now) {
  service_sends& sends = budget.services[std::string(service)];
  ++CurrentSlice(sends, now).requests;
  ++sends.total_requests;
}

double AvailableExtraSends(send_budget& budget, absl::string_view service,
                           const send_budget_limits& limits, int daemons,
                           absl::Time now) {
  std::deque<send_counts>& slices =
      budget.services[std::string(service)].slices;
  while (!slices.empty() &&
         slices.front().start + kSliceLength < now - limits.window) {
    slices.pop_front();
  }
  double requests = 0;
  int extra_sends = 0;
  for (const send_counts& slice : slices) {
    requests += slice.requests;
    extra_sends += slice.extra_sends;
  }
  const double allowed = kRatioShare * limits.ratio * requests +
                         kSlackShare * limits.slack / std::max(1, daemons);
  return allowed - extra_sends;
}

bool ConsumeExtraSend(send_budget& budget, absl::string_view service,
                      const send_budget_limits& limits, int daemons,
                      absl::Time now) {
  if (AvailableExtraSends(budget, service, limits, daemons, now) < 1) {
    return false;
  }
  service_sends& sends = budget.services[std::string(service)];
  ++CurrentSlice(sends, now).extra_sends;
  ++sends.total_extra_sends;
  return true;
}

}  // namespace anvilridge
