#include "upstreams/http_client.h"

#include <QThread>
#include <algorithm>
#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/time/clock.h"
#include "base/error_kind.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"
#include "upstreams/kept_bytes.h"
#include "upstreams/testing/endless_server.h"
#include "upstreams/testing/malformed_statuses.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

class http_client_test : public event_loop_test {
 protected:
  http_result Run(http_call call) {
    std::optional<http_result> result;
    client_.Start(std::move(call),
                  {.on_headers = {}, .on_data = {}, .on_done = [&](auto done) {
                     result = std::move(done);
                   }});
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return std::move(result).value_or(http_result{});
  }

  http_client client_;
};

http_call Post(const raw_server& server, std::string body = "fee") {
  http_call call;
  call.method = "POST";
  call.address = server.Address();
  call.target = "/post";
  call.body = std::move(body);
  return call;
}

http_call Get(const raw_server& server) {
  http_call call;
  call.address = server.Address();
  call.repeatable = true;
  return call;
}

TEST_F(http_client_test, AnswerArrivesWhole) {
  raw_server server([](QTcpSocket& socket, const raw_request& request) {
    raw_server::Answer(socket, 201, request.body + "!");
  });
  http_call call = Post(server);
  call.target = "/a/../b?x=%20y";
  call.headers = {{"idempotency-key", "k1"},
                  {"transfer-encoding", "chunked"},
                  {"x-empty", ""}};
  const http_result result = Run(call);
  EXPECT_TRUE(result.status.ok()) << result.status;
  EXPECT_EQ(result.http_status, 201);
  EXPECT_EQ(result.body, "fee!");
  EXPECT_EQ(HeaderValue(result.headers, "content-length"), "4");
  const raw_request& seen = server.Requests().at(0);
  EXPECT_EQ(seen.target, "/a/../b?x=%20y");
  EXPECT_NE(seen.head.find("idempotency-key: k1"), std::string::npos);
  EXPECT_NE(seen.head.find("x-empty:"), std::string::npos);
  EXPECT_EQ(seen.head.find("chunked"), std::string::npos);
  EXPECT_EQ(seen.head.find("Expect"), std::string::npos);
}

// Guards against an answer with the status 0 for a status line that has none.
TEST_F(http_client_test, AMalformedStatusFailsAtOnce) {
  for (const std::string& line : MalformedStatusLines()) {
    SCOPED_TRACE(line);
    // The connection stays open.
    raw_server server([&line](QTcpSocket& socket, const raw_request&) {
      const std::string text = line + "Content-Length: 4\r\n\r\ndone";
      socket.write(text.data(), static_cast<qint64>(text.size()));
    });
    const http_result result = Run(Post(server));
    EXPECT_EQ(KindOf(result.status), error_kind::upstream_failed);
    EXPECT_EQ(RunStateOf(result.status), run_state::unknown);
    EXPECT_EQ(result.http_status, 0);
  }
}

// Guards against an early answer without a length that counts as whole although
// its connection was reset while the request was still being written.
TEST_F(http_client_test, AResetBesideAnUploadIsNoEnd) {
  constexpr size_t kMoreThanBuffersHold = 32 << 20;
  for (const int delay_ms : {0, 5, 100}) {
    SCOPED_TRACE(delay_ms);
    QTcpServer server;
    QObject::connect(&server, &QTcpServer::newConnection, [&] {
      QTcpSocket* socket = server.nextPendingConnection();
      socket->setReadBufferSize(1);
      socket->write("HTTP/1.1 200 OK\r\n\r\nhalf");
      QTimer::singleShot(delay_ms, socket,
                         [socket] { raw_server::Reset(*socket); });
    });
    ASSERT_TRUE(server.listen(QHostAddress::LocalHost));
    http_call call;
    call.method = "POST";
    call.address = absl::StrCat("127.0.0.1:", server.serverPort());
    call.body = std::string(kMoreThanBuffersHold, 'x');
    const http_result result = Run(std::move(call));
    EXPECT_EQ(KindOf(result.status), error_kind::upstream_failed);
    EXPECT_EQ(RunStateOf(result.status), run_state::unknown);
  }
}

// A server that reads a posting and closes has counted it; a client that sends
// it again books a fee twice.
TEST_F(http_client_test, PostIsDeliveredOnceWhenServerCloses) {
  for (const bool warm : {false, true}) {
    raw_server server([](QTcpSocket& socket, const raw_request& request) {
      if (request.method == "GET") return raw_server::Answer(socket, 200, "ok");
      socket.abort();
    });
    if (warm) {
      ASSERT_TRUE(Run(Get(server)).status.ok());
      ASSERT_TRUE(Run(Get(server)).status.ok());
      ASSERT_EQ(server.Connections(), 1) << "the connection was not kept";
    }
    const http_result result = Run(Post(server));
    EXPECT_EQ(KindOf(result.status), error_kind::upstream_failed);
    EXPECT_EQ(RunStateOf(result.status), run_state::unknown);
    RunUntil([] { return false; }, absl::Milliseconds(100));
    EXPECT_EQ(server.Count("POST"), 1) << "warm=" << warm;
  }
}

TEST_F(http_client_test, RefusedConnectionIsNotRun) {
  http_call call;
  {
    raw_server gone([](QTcpSocket&, const raw_request&) {});
    call = Post(gone);
  }
  const http_result result = Run(call);
  EXPECT_EQ(KindOf(result.status), error_kind::upstream_failed);
  EXPECT_EQ(RunStateOf(result.status), run_state::not_run);
}

TEST_F(http_client_test, MalformedCallIsNotSent) {
  raw_server server([](QTcpSocket& socket, const raw_request&) {
    raw_server::Answer(socket, 200, "");
  });
  const std::vector<std::function<void(http_call&)>> faults = {
      [](http_call& call) { call.target = "/a\r\nx: y"; },
      [](http_call& call) { call.target = "/a b"; },
      [](http_call& call) { call.method = "GE T"; },
      [](http_call& call) {
        call.headers = {{"a", "b\r\nc: d"}};
      },
      [](http_call& call) {
        call.headers = {{"a\r\nb", "c"}};
      },
      [](http_call& call) { call.address = "localhost:1"; },
      [](http_call& call) { call.address = "127.0.0.1"; },
  };
  for (const auto& spoil : faults) {
    http_call call = Post(server);
    spoil(call);
    const http_result result = Run(call);
    EXPECT_EQ(KindOf(result.status), error_kind::malformed_request);
    EXPECT_EQ(RunStateOf(result.status), run_state::not_run);
  }
  EXPECT_TRUE(server.Requests().empty());
}

TEST_F(http_client_test, BrokenAnswersFailAsUnknown) {
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nha",
      "HTTP/1.1 200 OK\r\nConten",
      "garbage\r\n\r\n",
      "HTTP/1.1 200 OK\r\nA: " + std::string(70 << 10, 'x') + "\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
          std::string(2000, 'x'),
  };
  for (const std::string& answer : answers) {
    raw_server server([&](QTcpSocket& socket, const raw_request&) {
      socket.write(answer.data(), static_cast<qint64>(answer.size()));
      socket.disconnectFromHost();
    });
    http_call call = Post(server);
    call.max_body_bytes = 1000;
    const http_result result = Run(call);
    EXPECT_EQ(KindOf(result.status), error_kind::upstream_failed)
        << answer.substr(0, 60);
    EXPECT_EQ(RunStateOf(result.status), run_state::unknown);
  }
}

TEST_F(http_client_test, SilentServersStall) {
  struct {
    absl::Duration timeout;
    absl::Duration stall;
    bool begins;
  } const cases[] = {
      {absl::Milliseconds(80), absl::InfiniteDuration(), false},
      {absl::InfiniteDuration(), absl::Milliseconds(80), false},
      {absl::InfiniteDuration(), absl::Milliseconds(80), true},
      {absl::Milliseconds(80), absl::Seconds(5), true},
  };
  for (const auto& test : cases) {
    raw_server server([&](QTcpSocket& socket, const raw_request&) {
      if (test.begins) raw_server::BeginChunked(socket);
    });
    http_call call = Post(server);
    call.timeout = test.timeout;
    call.stall_timeout = test.stall;
    const absl::Time start = MonotonicNow();
    const http_result result = Run(call);
    EXPECT_EQ(KindOf(result.status), error_kind::upstream_stalled);
    EXPECT_EQ(RunStateOf(result.status), run_state::unknown);
    EXPECT_GE(MonotonicNow() - start, absl::Milliseconds(80));
    EXPECT_EQ(client_.ActiveCalls(), 0U);
  }
}

// After a pause within one turn of the event loop, timers come due before the
// sockets are asked again; an answer that is there must not be thrown away.
TEST_F(http_client_test, AnswerThatCameDuringAPauseIsTaken) {
  for (int round = 0; round < 5; ++round) {
    raw_server server([](QTcpSocket& socket, const raw_request&) {
      raw_server::Answer(socket, 200, "late");
      socket.flush();
      absl::SleepFor(absl::Milliseconds(80));
    });
    http_call call = Post(server);
    call.timeout = absl::Milliseconds(50);
    const http_result result = Run(call);
    EXPECT_TRUE(result.status.ok()) << result.status;
    EXPECT_EQ(result.body, "late");
  }
}

TEST_F(http_client_test, BytesDoNotDeferTheTimeout) {
  QTimer ticks;
  raw_server server([&](QTcpSocket& socket, const raw_request&) {
    raw_server::BeginChunked(socket);
    QObject::connect(&ticks, &QTimer::timeout, &socket,
                     [&] { raw_server::Chunk(socket, "x"); });
    ticks.start(1);
  });
  http_call call = Post(server);
  call.timeout = absl::Milliseconds(100);
  EXPECT_EQ(KindOf(Run(call).status), error_kind::upstream_stalled);
}

TEST_F(http_client_test, ClientsOfTwoThreadsAreApart) {
  const auto run = [](std::atomic<int>* answered) {
    http_client client;
    raw_server server([](QTcpSocket& socket, const raw_request& request) {
      raw_server::Answer(socket, 200, request.body);
    });
    for (int i = 0; i < 50; ++i) {
      client.Start(Post(server), {{}, {}, [&](const http_result& result) {
                                    if (result.body == "fee") ++*answered;
                                  }});
    }
    RunUntil([&] { return client.ActiveCalls() == 0; });
  };
  std::atomic<int> answered[2] = {};
  const std::unique_ptr<QThread> other(QThread::create(run, &answered[0]));
  other->start();
  run(&answered[1]);
  other->wait();
  EXPECT_EQ(answered[0], 50);
  EXPECT_EQ(answered[1], 50);
}

TEST_F(http_client_test, BytesDeferTheStall) {
  int chunks = 0;
  std::unique_ptr<QTimer> ticks;
  raw_server server([&](QTcpSocket& socket, const raw_request&) {
    raw_server::BeginChunked(socket);
    ticks = std::make_unique<QTimer>();
    QObject::connect(ticks.get(), &QTimer::timeout, &socket, [&] {
      if (++chunks > 20) return raw_server::Chunk(socket, "");
      raw_server::Chunk(socket, "x");
    });
    ticks->start(20);
  });
  http_call call = Post(server);
  call.stall_timeout = absl::Milliseconds(200);
  const http_result result = Run(call);
  EXPECT_TRUE(result.status.ok()) << result.status;
  EXPECT_EQ(result.body, std::string(20, 'x'));
}

// An engine holds about twenty streams; a cap on connections per host would
// leave the rest waiting for the first to end.
TEST_F(http_client_test, SixtyStreamsToOneServerProgressAtOnce) {
  constexpr int kStreams = 60;
  std::vector<QTcpSocket*> open;
  raw_server server([&](QTcpSocket& socket, const raw_request&) {
    raw_server::BeginChunked(socket);
    raw_server::Chunk(socket, "first");
    open.push_back(&socket);
  });
  std::set<int> progressed;
  int done = 0;
  for (int i = 0; i < kStreams; ++i) {
    http_call call = Post(server);
    call.repeatable = i % 2 == 0;
    client_.Start(call, {.on_headers = {},
                         .on_data = [&, i](auto) { progressed.insert(i); },
                         .on_done =
                             [&](const http_result& result) {
                               EXPECT_TRUE(result.status.ok()) << result.status;
                               ++done;
                             }});
  }
  EXPECT_TRUE(RunUntil([&] { return progressed.size() == kStreams; }));
  EXPECT_EQ(done, 0);
  for (QTcpSocket* socket : open) raw_server::Chunk(*socket, "");
  EXPECT_TRUE(RunUntil([&] { return done == kStreams; }));
}

TEST_F(http_client_test, HandlersMayCancelAndStartCalls) {
  int closed = 0;
  raw_server server([&](QTcpSocket& socket, const raw_request& request) {
    QObject::connect(&socket, &QTcpSocket::disconnected, [&] { ++closed; });
    if (request.method == "GET") return raw_server::Answer(socket, 200, "ok");
    raw_server::BeginChunked(socket);
    raw_server::Chunk(socket, "x");
  });
  for (const bool in_headers : {true, false}) {
    closed = 0;
    http_client::call_id first = 0;
    http_client::call_id other = 0;
    bool started = false;
    int followers = 0;
    const auto react = [&] {
      client_.Cancel(first);
      client_.Cancel(other);
      client_.Start(Get(server), {.on_headers = {},
                                  .on_data = {},
                                  .on_done = [&](const http_result& result) {
                                    EXPECT_EQ(result.body, "ok");
                                    ++followers;
                                  }});
      started = true;
    };
    const auto fail = [](const http_result&) { FAIL() << "was cancelled"; };
    other = client_.Start(Post(server), {{}, {}, fail});
    first = client_.Start(Post(server), {.on_headers =
                                             [&](int, const auto&) {
                                               if (in_headers) react();
                                             },
                                         .on_data =
                                             [&](auto) {
                                               EXPECT_FALSE(in_headers);
                                               react();
                                             },
                                         .on_done = fail});
    EXPECT_TRUE(RunUntil([&] { return followers == 1 && closed >= 2; }));
    EXPECT_TRUE(started);
    EXPECT_EQ(client_.ActiveCalls(), 0U);
  }
}

// Guards against memory that grows until the time limit, and a connection that
// stays open, when an upstream sends bytes that are no answer without end.
class endless_http_answer_test : public testing::TestWithParam<endless_answer> {
};

TEST_P(endless_http_answer_test, EndsTheCallAndClosesTheConnection) {
  EnsureTestApplication();
  constexpr size_t kMaxBody = 1 << 20;
  // Of both ends of the connection.
  constexpr size_t kSocketBuffers = 16 << 20;
  const endless_server server(GetParam());
  http_client client;
  http_call call;
  call.address = server.Address();
  call.timeout = absl::Seconds(30);
  // libcurl does not tell of chunk extensions; the call ends by this time.
  call.stall_timeout = absl::Seconds(1);
  call.max_body_bytes = kMaxBody;
  std::optional<http_result> result;
  http_handler handler;
  handler.on_done = [&](http_result done) { result = std::move(done); };
  client.Start(call, handler);
  ASSERT_TRUE(RunUntil([&] { return result.has_value(); }));
  const bool is_extension =
      absl::string_view(GetParam().name) == "chunk_extension";
  EXPECT_EQ(KindOf(result->status), is_extension ? error_kind::upstream_stalled
                                                 : error_kind::upstream_failed);
  EXPECT_EQ(RunStateOf(result->status), run_state::unknown);
  EXPECT_TRUE(RunUntil([&] { return server.Closed(); }));
  // What libcurl skips is not kept.
  if (is_extension) return;
  EXPECT_LT(server.SentBytes(), kMaxBody + kSocketBuffers);
}

INSTANTIATE_TEST_SUITE_P(parts, endless_http_answer_test,
                         testing::ValuesIn(EndlessAnswers()),
                         [](const auto& answer) {
                           return std::string(answer.param.name);
                         });

// One upstream sends without end over several connections. The bounds on a
// single answer would let it fill the memory.
TEST_F(http_client_test, EndlessAnswersAreBoundedInSum) {
  raw_server server([](QTcpSocket& socket, const raw_request&) {
    QObject::connect(&socket, &QTcpSocket::bytesWritten, [&socket] {
      if (socket.bytesToWrite() == 0) socket.write(QByteArray(64 << 10, 'x'));
    });
    socket.write("HTTP/1.1 200 OK\r\n\r\n");
  });
  constexpr size_t kCalls = 4;
  std::vector<http_result> results;
  for (size_t i = 0; i < kCalls; ++i) {
    http_call call = Get(server);
    call.max_body_bytes = size_t{1} << 30;
    http_handler handler;
    handler.on_done = [&](http_result done) {
      results.push_back(std::move(done));
    };
    client_.Start(std::move(call), std::move(handler));
  }
  // The first ones that are cut off leave room for the others for a while.
  EXPECT_TRUE(RunUntil([&] { return results.size() == kCalls; }));
  size_t kept = 0;
  for (const http_result& result : results) {
    EXPECT_TRUE(absl::StrContains(result.status.message(), "no memory left"))
        << result.status;
    kept = std::max(kept, result.body.size());
  }
  EXPECT_LE(kept, kept_bytes_limits().per_upstream);
}

}  // namespace
}  // namespace anvilridge
