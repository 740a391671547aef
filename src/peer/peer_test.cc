#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <optional>
#include <random>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"
#include "peer/cbor_fields.h"
#include "peer/peer_client.h"
#include "peer/peer_message.h"
#include "peer/peer_server.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(10);
const std::string kKey = "deployment-key";

/// Short waits, so that tests of silence are quick.
peer_timing QuickTiming() {
  peer_timing timing;
  timing.check_period = absl::Milliseconds(10);
  timing.ping_after = absl::Milliseconds(50);
  timing.pong_timeout = absl::Milliseconds(250);
  timing.client_idle = absl::Milliseconds(300);
  timing.authorize_timeout = absl::Milliseconds(100);
  return timing;
}

using answer = absl::StatusOr<QCborMap>;

std::string AddressOf(uint16_t port) {
  return absl::StrCat("127.0.0.1:", port);
}

QCborMap Number(int64_t n) { return {{QStringLiteral("n"), qint64{n}}}; }

class peer_test : public event_loop_test {
 protected:
  peer_test() { StartServer(0); }

  void StartServer(uint16_t port) {
    server_ = std::make_unique<peer_server>(kKey, QuickTiming());
    server_->Handle("echo", [](const QCborMap& request, auto respond) {
      respond(request);
    });
    server_->Handle("hold", [this](const QCborMap&, auto respond) {
      held_.push_back(respond);
    });
    server_->Handle("drop", [](const QCborMap&, const auto&) {});
    server_->Handle(
        "fail", [this](const QCborMap&, auto respond) { respond(failure_); });
    ASSERT_TRUE(server_->Listen({"127.0.0.1", port}).ok());
    address_ = AddressOf(server_->Port());
  }

  answer Call(const std::string& method, const QCborMap& request = {},
              absl::Duration timeout = kTimeout) {
    return CallAt(client_, address_, method, request, timeout);
  }

  static answer CallAt(peer_client& client, const std::string& address,
                       const std::string& method, const QCborMap& request = {},
                       absl::Duration timeout = kTimeout) {
    std::optional<answer> result;
    client.Call(address, method, request, timeout,
                [&](answer got) { result = std::move(got); });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return std::move(result).value_or(absl::UnknownError("no answer"));
  }

  void ExpectServing() {
    const answer got = Call("echo", Number(1));
    ASSERT_TRUE(got.ok()) << got.status();
    EXPECT_EQ(*got, Number(1));
  }

  std::unique_ptr<peer_server> server_;
  std::string address_;
  peer_client client_{kKey, QuickTiming()};
  std::vector<peer_responder> held_;
  absl::Status failure_;
};

TEST_F(peer_test, CallsAndAnswersArriveWhole) {
  const QCborMap request = {
      {QStringLiteral("text"), CborText("dužnost")},
      {QStringLiteral("list"), QCborArray{1, 2.5, true}},
      {QStringLiteral("big"), QByteArray(900 << 10, 'x')}};
  const answer got = Call("echo", request);
  ASSERT_TRUE(got.ok()) << got.status();
  EXPECT_EQ(*got, request);
}

TEST_F(peer_test, ThousandCallsAnsweredInAnyOrder) {
  constexpr int kCalls = 1000;
  int right = 0;
  for (int i = 0; i < kCalls; ++i) {
    client_.Call(address_, i % 2 == 0 ? "hold" : "echo", Number(i), kTimeout,
                 [&right, i](const answer& got) {
                   if (got.ok() && *got == Number(i)) ++right;
                 });
  }
  ASSERT_TRUE(RunUntil(
      [&] { return right == kCalls / 2 && held_.size() == kCalls / 2; }));
  for (int i = kCalls - 2; i >= 0; i -= 2) held_[i / 2](Number(i));
  EXPECT_TRUE(RunUntil([&] { return right == kCalls; }));
  // The key and the method go over the wire once, then as one byte each.
  EXPECT_LT(client_.BytesSent(), 60U * kCalls);
}

TEST_F(peer_test, ErrorsKeepKindRunStateDelayAndMessage) {
  const absl::Status failures[] = {
      MakeError(error_kind::overloaded, "no slot", run_state::not_run,
                absl::Milliseconds(1250)),
      MakeError(error_kind::upstream_failed, "gone", run_state::ran),
      MakeError(error_kind::slow_reader, "", run_state::unknown),
      MakeError(error_kind::forbidden, "not yours"),
  };
  for (const absl::Status& failure : failures) {
    failure_ = failure;
    EXPECT_EQ(Call("fail").status(), failure);
  }
}

TEST_F(peer_test, CallsThatCannotBeServedAreErrors) {
  EXPECT_EQ(KindOf(Call("nothing").status()), error_kind::not_found);
  EXPECT_EQ(KindOf(Call("drop").status()), error_kind::internal);
  const QCborMap long_request = {
      {QStringLiteral("b"), QByteArray(kMaxPeerBodyBytes, 'x')}};
  EXPECT_EQ(KindOf(Call("echo", long_request).status()),
            error_kind::body_too_large);
  ExpectServing();
}

// Many at once are more than the system takes in one write.
TEST_F(peer_test, LongBodiesAtOnceArriveWhole) {
  constexpr int kCalls = 20;
  const QCborMap body = {
      {QStringLiteral("b"), QByteArray(kMaxPeerBodyBytes - 100, 'x')}};
  int whole = 0;
  for (int i = 0; i < kCalls; ++i) {
    client_.Call(address_, "echo", body, kTimeout, [&](const answer& got) {
      if (got.ok() && *got == body) ++whole;
    });
  }
  EXPECT_TRUE(RunUntil([&] { return whole == kCalls; }));
}

TEST_F(peer_test, LongAnswersAreErrorsThatRan) {
  std::optional<answer> result;
  client_.Call(address_, "hold", {}, kTimeout,
               [&](answer got) { result = std::move(got); });
  ASSERT_TRUE(RunUntil([&] { return held_.size() == 1; }));
  held_[0](QCborMap{{QStringLiteral("b"), QByteArray(kMaxPeerBodyBytes, 'x')}});
  ASSERT_TRUE(RunUntil([&] { return result.has_value(); }));
  EXPECT_EQ(KindOf(result->status()), error_kind::body_too_large);
  EXPECT_EQ(RunStateOf(result->status()), run_state::ran);
}

TEST_F(peer_test, WrongKeyIsRefusedBeforeAnythingRuns) {
  for (const std::string& key :
       {std::string("deployment-kez"), std::string(), std::string(5000, 'k')}) {
    peer_client stranger(key);
    const answer got = CallAt(stranger, address_, "hold");
    EXPECT_EQ(KindOf(got.status()), error_kind::forbidden) << got.status();
    EXPECT_EQ(RunStateOf(got.status()), run_state::not_run);
  }
  EXPECT_TRUE(held_.empty());
  ExpectServing();
}

TEST_F(peer_test, UnreachablePeerIsNotRun) {
  server_.reset();
  const answer refused = Call("echo");
  EXPECT_EQ(KindOf(refused.status()), error_kind::upstream_failed);
  EXPECT_EQ(RunStateOf(refused.status()), run_state::not_run);
  for (const std::string address :
       {"", "127.0.0.1", "localhost:1", "1.2.3.4:0"}) {
    const answer got = CallAt(client_, address, "echo");
    EXPECT_EQ(KindOf(got.status()), error_kind::upstream_failed) << address;
    EXPECT_EQ(RunStateOf(got.status()), run_state::not_run) << address;
  }
}

TEST_F(peer_test, DeadPeerFailsItsCallsAndIsReconnected) {
  std::vector<absl::Status> failed;
  for (int i = 0; i < 10; ++i) {
    client_.Call(address_, "hold", {}, kTimeout,
                 [&](const answer& got) { failed.push_back(got.status()); });
  }
  ASSERT_TRUE(RunUntil([&] { return held_.size() == 10; }));
  const uint16_t port = server_->Port();
  server_.reset();
  ASSERT_TRUE(RunUntil([&] { return failed.size() == 10; }));
  for (const absl::Status& status : failed) {
    EXPECT_EQ(KindOf(status), error_kind::upstream_failed);
    EXPECT_EQ(RunStateOf(status), run_state::unknown);
  }
  // Answers to calls of a connection that is gone are dropped.
  for (const auto& respond : held_) respond(Number(1));
  StartServer(port);
  ExpectServing();
}

TEST_F(peer_test, FrozenPeerTimesOut) {
  QTcpServer frozen;
  ASSERT_TRUE(frozen.listen(QHostAddress::LocalHost));
  const absl::Time start = MonotonicNow();
  const answer got = CallAt(client_, AddressOf(frozen.serverPort()), "echo", {},
                            absl::Milliseconds(100));
  EXPECT_EQ(KindOf(got.status()), error_kind::upstream_stalled);
  EXPECT_EQ(RunStateOf(got.status()), run_state::unknown);
  EXPECT_GE(MonotonicNow() - start, absl::Milliseconds(100));
  // A long call does not wait for a peer that shows no sign of life.
  const answer given_up = CallAt(client_, AddressOf(frozen.serverPort()),
                                 "echo", {}, absl::Minutes(10));
  EXPECT_EQ(KindOf(given_up.status()), error_kind::upstream_failed);
}

TEST_F(peer_test, SlowAnswerOutlivesSilenceOfThePeer) {
  std::optional<answer> result;
  client_.Call(address_, "hold", {}, absl::Minutes(1),
               [&](answer got) { result = std::move(got); });
  RunUntil([&] { return result.has_value(); }, absl::Seconds(1));
  ASSERT_FALSE(result.has_value()) << result->status();
  held_.at(0)(Number(3));
  ASSERT_TRUE(RunUntil([&] { return result.has_value(); }));
  EXPECT_TRUE(result->ok());
}

TEST_F(peer_test, ConnectionsWithoutUseAreClosed) {
  QTcpSocket silent;
  silent.connectToHost(QHostAddress::LocalHost, server_->Port());
  EXPECT_TRUE(RunUntil(
      [&] { return silent.state() == QAbstractSocket::ConnectedState; }));
  EXPECT_TRUE(RunUntil([&] {
    return silent.state() == QAbstractSocket::UnconnectedState;
  })) << "the server keeps a connection without the key";
  ExpectServing();
  const uint64_t sent = client_.BytesSent();
  ExpectServing();
  const uint64_t kept = client_.BytesSent() - sent;
  RunUntil([] { return false; }, absl::Milliseconds(600));
  const uint64_t before = client_.BytesSent();
  ExpectServing();
  EXPECT_GT(client_.BytesSent() - before, kept + 24)
      << "a new connection begins with its preface";
}

TEST_F(peer_test, LateAnswerIsDropped) {
  const answer got = Call("hold", {}, absl::Milliseconds(50));
  EXPECT_EQ(KindOf(got.status()), error_kind::upstream_stalled);
  ASSERT_TRUE(RunUntil([&] { return held_.size() == 1; }));
  held_[0](Number(7));
  ExpectServing();
}

TEST_F(peer_test, AnswersMayMakeCalls) {
  int done = 0;
  client_.Call(address_, "echo", Number(1), kTimeout, [&](const answer&) {
    client_.Call(address_, "echo", Number(2), kTimeout,
                 [&](const answer& got) { done += got.ok() ? 1 : 0; });
  });
  EXPECT_TRUE(RunUntil([&] { return done == 1; }));
}

/// Sends `bytes` to the server and waits until it has read or closed.
void SendRaw(uint16_t port, const QByteArray& bytes) {
  QTcpSocket socket;
  socket.connectToHost(QHostAddress::LocalHost, port);
  ASSERT_TRUE(RunUntil(
      [&] { return socket.state() == QAbstractSocket::ConnectedState; }));
  socket.write(bytes);
  RunUntil([&] { return socket.bytesToWrite() == 0; }, absl::Seconds(1));
  RunUntil([&] { return socket.state() != QAbstractSocket::ConnectedState; },
           absl::Milliseconds(3));
}

/// Returns the bytes with which a client begins a connection and a call.
QByteArray RecordCall() {
  QTcpServer recorder;
  recorder.listen(QHostAddress::LocalHost);
  peer_client client(kKey);
  client.Call(AddressOf(recorder.serverPort()), "echo", Number(1), kTimeout,
              [](const answer&) {});
  QByteArray bytes;
  QTcpSocket* socket = nullptr;
  EXPECT_TRUE(RunUntil([&] {
    if (socket == nullptr) socket = recorder.nextPendingConnection();
    if (socket != nullptr) bytes += socket->readAll();
    return bytes.size() > 100;
  }));
  return bytes;
}

TEST_F(peer_test, HostileBytesDoNotStopTheServer) {
  const QByteArray call = RecordCall();
  std::vector<QByteArray> inputs = {
      QByteArray(100000, '\0'), QByteArray("GET / HTTP/1.1\r\n\r\n"),
      call.left(30), call + QByteArray(100000, '\xff')};
  std::mt19937 random(7);  // NOLINT(bugprone-random-generator-seed)
  for (int i = 0; i < 200; ++i) {
    QByteArray spoilt = call;
    for (int flips = 0; flips < 3; ++flips) {
      const auto size = static_cast<size_t>(spoilt.size());
      spoilt[static_cast<qsizetype>(random() % size)] =
          static_cast<char>(random());
    }
    inputs.push_back(spoilt);
  }
  for (const QByteArray& input : inputs) SendRaw(server_->Port(), input);
  ExpectServing();
}

}  // namespace
}  // namespace anvilridge
