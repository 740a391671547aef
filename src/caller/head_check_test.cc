// Load pattern: callers without a valid key send the header fields of requests
// with large bodies, and the bodies slowly or never.
#include <atomic>
#include <memory>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "caller/caller_world_for_test.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

std::string Head(absl::string_view target, absl::string_view fields = "") {
  return absl::StrCat("POST ", target, " HTTP/1.1\r\nHost: a\r\nX-Id: r7\r\n",
                      fields, "Content-Length: 4\r\n\r\n");
}

class head_check_thread_test : public caller_port_thread_test {
 protected:
  void SetUp() override {
    check_ = [this](const inbound_request& head) {
      ++checked_;
      EXPECT_EQ(head.body, "");
      return head.path == "/closed"
                 ? MakeError(error_kind::unknown_credential, "no such key")
                 : absl::OkStatus();
    };
    Start();
  }

  std::atomic<int> checked_{0};
};

// Guards against bodies that are kept for callers who may send none.
TEST_F(head_check_thread_test, RefusesBeforeTheBodyHasArrived) {
  raw_caller caller(port_->Port());
  caller.Send(Head("/closed?a=1") + "abc");
  ASSERT_TRUE(caller.WaitForText("HTTP/1.1 401 "));
  EXPECT_EQ(caller.Problem()["type"].toString(), "unknown_credential");
  EXPECT_EQ(caller.Problem()["ran"].toString(), "not_run");
  EXPECT_EQ(caller.Problem()["request_id"].toString(), "r7");
  EXPECT_EQ(seen_.requests, 0);
  // The rest is no request of its own.
  caller.Send("d" + Get("/a"));
  EXPECT_TRUE(caller.WaitForClose());
  EXPECT_EQ(seen_.requests, 0);
}

// Guards against bodies that callers are asked for and that are refused then.
TEST_F(head_check_thread_test, RefusedCallersAreNotToldToGoOn) {
  raw_caller caller(port_->Port());
  caller.Send(Head("/closed", "Expect: 100-continue\r\n"));
  EXPECT_TRUE(caller.WaitForClose());
  EXPECT_TRUE(absl::StartsWith(caller.Text(), "HTTP/1.1 401 "))
      << caller.Text();
}

// Guards against slow callers that are refused or handed over twice.
TEST_F(head_check_thread_test, OtherRequestsGoOn) {
  raw_caller caller(port_->Port());
  caller.Send(Head("/a") + "ab");
  ASSERT_TRUE(WaitFor([&] { return checked_ == 1; }));
  EXPECT_EQ(seen_.requests, 0);
  caller.Send("cd");
  EXPECT_TRUE(caller.WaitForText("POST /a?  abcd"));
  EXPECT_EQ(seen_.requests, 1);
  EXPECT_EQ(checked_, 1);
}

// Guards against connections that are closed for a small request which their
// handler would have refused without a close.
TEST_F(head_check_thread_test, ABodyThatHasArrivedIsLeftToTheHandler) {
  raw_caller caller(port_->Port());
  caller.Send(Head("/closed") + "abcd");
  EXPECT_TRUE(caller.WaitForText("POST /closed?  abcd"));
  EXPECT_EQ(checked_, 0);
}

// Guards against requests that are checked where nothing calls for it.
TEST_F(head_check_thread_test, NothingIsCheckedUnlessTheCheckApplies) {
  checks_ = false;
  raw_caller caller(port_->Port());
  caller.Send(Head("/closed") + "ab");
  caller.Send("cd");
  EXPECT_TRUE(caller.WaitForText("POST /closed?  abcd"));
  EXPECT_EQ(checked_, 0);
}

}  // namespace
}  // namespace anvilridge
