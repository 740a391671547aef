#include "http1/response_reader.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "upstreams/testing/malformed_statuses.h"

namespace anvilridge {
namespace {

struct seen_response {
  int status = 0;
  http_headers headers;
  std::string body;
};

class response_reader_test : public testing::Test {
 protected:
  response_reader_test() { Begin(); }

  void Begin() {
    response_sink sink;
    sink.on_head = [this](int status, const http_headers& headers) {
      seen_.status = status;
      seen_.headers = headers;
    };
    sink.on_body = [this](absl::string_view bytes) {
      seen_.body += std::string(bytes);
    };
    reader_.Begin(sink, false);
  }

  // Feeds `bytes` one by one; returns how many were taken until the end.
  size_t Feed(absl::string_view bytes) {
    for (size_t i = 0; i < bytes.size(); ++i) {
      size_t taken = 0;
      const auto progress = reader_.Take(bytes.substr(i, 1), taken);
      if (!progress.ok()) return bytes.size() + 1;
      if (*progress == response_reader::progress::complete) return i + 1;
    }
    return 0;
  }

  response_reader reader_;
  seen_response seen_;
};

TEST_F(response_reader_test, ReadsALengthAndLeavesWhatIsBehind) {
  const absl::string_view bytes =
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: b\r\n\r\nabcHTTP/1.1";
  EXPECT_EQ(Feed(bytes), bytes.size() - 8);
  EXPECT_EQ(seen_.status, 200);
  EXPECT_EQ(seen_.body, "abc");
  EXPECT_EQ(HeaderValue(seen_.headers, "x-a"), "b");
  EXPECT_TRUE(reader_.KeepAlive());
}

// Short fields take far more memory than they have bytes.
TEST_F(response_reader_test, AHeadOfCountlessFieldsIsNoResponse) {
  std::string head = "HTTP/1.1 200 OK\r\n";
  for (size_t i = 0; i < response_reader::kMaxFields; ++i) head += "a:b\r\n";
  EXPECT_EQ(Feed(head), 0u);
  EXPECT_GT(Feed("a:b\r\n"), 5u);
}

TEST_F(response_reader_test, ReadsChunks) {
  EXPECT_GT(Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
            0u);
  EXPECT_EQ(seen_.body, "abc");
}

TEST_F(response_reader_test, PassesOverInterimResponses) {
  EXPECT_GT(Feed("HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\n"
                 "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
            0u);
  EXPECT_EQ(seen_.status, 503);
  EXPECT_EQ(HeaderValue(seen_.headers, "x-early"), "");
}

TEST_F(response_reader_test, EndsAnAnswerWithoutLengthWithTheConnection) {
  EXPECT_EQ(Feed("HTTP/1.1 200 OK\r\n\r\nabc"), 0u);
  EXPECT_TRUE(reader_.TakeClose());
  EXPECT_EQ(seen_.body, "abc");
  EXPECT_FALSE(reader_.KeepAlive());
}

TEST_F(response_reader_test, DoesNotEndACutAnswerWithTheConnection) {
  EXPECT_EQ(Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"), 0u);
  EXPECT_FALSE(reader_.TakeClose());
}

TEST_F(response_reader_test, AClosedConnectionWithoutBytesIsNoAnswer) {
  EXPECT_FALSE(reader_.TakeClose());
}

TEST_F(response_reader_test, RefusesWhatIsNoResponse) {
  EXPECT_GT(Feed("SSH-2.0-x\r\n\r\n"), 13u);
}

// Guards against a call that waits until its time limit behind a status below
// 100, which isn't one of an interim response.
TEST_F(response_reader_test, RefusesAStatusLineWithoutAStatus) {
  for (const std::string& line : MalformedStatusLines()) {
    for (const char* before : {"", "\r\n", "HTTP/1.1 100 X\r\n\r\n"}) {
      const std::string head = absl::StrCat(before, line, "\r\n");
      Begin();
      EXPECT_GT(Feed(head), head.size()) << testing::PrintToString(head);
      Begin();
      size_t taken = 0;
      EXPECT_FALSE(reader_.Take(head, taken).ok())
          << testing::PrintToString(head);
    }
  }
  EXPECT_EQ(seen_.status, 0);
}

// Guards against bytes of an interim response that are taken for the status
// line behind it.
TEST_F(response_reader_test, PassesOverInterimResponsesInOneRead) {
  const std::string bytes =
      "\r\nHTTP/1.1 102 X\r\n\r\nHTTP/1.0 103 X\r\nA: b\r\n\r\n"
      "HTTP/1.1 204\r\n\r\nHTTP";
  size_t taken = 0;
  const auto progress = reader_.Take(bytes, taken);
  ASSERT_TRUE(progress.ok()) << progress.status();
  EXPECT_EQ(*progress, response_reader::progress::complete);
  EXPECT_EQ(taken, bytes.size() - 4);
  EXPECT_EQ(seen_.status, 204);
}

TEST_F(response_reader_test, RefusesAHeadWithoutEnd) {
  std::string head = "HTTP/1.1 200 OK\r\nX: ";
  head.append(response_reader::kMaxHeadBytes + 1, 'a');
  size_t taken = 0;
  EXPECT_FALSE(reader_.Take(head, taken).ok());
}

}  // namespace
}  // namespace anvilridge
