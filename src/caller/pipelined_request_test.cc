#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "caller/caller_world_for_test.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

std::string Post(absl::string_view target, absl::string_view body) {
  return absl::StrCat("POST ", target, " HTTP/1.1\r\nHost: a\r\n",
                      "Content-Length: ", body.size(), "\r\n\r\n", body);
}

// Guards against dropping requests that arrive while another is answered.
TEST_F(caller_port_thread_test, PipelinedRequestsAreAnsweredOneByOneInOrder) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(absl::StrCat(Get("/hold"), Get("/b"), "POST /c HTTP/1.1\r\n"));
  ASSERT_TRUE(WaitFor([this] { return seen_.requests == 1; }));
  caller.Send("Host: a\r\nContent-Length: 4\r\n\r\nbody\r\n\r\n");
  caller.Send(Get("/d"));
  caller.Socket().flush();
  EXPECT_FALSE(caller.Socket().waitForReadyRead(50));
  EXPECT_EQ(seen_.requests, 1);
  seen_.released = true;
  EXPECT_TRUE(caller.WaitForText("GET /d")) << caller.Text();
  const std::string text = caller.Text();
  EXPECT_LT(text.find("released"), text.find("GET /b"));
  EXPECT_LT(text.find("GET /b"), text.find("POST /c?  body"));
  EXPECT_LT(text.find("POST /c?  body"), text.find("GET /d"));
  EXPECT_EQ(seen_.requests, 4);
  EXPECT_TRUE(WaitFor([this] { return port_->RequestsInProgress() == 0; }));
  caller.Send(Get("/e"));
  EXPECT_TRUE(caller.WaitForText("GET /e"));
  EXPECT_EQ(cuts_.Text(), "");
}

TEST_F(caller_port_thread_test, ManyPipelinedRequestsAreAllAnswered) {
  Start();
  raw_caller caller(port_->Port());
  constexpr int kRequests = 5000;
  std::string bytes;
  for (int i = 0; i < kRequests; ++i) {
    absl::StrAppend(&bytes, Post(absl::StrCat("/", i), "b"));
  }
  caller.Send(bytes);
  EXPECT_TRUE(caller.WaitForText(absl::StrCat("/", kRequests - 1, "?")));
  EXPECT_EQ(seen_.requests, kRequests);
}

// Guards against memory without bound for what waits behind an answer.
TEST_F(caller_port_thread_test, PipelinedRequestsAreBounded) {
  limits_.max_body_bytes = 1024;
  Start();
  raw_caller caller(port_->Port());
  caller.Send(Get("/hold"));
  ASSERT_TRUE(WaitFor([this] { return seen_.requests == 1; }));
  caller.Send(Post("/large", std::string(64 << 20, 'x')));
  EXPECT_FALSE(caller.Socket().waitForBytesWritten(50) &&
               caller.Socket().bytesToWrite() == 0);
  seen_.released = true;
  EXPECT_TRUE(caller.WaitForText("released"));
  EXPECT_TRUE(caller.WaitForText("HTTP/1.1 413 ")) << caller.Text();
  EXPECT_EQ(seen_.requests, 1);
}

TEST_F(caller_port_thread_test, NothingIsRunBehindAMalformedRequest) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(
      absl::StrCat(Get("/a"), "GET /b HTTP/9\r\n\r\n", Get("/c"), Get("/d")));
  EXPECT_TRUE(caller.WaitForClose());
  EXPECT_TRUE(absl::StrContains(caller.Text(), "GET /a")) << caller.Text();
  EXPECT_TRUE(absl::StrContains(caller.Text(), "HTTP/1.1 400 "));
  EXPECT_EQ(seen_.requests, 1);
}

TEST_F(caller_port_thread_test, NothingIsRunBehindTheCallersOwnClose) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(absl::StrCat(
      "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", Get("/b")));
  EXPECT_TRUE(caller.WaitForClose());
  EXPECT_TRUE(absl::StrContains(caller.Text(), "GET /a"));
  EXPECT_EQ(seen_.requests, 1);
}

// Guards against closing behind a stream that began before the stop and so did
// not say that it is the last answer.
TEST_F(caller_port_thread_test, ARequestBehindAStreamThatAStopMetIsAnswered) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(Get("/finish"));
  ASSERT_TRUE(caller.WaitForText("open"));
  port_->BeginDrain();
  seen_.released = true;
  ASSERT_TRUE(caller.WaitForText("0\r\n\r\n"));
  caller.Send(Get("/b"));
  EXPECT_TRUE(caller.WaitForText("GET /b")) << cuts_.Text();
  EXPECT_TRUE(absl::StrContains(caller.Text(), "connection: close"));
  EXPECT_TRUE(caller.WaitForClose());
  EXPECT_EQ(cuts_.Text(), "");
}

TEST_F(caller_port_thread_test, AStopAnswersWhatWasPipelined) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(absl::StrCat(Get("/hold"), Get("/b"), Get("/c")));
  ASSERT_TRUE(WaitFor([this] { return seen_.requests == 1; }));
  port_->BeginDrain();
  seen_.released = true;
  EXPECT_TRUE(caller.WaitForClose());
  EXPECT_TRUE(absl::StrContains(caller.Text(), "GET /b")) << caller.Text();
  EXPECT_TRUE(absl::StrContains(caller.Text(), "GET /c")) << caller.Text();
  EXPECT_EQ(cuts_.Text(), "");
}

}  // namespace
}  // namespace anvilridge
