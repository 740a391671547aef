#include "http1/channel_client.h"

#include <functional>
#include <map>
#include <optional>

#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"
#include "upstreams/testing/endless_server.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

std::string Answer(absl::string_view id, absl::string_view body) {
  return absl::StrCat("HTTP/1.1 200 OK\r\nX-Id: ", id,
                      "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

// A refusal that bears no mark of the request that it belongs to.
constexpr char kUnmarkedRefusal[] =
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

// Returns the mark that `request` asks for.
std::string MarkOf(const raw_request& request) {
  constexpr absl::string_view kField = "x-id: ";
  for (absl::string_view line : absl::StrSplit(request.head, "\r\n")) {
    if (absl::ConsumePrefix(&line, kField)) return std::string(line);
  }
  return "";
}

void WriteText(QTcpSocket& socket, absl::string_view text) {
  socket.write(text.data(), static_cast<qint64>(text.size()));
}

// Returns a handler that answers each request with its mark.
raw_server::handler Echo() {
  return [](QTcpSocket& socket, const raw_request& request) {
    WriteText(socket, Answer(MarkOf(request), MarkOf(request)));
  };
}

// After which the upstream of a test forgets an idle connection.
constexpr absl::Duration kForgets = absl::Milliseconds(150);

class channel_client_test : public event_loop_test {
 protected:
  // Runs a call with the mark `id`, or without one if it is empty.
  http_result Run(const raw_server& server, absl::string_view id = "1") {
    http_call call;
    call.method = "POST";
    call.address = server.Address();
    call.body = "fee";
    if (!id.empty()) {
      call.headers = {{"x-id", std::string(id)}};
      call.answer_mark = {"x-id", std::string(id)};
    }
    call.stall_timeout = stall_timeout_;
    std::optional<http_result> result;
    http_handler handler;
    handler.on_done = [&](http_result done) { result = std::move(done); };
    client_.Start(call, handler);
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return std::move(result).value_or(http_result{});
  }

  absl::Duration stall_timeout_ = absl::Seconds(5);
  channel_client client_;
};

TEST_F(channel_client_test, UsesAConnectionAgain) {
  raw_server server(Echo());
  EXPECT_EQ(Run(server, "1").body, "1");
  EXPECT_EQ(Run(server, "2").body, "2");
  EXPECT_EQ(server.Connections(), 1);
  EXPECT_EQ(client_.Counts().reused, 1);
}

TEST_F(channel_client_test, NeverSendsACallTwiceWhenAKeptConnectionBreaks) {
  int requests = 0;
  raw_server server([&](QTcpSocket& socket, const raw_request&) {
    if (++requests == 1) return raw_server::Answer(socket, 200, "done");
    raw_server::Reset(socket);
  });
  EXPECT_TRUE(Run(server, "1").status.ok());
  const http_result broken = Run(server, "2");
  EXPECT_EQ(server.Connections(), 1);
  EXPECT_EQ(KindOf(broken.status), error_kind::upstream_failed);
  EXPECT_EQ(RunStateOf(broken.status), run_state::unknown);
  EXPECT_EQ(requests, 2);
}

// The upstream forgets connections that rested for long, and tells nobody.
TEST_F(channel_client_test, LearnsThatIdleConnectionsAreDroppedSooner) {
  const auto rest = [] {
    const absl::Time until = MonotonicNow() + 2 * kForgets;
    RunUntil([until] { return MonotonicNow() >= until; });
  };
  std::map<const QTcpSocket*, absl::Time> last;
  raw_server server([&](QTcpSocket& socket, const raw_request&) {
    const absl::Time now = MonotonicNow();
    const auto found = last.find(&socket);
    if (found != last.end() && now - found->second > kForgets) {
      return raw_server::Reset(socket);
    }
    last[&socket] = now;
    raw_server::Answer(socket, 200, "done");
  });
  EXPECT_TRUE(Run(server, "1").status.ok());
  rest();
  EXPECT_EQ(RunStateOf(Run(server, "2").status), run_state::unknown);
  EXPECT_TRUE(Run(server, "3").status.ok());
  rest();
  EXPECT_TRUE(Run(server, "4").status.ok());
  EXPECT_EQ(server.Connections(), 3);
}

TEST_F(channel_client_test, TellsThatNothingWasSent) {
  std::optional<raw_server> server(std::in_place, raw_server::Always(200, ""));
  http_call call;
  call.address = server->Address();
  server.reset();
  std::optional<http_result> result;
  http_handler handler;
  handler.on_done = [&](http_result done) { result = std::move(done); };
  client_.Start(call, handler);
  ASSERT_TRUE(RunUntil([&] { return result.has_value(); }));
  EXPECT_EQ(RunStateOf(result->status), run_state::not_run);
}

// A kept connection may carry an answer that was due to an earlier call.
TEST_F(channel_client_test, PassesOverTheLateAnswerOfAnEarlierCall) {
  int requests = 0;
  raw_server server([&](QTcpSocket& socket, const raw_request&) {
    const std::string late = ++requests == 2 ? Answer("1", "late") : "";
    const std::string text =
        late + Answer(absl::StrCat(requests), absl::StrCat("body", requests));
    socket.write(text.data(), static_cast<qint64>(text.size()));
  });
  EXPECT_EQ(Run(server, "1").body, "body1");
  EXPECT_EQ(Run(server, "2").body, "body2");
}

TEST_F(channel_client_test, DoesNotKeepAConnectionWithExtraBytes) {
  raw_server server([&](QTcpSocket& socket, const raw_request& request) {
    const std::string id = MarkOf(request);
    WriteText(socket, Answer(id, "a") + Answer(id, "b"));
  });
  EXPECT_EQ(Run(server, "1").body, "a");
  EXPECT_EQ(Run(server, "2").body, "a");
  EXPECT_EQ(server.Connections(), 2);
}

// Guards against callers that are told "not run" for a request that runs: an
// engine writes an earlier refusal once more, without the id of its request.
TEST_F(channel_client_test, AnAnswerWithoutMarkOnAUsedConnectionIsUnknown) {
  raw_server server(
      [requests = 0](QTcpSocket& socket, const raw_request& request) mutable {
        if (++requests == 2) WriteText(socket, kUnmarkedRefusal);
        WriteText(socket, Answer(MarkOf(request), "ran"));
      });
  EXPECT_EQ(Run(server, "1").body, "ran");
  const http_result result = Run(server, "2");
  EXPECT_EQ(server.Connections(), 1);
  EXPECT_EQ(KindOf(result.status), error_kind::upstream_failed);
  EXPECT_EQ(RunStateOf(result.status), run_state::unknown);
  EXPECT_EQ(result.http_status, 0);
  EXPECT_TRUE(result.headers.empty());
  EXPECT_EQ(Run(server, "3").body, "ran");
  EXPECT_EQ(server.Connections(), 2);
}

TEST_F(channel_client_test, AnAnswerWithoutMarkOnANewConnectionCounts) {
  raw_server server([](QTcpSocket& socket, const raw_request&) {
    WriteText(socket, kUnmarkedRefusal);
  });
  EXPECT_EQ(Run(server, "1").http_status, 503);
}

// Guards against the same when one request is sent twice to an engine, as a
// prefill and then as a decode: both answers bear the same id.
TEST_F(channel_client_test, ACallIsNotWrittenToAConnectionThatCarriedItsMark) {
  std::map<const QTcpSocket*, int> requests;
  raw_server server([&](QTcpSocket& socket, const raw_request& request) {
    const std::string id = MarkOf(request);
    const int count = ++requests[&socket];
    if (count > 1 && id == "1") WriteText(socket, Answer(id, "earlier"));
    WriteText(socket, Answer(id, absl::StrCat(id, " of ", count)));
  });
  EXPECT_EQ(Run(server, "1").body, "1 of 1");
  EXPECT_EQ(Run(server, "2").body, "2 of 2");
  EXPECT_EQ(Run(server, "1").body, "1 of 1");
  EXPECT_EQ(server.Connections(), 2);
  // Other calls still use both.
  EXPECT_TRUE(Run(server, "3").status.ok());
  EXPECT_EQ(server.Connections(), 2);
}

// Guards against bytes that arrived before a call was written and are taken for
// its answer, and against calls that get lost on a connection that has ended.
TEST_F(channel_client_test, DoesNotUseAConnectionOnWhichAnythingHasArrived) {
  const std::function<void(QTcpSocket&)> arrivals[] = {
      [](QTcpSocket& socket) { WriteText(socket, Answer("2", "earlier")); },
      [](QTcpSocket& socket) { WriteText(socket, kUnmarkedRefusal); },
      [](QTcpSocket& socket) { socket.disconnectFromHost(); },
      [](QTcpSocket& socket) { raw_server::Reset(socket); }};
  for (const absl::string_view id : {"2", ""}) {
    for (const auto& arrive : arrivals) {
      QTcpSocket* last = nullptr;
      raw_server server([&](QTcpSocket& socket, const raw_request& request) {
        last = &socket;
        WriteText(socket, Answer(MarkOf(request), "ran"));
      });
      EXPECT_EQ(Run(server, "1").body, "ran");
      arrive(*last);
      last->flush();
      EXPECT_EQ(Run(server, id).body, "ran");
      EXPECT_EQ(server.Connections(), 2);
    }
  }
}

// An answer without a length ends with an orderly close, not with a reset.
TEST_F(channel_client_test, AResetDoesNotEndAnAnswerWithoutLength) {
  raw_server server([&](QTcpSocket& socket, const raw_request&) {
    socket.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc");
    raw_server::Reset(socket);
  });
  EXPECT_FALSE(Run(server).status.ok());
}

TEST_F(channel_client_test, AnOrderlyCloseEndsAnAnswerWithoutLength) {
  raw_server server([&](QTcpSocket& socket, const raw_request&) {
    socket.write("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc");
    socket.disconnectFromHost();
  });
  const http_result result = Run(server);
  EXPECT_TRUE(result.status.ok()) << result.status;
  EXPECT_EQ(result.body, "abc");
}

TEST_F(channel_client_test, ACutAnswerIsNoAnswer) {
  raw_server server([&](QTcpSocket& socket, const raw_request&) {
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    socket.disconnectFromHost();
  });
  EXPECT_FALSE(Run(server).status.ok());
}

TEST_F(channel_client_test, ASilentServerIsGivenUp) {
  stall_timeout_ = absl::Milliseconds(50);
  raw_server server([](QTcpSocket&, const raw_request&) {});
  EXPECT_EQ(KindOf(Run(server).status), error_kind::upstream_stalled);
}

TEST_F(channel_client_test, ACancelledCallClosesItsConnection) {
  QTcpSocket* held = nullptr;
  raw_server server(
      [&](QTcpSocket& socket, const raw_request&) { held = &socket; });
  http_call call;
  call.address = server.Address();
  const auto id = client_.Start(call, {});
  ASSERT_TRUE(RunUntil([&] { return held != nullptr; }));
  client_.Cancel(id);
  EXPECT_TRUE(RunUntil(
      [&] { return held->state() == QAbstractSocket::UnconnectedState; }));
  EXPECT_EQ(client_.ActiveCalls(), 0u);
}

// Guards against memory that grows until the time limit, and a connection that
// stays open, when an upstream sends bytes that are no answer without end.
class endless_answer_test : public testing::TestWithParam<endless_answer> {};

TEST_P(endless_answer_test, EndsTheCallAndClosesTheConnection) {
  EnsureTestApplication();
  constexpr size_t kMaxBody = 1 << 20;
  // Of both ends of the connection.
  constexpr size_t kSocketBuffers = 16 << 20;
  const endless_server server(GetParam());
  channel_client client;
  http_call call;
  call.address = server.Address();
  call.timeout = absl::Seconds(30);
  call.max_body_bytes = kMaxBody;
  call.answer_mark = {"x-id", "1"};
  std::optional<http_result> result;
  http_handler handler;
  handler.on_done = [&](http_result done) { result = std::move(done); };
  client.Start(call, handler);
  ASSERT_TRUE(RunUntil([&] { return result.has_value(); }));
  EXPECT_EQ(KindOf(result->status), error_kind::upstream_failed);
  EXPECT_EQ(RunStateOf(result->status), run_state::unknown);
  EXPECT_TRUE(RunUntil([&] { return server.Closed(); }));
  EXPECT_LT(server.SentBytes(), kMaxBody + kSocketBuffers);
}

INSTANTIATE_TEST_SUITE_P(earlier_call, endless_answer_test,
                         testing::Values(endless_answer{
                             "body", "HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n",
                             "b"}));

INSTANTIATE_TEST_SUITE_P(parts, endless_answer_test,
                         testing::ValuesIn(EndlessAnswers()),
                         [](const auto& answer) {
                           return std::string(answer.param.name);
                         });

}  // namespace
}  // namespace anvilridge
