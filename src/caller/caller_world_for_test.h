#ifndef ANVILRIDGE_CALLER_CALLER_WORLD_FOR_TEST_H_
#define ANVILRIDGE_CALLER_CALLER_WORLD_FOR_TEST_H_

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTcpSocket>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/event_loop.h"
#include "base/event_thread.h"
#include "caller/caller_port.h"
#include "gtest/gtest.h"

namespace anvilridge {

inline constexpr int kPatienceMs = 8000;

inline QCoreApplication& Application() {
  static int count = 1;
  static char name[] = "test";
  static char* arguments[] = {name, nullptr};
  static QCoreApplication application(count, arguments);
  return application;
}

/// Runs the event loop of this thread until `done` or the patience is over.
inline bool WaitFor(const std::function<bool()>& done) {
  QElapsedTimer clock;
  clock.start();
  while (clock.elapsed() < kPatienceMs) {
    if (done()) return true;
    QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
  }
  return false;
}

/// Two traffic threads.
class traffic_threads {
 public:
  std::vector<QObject*> Contexts() {
    return {first_.Context(), second_.Context()};
  }

 private:
  // First: an event loop needs it.
  QCoreApplication& application_ = Application();
  event_thread first_{"traffic-1"};
  event_thread second_{"traffic-2"};
};

/// A raw caller: what it reads is kept as text.
class raw_caller {
 public:
  explicit raw_caller(uint16_t port) : raw_caller(port, new QTcpSocket) {}
  raw_caller(uint16_t port, QTcpSocket* socket) : socket_(socket) {
    socket_->connectToHost("127.0.0.1", port);
    EXPECT_TRUE(socket_->waitForConnected(kPatienceMs));
  }
  void Send(absl::string_view bytes) {
    socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
  }
  const std::string& Text() {
    text_ += socket_->readAll().toStdString();
    return text_;
  }
  bool WaitForText(absl::string_view part) {
    return WaitFor([&] { return absl::StrContains(Text(), part); });
  }
  bool WaitForClose() {
    return WaitFor([&] {
      Text();
      return socket_->state() == QAbstractSocket::UnconnectedState;
    });
  }
  /// The members of the problem document received.
  QJsonObject Problem() {
    const size_t body = Text().find("\r\n\r\n");
    if (body == std::string::npos) return {};
    return QJsonDocument::fromJson(
               QByteArray::fromStdString(text_.substr(body + 4)))
        .object();
  }
  QTcpSocket& Socket() { return *socket_; }

 private:
  std::unique_ptr<QTcpSocket> socket_;
  std::string text_;
};

inline std::string Get(absl::string_view target) {
  return absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: a\r\n\r\n");
}

inline std::string NameField(const inbound_request& request) {
  for (const auto& [name, value] : request.headers) {
    if (name == "x-name") return value;
  }
  return "";
}

/// What the test's handler saw, over both threads.
struct observed {
  std::atomic<int> requests{0};
  std::atomic<int> closed{0};
  std::atomic<bool> released{false};
};

/// The connections that a port ended with a request on them. Any thread.
class recorded_cuts {
 public:
  void Add(const connection_cut& cut) {
    const std::lock_guard lock(mutex_);
    cuts_.push_back(cut);
  }
  std::vector<connection_cut> Get() const {
    const std::lock_guard lock(mutex_);
    return cuts_;
  }
  /// Phase, reason and request id of each, in order.
  std::string Text() const {
    std::string text;
    for (const connection_cut& cut : Get()) {
      absl::StrAppend(&text, CutPhaseName(cut.phase), " ",
                      CutReasonName(cut.reason), " ", cut.request_id, "\n");
    }
    return text;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<connection_cut> cuts_;
};

/// Writes to `exchange` until it is closed.
inline void Pour(const std::shared_ptr<inbound_exchange>& exchange,
                 QObject* thread) {
  constexpr size_t kPieceBytes = 16 << 10;
  if (exchange->Closed()) return;
  exchange->Write(std::string(kPieceBytes, 'x'));
  RunAfter(thread, absl::ZeroDuration(),
           [exchange, thread] { Pour(exchange, thread); });
}

inline void Await(const std::shared_ptr<inbound_exchange>& exchange,
                  QObject* thread, observed* seen) {
  if (seen->released) {
    exchange->Respond(200, {}, "released");
    return;
  }
  if (exchange->Closed()) return;
  RunAfter(thread, absl::Milliseconds(1),
           [=] { Await(exchange, thread, seen); });
}

inline void EndOnRelease(const std::shared_ptr<inbound_exchange>& exchange,
                         QObject* thread, observed* seen) {
  if (seen->released) return exchange->End();
  if (exchange->Closed()) return;
  RunAfter(thread, absl::Milliseconds(1),
           [=] { EndOnRelease(exchange, thread, seen); });
}

inline void HandleByPath(const inbound_request& request,
                         const std::shared_ptr<inbound_exchange>& exchange,
                         QObject* thread, observed* seen) {
  ++seen->requests;
  exchange->OnClosed([seen] { ++seen->closed; });
  if (request.path == "/stream") {
    exchange->Begin(200, {{"content-type", "text/event-stream"}});
    exchange->Write("one");
    exchange->Write("two");
    exchange->End();
  } else if (request.path == "/pour") {
    exchange->Begin(200, {});
    Pour(exchange, thread);
  } else if (request.path == "/hold") {
    Await(exchange, thread, seen);
  } else if (request.path == "/open") {
    exchange->Begin(200, {});
    exchange->Write("open");
    Await(exchange, thread, seen);
  } else if (request.path == "/finish") {
    exchange->Begin(200, {});
    exchange->Write("open");
    EndOnRelease(exchange, thread, seen);
  } else if (request.path == "/break") {
    exchange->Begin(200, {});
    exchange->Write("one");
    exchange->Abort();
  } else if (request.path == "/inject") {
    exchange->Respond(200, {{"x-a\r\nx-evil", "b\r\nx-worse: c"}}, "");
  } else if (request.path == "/drop") {
    return;
  } else if (request.path == "/large") {
    exchange->Respond(200, {}, std::string(8 << 20, 'y'));
  } else {
    exchange->Respond(
        200, {{"content-type", "text/plain"}},
        absl::StrCat(request.method, " ", request.path, "?", request.query, " ",
                     NameField(request), " ", request.body));
  }
}

class caller_port_thread_test : public testing::Test {
 protected:
  void Start() {
    port_ =
        std::make_unique<caller_port>(settings_, limits_, threads_.Contexts());
    port_->OnCut([this](const connection_cut& cut) { cuts_.Add(cut); }, "x-id");
    if (check_) {
      port_->SetHeadCheck({[this] { return checks_.load(); }, check_});
    }
    const absl::Status status = port_->Listen([this](size_t i) {
      QObject* thread = threads_.Contexts()[i];
      return [this, thread](const inbound_request& request,
                            const std::shared_ptr<inbound_exchange>& exchange) {
        HandleByPath(request, exchange, thread, &seen_);
      };
    });
    ASSERT_TRUE(status.ok()) << status;
  }

  /// Sends `bytes` and expects one problem document and the close.
  void ExpectRefusal(absl::string_view bytes, int http_status,
                     absl::string_view type, absl::string_view ran) {
    SCOPED_TRACE(absl::StrCat(bytes.substr(0, 60)));
    raw_caller caller(port_->Port());
    caller.Send(bytes);
    EXPECT_TRUE(caller.WaitForClose());
    EXPECT_TRUE(absl::StartsWith(caller.Text(),
                                 absl::StrCat("HTTP/1.1 ", http_status, " ")))
        << caller.Text();
    EXPECT_TRUE(absl::StrContains(caller.Text(), "application/problem+json"));
    const QJsonObject problem = caller.Problem();
    EXPECT_EQ(problem["type"].toString().toStdString(), type);
    EXPECT_EQ(problem["status"].toInt(), http_status);
    EXPECT_EQ(problem["ran"].toString().toStdString(), ran);
    EXPECT_FALSE(problem["title"].toString().isEmpty());
    EXPECT_FALSE(problem["request_id"].toString().isEmpty());
  }

  observed seen_;
  recorded_cuts cuts_;
  traffic_threads threads_;
  port_settings settings_;
  limit_settings limits_;
  /// Check of requests before their bodies, applied while `checks_` is set.
  std::function<absl::Status(const inbound_request&)> check_;
  std::atomic<bool> checks_{true};
  std::unique_ptr<caller_port> port_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_CALLER_WORLD_FOR_TEST_H_
