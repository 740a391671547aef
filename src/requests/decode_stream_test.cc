#include "requests/decode_stream.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

std::string Token(int index) {
  return absl::StrCat(R"(data: {"request_id":"r1","index":)", index,
                      R"(,"token":"t)", index, "\"}\n\n");
}

std::string Done(int tokens) {
  return absl::StrCat(R"(data: {"request_id":"r1","done":true,"tokens":)",
                      tokens, "}\n\n");
}

// Returns a whole answer with the chunked body `body`.
std::string Answer(absl::string_view status_and_type, absl::string_view body) {
  return absl::StrCat("HTTP/1.1 ", status_and_type,
                      "\r\nTransfer-Encoding: chunked\r\n\r\n",
                      absl::Hex(body.size()), "\r\n", body, "\r\n",
                      body.empty() ? "" : "0\r\n\r\n");
}

constexpr char kStream[] = "200 OK\r\nContent-Type: text/event-stream";

class decode_stream_test : public event_loop_test {
 protected:
  decode_stream_test() {
    services_.report = [](absl::string_view, call_result) {};
    context_.thread = &thread_;
    context_.client = &client_;
    context_.services = &services_;
  }

  // Reads a stream whose engine answers the attachments with `answers`, one
  // after the other, and closes each connection.
  // @return how the stream ended.
  absl::Status Read(const std::vector<std::string>& answers) {
    tokens_.clear();
    raw_server engine([&answers, next = size_t{0}](QTcpSocket& socket,
                                                   const raw_request&) mutable {
      const std::string& text = answers.at(std::min(next, answers.size() - 1));
      ++next;
      socket.write(text.data(), static_cast<qint64>(text.size()));
      socket.disconnectFromHost();
    });
    std::optional<absl::Status> end;
    decode_listener listener;
    listener.on_token = [this](int index, const std::string& token) {
      EXPECT_EQ(index, static_cast<int>(tokens_.size()));
      tokens_.push_back(token);
    };
    listener.on_end = [&end](const absl::Status& ended) { end = ended; };
    const auto stream = std::make_shared<decode_stream>(
        context_,
        decode_source{"r1", {"engine-1", engine.Address(), "z"}, "entry-1:3"},
        std::move(listener));
    stream->Attach(0);
    EXPECT_TRUE(RunUntil([&] { return end.has_value(); }));
    stream->Detach();
    return end.value_or(absl::UnknownError("the stream did not end"));
  }

  QObject thread_;
  http_client client_;
  request_services services_;
  flow_context context_;
  std::vector<std::string> tokens_;
};

// Guards against an error that callers find in the middle of their stream, or a
// stream that ends as complete, when the engine answers the next attachment
// with an error.
TEST_F(decode_stream_test, AnErrorIsNoPartOfABrokenStream) {
  const std::string begun =
      Answer(kStream, Token(0) + Token(1) + "data: {\"in");
  const std::string rest = Answer(kStream, Token(2) + Done(3));
  const std::string wrong = R"(data: {"request_id":"r1","index":2,"token":"x"})"
                            "\n\n" +
                            Done(3);
  const std::vector<std::string> all = {"t0", "t1", "t2"};
  ASSERT_TRUE(Read({Answer(kStream, Token(0) + Token(1)), rest}).ok());
  EXPECT_EQ(tokens_, all);
  const std::string errors[] = {
      Answer("500 Error", "no capacity"),
      Answer("500 Error", wrong),
      absl::StrCat("HTTP/1.1 500 Error\r\n\r\n", wrong),
      Answer("200 OK\r\nContent-Type: application/json",
             R"({"error":"no capacity"})"),
      Answer(kStream, ""),
      Answer(kStream, "data: {\"error\":\"no capacity\"}\n\n"),
      Answer(kStream, "event: error\ndata: no capacity\n\n"),
      Answer(kStream, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
      absl::StrCat("HTTP/1.1 ", kStream, "\r\n\r\nHTTP/1.1 503 Busy\r\n\r\n"),
      Answer(kStream, "data: {\"request_id\":\"r2\",\"done\":true}\n\n"),
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
      "not an answer"};
  for (const std::string& error : errors) {
    const absl::Status end = Read({begun, error, rest});
    EXPECT_TRUE(end.ok()) << error << end;
    EXPECT_EQ(tokens_, all) << error;
  }
  for (const std::string& error : {errors[3], errors[4]}) {
    EXPECT_FALSE(Read({begun, error}).ok()) << error;
    EXPECT_EQ(tokens_, (std::vector<std::string>{"t0", "t1"})) << error;
  }
}

TEST_F(decode_stream_test, ARefusalEndsABrokenStream) {
  const absl::Status end =
      Read({Answer(kStream, Token(0)),
            Answer("503 Busy", R"({"error":"no capacity"})")});
  EXPECT_EQ(KindOf(end), error_kind::upstream_refused);
  EXPECT_EQ(tokens_, (std::vector<std::string>{"t0"}));
}

TEST_F(decode_stream_test, AnEndBeforeTheLastTokenIsNoEnd) {
  EXPECT_FALSE(Read({Answer(kStream, Token(0) + Done(0))}).ok());
  EXPECT_FALSE(Read({Answer(kStream, Token(0) + Done(2))}).ok());
  EXPECT_FALSE(Read({Answer(kStream, Token(0))}).ok());
}

// Guards against a token with an unusable index that is taken for the first.
TEST_F(decode_stream_test, ATokenWithoutAUsableIndexIsNoToken) {
  for (const char* index : {"1e300", "0.5", "-1", "4294967296", "null"}) {
    const absl::Status end = Read({Answer(
        kStream, absl::StrCat(R"(data: {"request_id":"r1","index":)", index,
                              R"(,"token":"x"})", "\n\n", Token(0), Done(1)))});
    EXPECT_TRUE(end.ok()) << index << end;
    EXPECT_EQ(tokens_, (std::vector<std::string>{"t0"})) << index;
  }
}

}  // namespace
}  // namespace anvilridge
