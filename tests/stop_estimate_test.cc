// Calls that a stopping daemon accepts by the durations of other calls, over a
// real daemon process.
#include <signal.h>

#include <QTcpSocket>
#include <QTimer>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/platform_scene.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

// A posting takes longer than what is left of the grace of 8 s at `kLate` after
// SIGTERM. The daemon waits for further calls until then.
constexpr absl::Duration kPostWork = absl::Seconds(6);
constexpr absl::Duration kLate = absl::Milliseconds(2500);
constexpr int kQuickCalls = 40;
constexpr char kConfig[] =
    R"({"Version":2,"Routes":[)"
    R"({"Name":"post","Host":"a.example","PathPrefix":"/post/",)"
    R"("Kind":"unsafe","TimeoutMs":30000,"LatencyTargetMs":150,)"
    R"("Attempts":2,"Service":"ledger"},)"
    R"({"Name":"read","Host":"a.example","PathPrefix":"/read/",)"
    R"("Kind":"safe","TimeoutMs":30000,"LatencyTargetMs":150,)"
    R"("Attempts":2,"Service":"ledger"}],)"
    R"("Services":[{"Name":"ledger","MaxConns":300}]})";

class stop_estimate_test : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(scene_.Start());
    scene_.OnService([this](QTcpSocket& socket, const raw_request& request) {
      const int status = refuses_.load() ? 503 : 200;
      const bool posting = absl::StartsWith(request.head, "POST");
      const std::string text = platform_scene::Head(request, status) +
                               "Content-Length: 4\r\n\r\ndone";
      QTcpSocket* to = &socket;
      QTimer::singleShot(posting && status == 200 ? post_work_ms_.load()
                                                  : read_work_ms_.load(),
                         to, [to, text] {
                           to->write(text.data(),
                                     static_cast<qint64>(text.size()));
                         });
    });
    scene_.Put("keyed.op", "config", kConfig);
    ASSERT_TRUE(Eventually(absl::Seconds(10), [&] {
      return Call("/read/1", "warm-up").status == 200;
    }));
  }

  test_answer Call(const std::string& target, const std::string& id,
                   absl::Duration limit = absl::Seconds(20)) {
    test_request request;
    const bool posting = absl::StartsWith(target, "/post/");
    request.method = posting ? "POST" : "GET";
    if (posting) request.body = "fee";
    request.port = scene_.CallerPort();
    request.target = target;
    request.timeout = absl::Seconds(21);
    request.headers = {
        {"Host", "a.example"},
        {"Request-Id", id},
        {"Deadline-Ms", absl::StrCat(absl::ToInt64Milliseconds(limit))}};
    return Send(request);
  }

  // Stops the daemon and sends a posting that can't end before it does.
  void ExpectLatePostingIsRefused() {
    scene_.Daemon().Signal(SIGTERM);
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(kLate));
    const test_answer answer = Call("/post/1", "late");
    EXPECT_EQ(answer.status, 503) << answer.body;
    for (const raw_request& request : scene_.AtService()) {
      EXPECT_NE(platform_scene::Field(request, "request-id"), "late");
    }
    EXPECT_EQ(scene_.Daemon().WaitForExit(absl::Seconds(8)), 0);
  }

  platform_scene scene_;
  // Whether the service refuses all calls.
  std::atomic<bool> refuses_ = false;
  // Time that the service takes for a posting, and for any other answer.
  std::atomic<int64_t> post_work_ms_ = absl::ToInt64Milliseconds(kPostWork);
  std::atomic<int64_t> read_work_ms_ = 1;
};

// Guards against a posting that is passed on too late in a stop because calls
// of another route of its service are quick.
TEST_F(stop_estimate_test, QuickReadsDoNotTellTheTimeOfAPosting) {
  for (int i = 0; i < kQuickCalls; ++i) {
    EXPECT_EQ(Call("/read/1", absl::StrCat("r", i)).status, 200);
  }
  ExpectLatePostingIsRefused();
}

// Guards against a posting that is passed on late in a stop because earlier
// ones were quick, and has no answer when the daemon ends. One whose time limit
// ends before is still passed on.
TEST_F(stop_estimate_test, QuickPostingsDoNotTellTheTimeOfALateOne) {
  post_work_ms_ = 1;
  for (int i = 0; i < kQuickCalls; ++i) {
    EXPECT_EQ(Call("/post/1", absl::StrCat("p", i)).status, 200);
  }
  // It lets the daemon go on after the load balancer's time.
  read_work_ms_ = 5000;
  test_answer slow;
  std::thread reader([&] { slow = Call("/read/1", "slow"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  scene_.Daemon().Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(3200));
  EXPECT_EQ(Call("/post/1", "limited", absl::Seconds(1)).status, 200);
  post_work_ms_ = absl::ToInt64Milliseconds(kPostWork);
  const test_answer late = Call("/post/1", "late");
  EXPECT_EQ(late.status, 503) << late.body;
  EXPECT_NE(late.Header("retry-after"), "");
  for (const raw_request& request : scene_.AtService()) {
    EXPECT_NE(platform_scene::Field(request, "request-id"), "late");
  }
  reader.join();
  EXPECT_EQ(slow.status, 200);
  EXPECT_EQ(scene_.Daemon().WaitForExit(absl::Seconds(8)), 0);
}

// Guards against a posting that is passed on too late in a stop because its
// service has refused the calls before it at once.
TEST_F(stop_estimate_test, RefusalsDoNotTellTheTimeOfAPosting) {
  refuses_ = true;
  for (int i = 0; i < kQuickCalls; ++i) {
    EXPECT_EQ(Call("/post/1", absl::StrCat("p", i)).status, 503);
  }
  refuses_ = false;
  ExpectLatePostingIsRefused();
}

}  // namespace
}  // namespace anvilridge
