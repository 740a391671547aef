#ifndef ANVILRIDGE_TESTS_HARNESS_POSTING_H_
#define ANVILRIDGE_TESTS_HARNESS_POSTING_H_

#include <future>
#include <string>

#include "absl/time/time.h"
#include "harness/fleet.h"
#include "harness/ledger.h"

namespace anvilridge {

/// Bound of what a deployment does by itself, such as to append a claim.
inline constexpr absl::Duration kBound = absl::Seconds(10);

/// Longer than any answer of a daemon to a call of a service.
inline constexpr absl::Duration kAnswerBound = absl::Seconds(20);

/// One call that may not be repeated, and the deployment that it meets: three
/// daemons and two services.
class posting {
 public:
  /// Makes a deployment whose services check fencing numbers if `fencing`.
  explicit posting(bool fencing);

  /// Calls through daemon `daemon` and waits for the answer.
  test_answer Call(size_t daemon, int fee = 12) const;

  /// Begins a call through daemon `daemon`.
  std::future<test_answer> Begin(size_t daemon) const;

  test_request Request(size_t daemon, const std::string& call_key,
                       int fee) const;

  /// Returns how often the call ran.
  int Runs() const;

  /// Waits until the call has run once.
  bool WaitForRun() const;

  /// Waits until the platform has read more appends of claims than `before`.
  bool WaitForClaim(int before = 0) const;

  fleet deployment;
  /// Whether the services check fencing numbers.
  bool fencing;
  std::string key;
};

/// Returns the execution state that a problem says; "" in other answers.
std::string Ran(const test_answer& answer);

/// Returns whether the answer is one stored for an earlier call with the key.
bool Replayed(const test_answer& answer);

/// Expects an answer that a call may get whose key was used before and which
/// had run `runs_before` times.
void ExpectNoSecondRun(const test_answer& answer, int runs_before);

/// Clears all faults and retries the call through every running daemon, twice.
void RetryThroughAll(const posting& call);

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_POSTING_H_
