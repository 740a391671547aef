#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/string_view.h"
#include "caller/caller_world_for_test.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST_F(caller_port_thread_test, RefusesWhatIsMalformedOrTooLarge) {
  limits_.max_header_bytes = 1024;
  limits_.max_body_bytes = 100;
  limits_.request_timeout = absl::Milliseconds(200);
  Start();
  const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
  const std::string keyed = post + "Idempotency-KEY: k\r\n";
  // Of a request whose header fields are not known, an earlier attempt with the
  // same key may have run.
  const struct {
    std::string bytes;
    int http_status;
    absl::string_view type;
    absl::string_view ran;
  } cases[] = {
      {"\x16\x03\x01 not http", 400, "malformed_request", "unknown"},
      {"GET /\r\n\r\n", 400, "malformed_request", "unknown"},
      {"GET / HTTP/2.0\r\n\r\n", 400, "malformed_request", "unknown"},
      {"GET  / HTTP/1.1\r\n\r\n", 400, "malformed_request", "unknown"},
      {"GET / HTTP/1.1\r\nNo colon\r\n\r\n", 400, "malformed_request",
       "unknown"},
      {"GET / HTTP/1.1\r\nA : b\r\n\r\n", 400, "malformed_request", "unknown"},
      {"GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n", 400, "malformed_request",
       "unknown"},
      {"GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", 400, "malformed_request",
       "unknown"},
      {post + "Content-Length: -1\r\n\r\n", 400, "malformed_request",
       "not_run"},
      {keyed + "Content-Length: -1\r\n\r\n", 400, "malformed_request",
       "unknown"},
      {post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400,
       "malformed_request", "not_run"},
      {post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400,
       "malformed_request", "not_run"},
      {post + "Transfer-Encoding: gzip\r\n\r\n", 400, "malformed_request",
       "not_run"},
      {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400,
       "malformed_request", "not_run"},
      {keyed + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400,
       "malformed_request", "unknown"},
      {post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc", 400,
       "malformed_request", "not_run"},
      {post + "Content-Length: 101\r\n\r\n", 413, "body_too_large", "not_run"},
      {keyed + "Content-Length: 101\r\n\r\n", 413, "body_too_large", "unknown"},
      {post + "Content-Length: 99999999999999999999\r\n\r\n", 413,
       "body_too_large", "not_run"},
      {post + "Transfer-Encoding: chunked\r\n\r\n3c\r\n" +
           std::string(60, 'a') + "\r\n3c\r\n",
       413, "body_too_large", "not_run"},
      {"GET / HTTP/1.1\r\nA: " + std::string(2000, 'a'), 431,
       "headers_too_large", "unknown"},
      {post + "Content-Length: 10\r\n\r\nhalf", 408, "request_timeout",
       "not_run"},
      {keyed + "Content-Length: 10\r\n\r\nhalf", 408, "request_timeout",
       "unknown"},
      {"GET / HT", 408, "request_timeout", "unknown"},
  };
  for (const auto& row : cases) {
    ExpectRefusal(row.bytes, row.http_status, row.type, row.ran);
  }
  EXPECT_EQ(seen_.requests, 0);
  raw_caller caller(port_->Port());
  caller.Send(Get("/after"));
  EXPECT_TRUE(caller.WaitForText("GET /after"));
}

TEST_F(caller_port_thread_test, RefusesConnectionsPastTheCap) {
  limits_.max_connections = 2;
  Start();
  auto first = std::make_unique<raw_caller>(port_->Port());
  raw_caller second(port_->Port());
  first->Send(Get("/a"));
  second.Send(Get("/a"));
  EXPECT_TRUE(first->WaitForText("GET /a"));
  EXPECT_TRUE(second.WaitForText("GET /a"));
  ExpectRefusal(Get("/b"), 503, "too_many_connections", "unknown");
  first.reset();
  EXPECT_TRUE(WaitFor([this] {
    raw_caller next(port_->Port());
    next.Send(Get("/c"));
    next.WaitForText("\r\n\r\n");
    return absl::StrContains(next.Text(), "GET /c");
  }));
}

// Guards against connections that are closed without a byte.
TEST_F(caller_port_thread_test, AFloodOfConnectionsIsRefusedWithATimeToReturn) {
  limits_.max_connections = 1;
  Start();
  raw_caller first(port_->Port());
  first.Send(Get("/a"));
  ASSERT_TRUE(first.WaitForText("GET /a"));
  constexpr int kCallers = 200;
  std::vector<std::unique_ptr<raw_caller>> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<raw_caller>(port_->Port()));
    callers.back()->Send(Get("/b"));
  }
  int most = 0;
  int refused = 0;
  for (auto& caller : callers) {
    WaitFor([&] {
      most = std::max(most, port_->Connections());
      caller->Text();
      return caller->Socket().state() == QAbstractSocket::UnconnectedState;
    });
    if (absl::StrContains(caller->Text(), "retry-after: 1\r\n")) ++refused;
  }
  EXPECT_EQ(refused, kCallers);
  EXPECT_LE(most, 1 + 64);
  EXPECT_EQ(seen_.requests, 1);
  EXPECT_EQ(cuts_.Text(), "");
  first.Send(Get("/c"));
  EXPECT_TRUE(first.WaitForText("GET /c"));
}

TEST_F(caller_port_thread_test, RefusesRequestsPastTheCap) {
  limits_.max_requests = 1;
  Start();
  raw_caller holder(port_->Port());
  holder.Send(Get("/hold"));
  EXPECT_TRUE(WaitFor([this] { return seen_.requests == 1; }));
  EXPECT_EQ(port_->RequestsInProgress(), 1);
  raw_caller other(port_->Port());
  other.Send(Get("/a"));
  EXPECT_TRUE(other.WaitForText("too_many_connections"));
  EXPECT_TRUE(absl::StrContains(other.Text(), "retry-after: 1\r\n"));
  EXPECT_EQ(other.Problem()["ran"].toString(), "not_run");
  raw_caller keyed(port_->Port());
  keyed.Send("POST / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n\r\n");
  EXPECT_TRUE(keyed.WaitForText("too_many_connections"));
  EXPECT_EQ(keyed.Problem()["ran"].toString(), "unknown");
  seen_.released = true;
  EXPECT_TRUE(holder.WaitForText("released"));
  other.Send(Get("/a"));
  EXPECT_TRUE(other.WaitForText("GET /a"));
}

}  // namespace
}  // namespace anvilridge
