#ifndef ANVILRIDGE_TESTS_HARNESS_REFUSAL_SCENE_H_
#define ANVILRIDGE_TESTS_HARNESS_REFUSAL_SCENE_H_

#include <future>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "harness/fleet.h"
#include "harness/ledger.h"
#include "harness/test_http.h"

namespace anvilridge {

/// The caps of a scene's daemon: its last connections get no request in.
inline constexpr int kMaxRequests = 8;
inline constexpr int kMaxConnections = 10;

/// Returns the options of a scene: one daemon with narrow limits, one engine of
/// each role and one service.
fleet_options OneDaemon();

/// One refusal or failure being made.
struct scene {
  fleet deployment{OneDaemon()};
  std::string key = SecondsKey(absl::Now());
  /// What else goes on while the call is answered.
  std::future<test_answer> other;
  std::vector<std::future<test_answer>> others;
  std::vector<std::unique_ptr<event_stream>> streams;

  uint16_t Port() const { return deployment.daemons[0].caller; }
};

/// Returns the runs of all kinds of work that upstreams did for calls.
int Executions(const fleet& fleet);

// Calls of all kinds to the scene's daemon.
test_request Posting(const scene& on, const std::string& key);
test_request Keyed(const scene& on);
test_request Unkeyed(const scene& on);
test_request Balance(const scene& on);
test_request Completion(const scene& on);
/// Without its credential.
test_request Without(test_request request);
test_request WithUnknownKey(test_request request);
test_request WithLargeBody(test_request request);
test_request WithLargeHeader(test_request request);
test_request Elsewhere(const scene& on);
test_request OtherModel(const scene& on);
test_request WrongMethod(const scene& on);
test_request MalformedCompletion(const scene& on);

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_REFUSAL_SCENE_H_
