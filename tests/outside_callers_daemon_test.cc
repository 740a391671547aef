// Callers of `anvilridged` that are each within the limits, but too many:
// guards against a process that runs out of memory or stops answering.
#include <string>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "harness/caller_crowd.h"
#include "harness/eventually.h"
#include "harness/fleet.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

// Bound on the daemon's memory, and of what it may hold for callers.
constexpr int64_t kMachineMb = 96;
constexpr char kMaxHeldBytes[] = "8388608";
// Connections at the same time, and the bound on the descriptors of the
// process.
constexpr int kConnections = 120;
constexpr int kMaxDescriptors = 400;
// A body of legal size.
constexpr size_t kBodyBytes = 1 << 20;
constexpr absl::Duration kBound = absl::Seconds(20);

class outside_callers_daemon_test : public testing::Test {
 protected:
  static fleet_options Options() {
    fleet_options options;
    options.daemons = 1;
    options.services = 1;
    options.settings = {{"limits",
                         {{"max_body_bytes", "1048576"},
                          {"max_connections", "300"},
                          {"max_held_bytes", kMaxHeldBytes}}}};
    return options;
  }

  // Has `kConnections` connections to `port` send `text`, in parts of `bytes`
  // taken in turn, and stay open.
  void SendFromAll(uint16_t port, const std::string& text, size_t bytes) {
    ASSERT_EQ(callers_.Connect(port, kConnections), kConnections);
    callers_.Send(text, bytes, [this] {
      CheckProcess();
      return !HasFailure();
    });
  }

  void CheckProcess() {
    ASSERT_TRUE(daemon_.process->Running());
    const pid_t pid = daemon_.process->Pid();
    const int64_t memory_kb = ProcessStatus(pid, "VmHWM:");
    ASSERT_GT(memory_kb, 0);
    ASSERT_LE(memory_kb, kMachineMb * 1024);
    const int descriptors = OpenDescriptors(pid);
    ASSERT_GT(descriptors, 0);
    ASSERT_LE(descriptors, kMaxDescriptors);
  }

  // An ordinary caller comes back as it is told to.
  void ExpectUnharmed() {
    CheckProcess();
    EXPECT_TRUE(Eventually(kBound, [this] {
      return Post(daemon_.caller, "/v1/completions",
                  fleet::Completion("a season", 3, false), fleet_.Caller())
                 .status == 200;
    }));
    CheckProcess();
  }

  std::string Head(absl::string_view framing) const {
    std::string head = "POST /v1/completions HTTP/1.1\r\nHost: a.example\r\n";
    for (const auto& [name, value] : fleet_.Caller()) {
      absl::StrAppend(&head, name, ": ", value, "\r\n");
    }
    return absl::StrCat(head, framing, "\r\n\r\n");
  }

  static std::string Pipelined(absl::string_view target) {
    const std::string request =
        absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: a.example\r\n\r\n");
    std::string text;
    while (text.size() < kBodyBytes) text += request;
    return text;
  }

  fleet fleet_{Options()};
  fleet_daemon& daemon_ = fleet_.daemons[0];
  caller_crowd callers_;
};

TEST_F(outside_callers_daemon_test, BodiesThatStopJustShortOfTheirEnd) {
  const std::string text = Head(absl::StrCat("Content-Length: ", kBodyBytes)) +
                           std::string(kBodyBytes - 1, 'x');
  SendFromAll(daemon_.caller, text, text.size());
  ExpectUnharmed();
}

TEST_F(outside_callers_daemon_test, BodiesInPartsThatStopJustShortOfTheirEnd) {
  const std::string text = Head(absl::StrCat("Content-Length: ", kBodyBytes)) +
                           std::string(kBodyBytes - 1, 'x');
  SendFromAll(daemon_.caller, text, 16 << 10);
  ExpectUnharmed();
}

TEST_F(outside_callers_daemon_test, BodiesToTheOperatorPort) {
  const std::string text = Head(absl::StrCat("Content-Length: ", kBodyBytes)) +
                           std::string(kBodyBytes - 1, 'x');
  SendFromAll(daemon_.operators, text, text.size());
  ExpectUnharmed();
}

TEST_F(outside_callers_daemon_test, PipelinedRequestsAtThePathThatSaysReady) {
  SendFromAll(daemon_.metrics, Pipelined("/readyz"), 64 << 10);
  ExpectUnharmed();
  EXPECT_TRUE(Eventually(kBound, [this] { return daemon_.Ready(); }));
}

TEST_F(outside_callers_daemon_test, PipelinedRequestsAtPathsThatNoRouteHas) {
  SendFromAll(daemon_.caller, Pipelined("/none/1"), 64 << 10);
  ExpectUnharmed();
}

}  // namespace
}  // namespace anvilridge
