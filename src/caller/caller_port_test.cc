#include "caller/caller_port.h"

#include <QSslConfiguration>
#include <QSslSocket>
#include <QTcpSocket>
#include <memory>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "caller/caller_world_for_test.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST_F(caller_port_thread_test, AnswersManyRequestsOnOneConnection) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(
      "POST /a%20b?c=%2F HTTP/1.1\r\nHost: a\r\nX-Name: v\r\n"
      "Content-Length: 3\r\n\r\nabc");
  EXPECT_TRUE(caller.WaitForText("POST /a%20b?c=%2F v abc")) << caller.Text();
  caller.Send(
      "PUT /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n");
  EXPECT_TRUE(caller.WaitForText("PUT /c?  abcde")) << caller.Text();
  caller.Send(Get("/stream"));
  EXPECT_TRUE(caller.WaitForText("3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"));
  caller.Send("HEAD /h HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(caller.WaitForText("content-length: 10\r\n\r\n"));
  caller.Send("PURGE /p HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(caller.WaitForText("PURGE /p")) << caller.Text();
  EXPECT_TRUE(caller.WaitForClose());
  EXPECT_EQ(seen_.requests, 5);
  EXPECT_EQ(seen_.closed, 0);
  EXPECT_EQ(port_->RequestsInProgress(), 0);
}

TEST_F(caller_port_thread_test, ClosesIdleConnections) {
  limits_.idle_timeout = absl::Milliseconds(100);
  Start();
  raw_caller silent(port_->Port());
  raw_caller used(port_->Port());
  used.Send(Get("/a"));
  EXPECT_TRUE(used.WaitForText("GET /a"));
  EXPECT_TRUE(silent.WaitForClose());
  EXPECT_TRUE(used.WaitForClose());
}

TEST_F(caller_port_thread_test, CutsSlowReaders) {
  limits_.max_unsent_bytes = 64 << 10;
  Start();
  raw_caller caller(port_->Port());
  caller.Socket().setReadBufferSize(1024);
  caller.Send(Get("/pour"));
  EXPECT_TRUE(WaitFor([this] { return seen_.closed == 1; }));
  EXPECT_TRUE(WaitFor([this] { return port_->RequestsInProgress() == 0; }));
}

TEST_F(caller_port_thread_test, CutsReadersThatTakeNothingOfAWholeAnswer) {
  limits_.request_timeout = absl::Milliseconds(200);
  Start();
  raw_caller caller(port_->Port());
  caller.Socket().setReadBufferSize(1024);
  caller.Send(Get("/large"));
  EXPECT_TRUE(WaitFor([this] { return seen_.requests == 1; }));
  EXPECT_TRUE(WaitFor([this] { return port_->RequestsInProgress() == 0; }));
}

TEST_F(caller_port_thread_test, SendsALargeAnswerWhole) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(Get("/large"));
  EXPECT_TRUE(WaitFor([&] { return caller.Text().size() > 8 << 20; }));
  EXPECT_TRUE(WaitFor([this] { return port_->RequestsInProgress() == 0; }));
}

TEST_F(caller_port_thread_test, TellsWhenTheCallerLeaves) {
  Start();
  for (const char* path : {"/hold", "/open"}) {
    seen_.closed = 0;
    seen_.requests = 0;
    raw_caller caller(port_->Port());
    caller.Send(Get(path));
    EXPECT_TRUE(WaitFor([this] { return seen_.requests == 1; }));
    caller.Socket().abort();
    EXPECT_TRUE(WaitFor([this] { return seen_.closed == 1; })) << path;
    EXPECT_TRUE(WaitFor([this] { return port_->RequestsInProgress() == 0; }));
  }
}

TEST_F(caller_port_thread_test, RunsNoPipelinedRequestBeforeItsTurn) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(absl::StrCat(Get("/hold"), Get("/b")));
  EXPECT_TRUE(WaitFor([this] { return seen_.requests == 1; }));
  caller.Send("GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  caller.Socket().flush();
  EXPECT_FALSE(caller.Socket().waitForReadyRead(50));
  EXPECT_EQ(seen_.requests, 1);
  seen_.released = true;
  EXPECT_TRUE(caller.WaitForText("released"));
  EXPECT_TRUE(caller.WaitForClose());
  EXPECT_EQ(seen_.requests, 3);
  const std::string text = caller.Text();
  EXPECT_LT(text.find("released"), text.find("GET /b"));
  EXPECT_LT(text.find("GET /b"), text.find("GET /c"));
}

TEST_F(caller_port_thread_test, AnswersARequestThatItsHandlerDropped) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(Get("/drop"));
  EXPECT_TRUE(caller.WaitForText("HTTP/1.1 500 ")) << caller.Text();
}

TEST_F(caller_port_thread_test, KeepsHeaderFieldsToOneLine) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(Get("/inject"));
  EXPECT_TRUE(caller.WaitForText("\r\n\r\n"));
  EXPECT_TRUE(absl::StrContains(caller.Text(), "x-ax-evil: bx-worse: c\r\n"))
      << caller.Text();
}

TEST_F(caller_port_thread_test, StopFinishesAnswersAndClosesIdleConnections) {
  Start();
  raw_caller idle(port_->Port());
  raw_caller busy(port_->Port());
  busy.Send(Get("/hold"));
  EXPECT_TRUE(WaitFor([this] { return seen_.requests == 1; }));
  const uint16_t port = port_->Port();
  port_->StopAccepting();
  EXPECT_TRUE(idle.WaitForClose());
  QTcpSocket late;
  late.connectToHost("127.0.0.1", port);
  EXPECT_FALSE(late.waitForConnected(kPatienceMs));
  EXPECT_EQ(port_->RequestsInProgress(), 1);
  seen_.released = true;
  EXPECT_TRUE(busy.WaitForText("released"));
  EXPECT_TRUE(busy.WaitForClose());
  EXPECT_EQ(port_->RequestsInProgress(), 0);
}

TEST_F(caller_port_thread_test, DestructionCutsAnswersAndTellsTheirHolders) {
  Start();
  raw_caller caller(port_->Port());
  caller.Send(Get("/open"));
  EXPECT_TRUE(caller.WaitForText("open"));
  port_.reset();
  EXPECT_EQ(seen_.closed, 1);
  EXPECT_TRUE(caller.WaitForClose());
}

TEST_F(caller_port_thread_test, SaysWhyItCannotListen) {
  Start();
  port_settings taken;
  taken.listen.port = port_->Port();
  caller_port second(taken, limits_, threads_.Contexts());
  const absl::Status status = second.Listen([](size_t) { return nullptr; });
  EXPECT_TRUE(absl::StrContains(status.message(), "in use")) << status;
}

TEST_F(caller_port_thread_test, SpeaksTls) {
  settings_.tls = true;
  settings_.certificate_file = ANVIL_SOURCE_DIR "/tests/data/localhost.crt";
  settings_.private_key_file = ANVIL_SOURCE_DIR "/tests/data/localhost.key";
  Start();
  auto socket = std::make_unique<QSslSocket>();
  const auto certificates = QSslCertificate::fromPath(
      QString::fromStdString(settings_.certificate_file));
  ASSERT_EQ(certificates.size(), 1);
  QSslConfiguration configuration = socket->sslConfiguration();
  configuration.setCaCertificates(certificates);
  socket->setSslConfiguration(configuration);
  socket->setPeerVerifyName("localhost");
  QSslSocket* tls = socket.get();
  raw_caller caller(port_->Port(), socket.release());
  tls->startClientEncryption();
  ASSERT_TRUE(WaitFor([&] { return tls->isEncrypted(); }));
  caller.Send(Get("/a"));
  EXPECT_TRUE(caller.WaitForText("GET /a"));
  caller.Send(Get("/stream"));
  EXPECT_TRUE(caller.WaitForText("0\r\n\r\n"));
  raw_caller plain(port_->Port());
  plain.Send(Get("/plain"));
  EXPECT_TRUE(plain.WaitForClose());
  EXPECT_EQ(seen_.requests, 2);
}

TEST_F(caller_port_thread_test, RefusesUnusableTlsFiles) {
  settings_.tls = true;
  settings_.certificate_file = "/nonexistent.crt";
  caller_port port(settings_, limits_, threads_.Contexts());
  const absl::Status status = port.Listen([](size_t) { return nullptr; });
  EXPECT_TRUE(absl::StrContains(status.message(), "/nonexistent.crt"));
}

}  // namespace
}  // namespace anvilridge
