#include "metrics/health_port.h"

#include <QCoreApplication>
#include <QTcpSocket>
#include <string>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

std::string Ask(uint16_t port, absl::string_view request_line) {
  QTcpSocket socket;
  socket.connectToHost("127.0.0.1", port);
  socket.write(QByteArray::fromStdString(absl::StrCat(
      request_line, " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")));
  while (socket.state() != QAbstractSocket::UnconnectedState) {
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return socket.readAll().toStdString();
}

TEST(health_port_test, AnswersHealthReadinessAndMetrics) {
  int count = 1;
  char name[] = "test";
  char* arguments[] = {name, nullptr};
  const QCoreApplication application(count, arguments);
  QObject context;
  absl::Status readiness =
      MakeError(error_kind::log_unavailable, "no source of configuration");
  health_port port({}, &context,
                   {[&] { return readiness; }, [] { return "m 1\n"; }});
  ASSERT_TRUE(port.Listen().ok());
  const auto expect = [&](absl::string_view line, absl::string_view status,
                          absl::string_view part) {
    const std::string answer = Ask(port.Port(), line);
    EXPECT_TRUE(absl::StrContains(answer, absl::StrCat(status, " "))) << answer;
    EXPECT_TRUE(absl::StrContains(answer, part)) << answer;
  };
  expect("GET /healthz", "200", "ok\n");
  expect("GET /readyz", "503", "no source of configuration");
  readiness = absl::OkStatus();
  expect("GET /readyz", "200", "ready\n");
  expect("GET /metrics", "200", "text/plain; version=0.0.4");
  expect("GET /metrics", "200", "m 1\n");
  expect("POST /metrics", "405", "method_not_allowed");
  expect("POST /metrics", "405", "\r\nallow: GET, HEAD\r\n");
  expect("GET /other", "404", "unknown_route");
}

TEST(health_port_test, ShowsAndLiftsTheQuarantine) {
  int count = 1;
  char name[] = "test";
  char* arguments[] = {name, nullptr};
  const QCoreApplication application(count, arguments);
  QObject context;
  health_sources sources{[] { return absl::OkStatus(); },
                         [] { return std::string(); }};
  health_port without({}, &context, sources);
  sources.quarantine_text = [] { return std::string("{}"); };
  sources.lift_quarantine = [](absl::string_view part) { return part == "ab"; };
  health_port port({}, &context, sources);
  ASSERT_TRUE(port.Listen().ok() && without.Listen().ok());
  const auto status = [](const health_port& asked, absl::string_view line) {
    return Ask(asked.Port(), line).substr(sizeof("HTTP/1.1"), 3);
  };
  EXPECT_EQ(status(port, "GET /quarantine"), "200");
  EXPECT_EQ(status(port, "DELETE /quarantine/ab"), "200");
  EXPECT_EQ(status(port, "DELETE /quarantine/cd"), "404");
  EXPECT_EQ(status(port, "DELETE /quarantine/"), "404");
  EXPECT_EQ(status(port, "DELETE /metrics"), "405");
  EXPECT_EQ(status(without, "GET /quarantine"), "404");
  EXPECT_EQ(status(without, "DELETE /quarantine/ab"), "405");
}

}  // namespace
}  // namespace anvilridge
