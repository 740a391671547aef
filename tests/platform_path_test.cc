// The whole path on the users' platform, over a real daemon process.
#include <signal.h>
#include <sys/resource.h>

#include <QTcpSocket>
#include <QTimer>
#include <atomic>
#include <filesystem>
#include <map>
#include <ostream>
#include <thread>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "dispatch/daemon_count.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"
#include "harness/platform_scene.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

// Within which a daemon on this machine must act.
constexpr absl::Duration kBound = absl::Seconds(10);

class platform_path_test : public testing::Test {
 protected:
  void SetUp() override { ASSERT_TRUE(scene_.Start()); }

  test_answer Ask(const std::string& method, const std::string& target,
                  const test_headers& headers = {}) {
    test_request request;
    request.method = method;
    request.port = scene_.CallerPort();
    request.target = target;
    request.headers = {{"Host", "a.example"}, {"Request-Id", "q1"}};
    for (const auto& header : headers) request.headers.push_back(header);
    if (method == "POST") request.body = "fee";
    return Send(request);
  }
  test_answer Draft() {
    return Ask("POST", "/draft/1",
               {{"Token-Count", "100,400"}, {"Deadline-Ms", "4000"}});
  }
  // Adds a model engine, and waits until the daemon knows it and has earned
  // extra sends, of which it has none at its start.
  void AddEngine(const std::string& id, const std::string& address,
                 const std::string& stage) {
    scene_.Put("keyed.servers", id,
               absl::StrCat(R"({"Service":"model","Addr":")", address,
                            R"(","Zone":"z","Slots":4,"State":"ready",)",
                            R"("Stage":")", stage, R"(","Seq":0})"));
    ASSERT_TRUE(Eventually(kBound, [&] {
      return scene_.Daemon().Out().find(absl::StrCat(
                 R"("upstream":")", id, "\"")) != std::string::npos;
    }));
    std::this_thread::sleep_for(absl::ToChronoMilliseconds(kCountSettleTime) +
                                std::chrono::milliseconds(500));
  }

  platform_scene scene_;
};

TEST_F(platform_path_test, ACallGoesOnByteForByte) {
  const test_answer answer =
      Ask("POST", "/post/1?a=b", {{"Deadline-Ms", "900"}, {"Stage", "forged"}});
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body, "done");
  EXPECT_EQ(answer.Header("response-seal"), "s1");
  const auto seen = scene_.AtService();
  ASSERT_EQ(seen.size(), 1u);
  EXPECT_EQ(seen[0].target, "/post/1?a=b");
  EXPECT_EQ(seen[0].body, "fee");
  EXPECT_EQ(platform_scene::Field(seen[0], "expect-instance"), "l1");
  EXPECT_EQ(platform_scene::Field(seen[0], "stage"), "");
  EXPECT_LE(std::stoi(platform_scene::Field(seen[0], "deadline-ms")), 900);
}

TEST_F(platform_path_test, AStreamTakesItsPrefillAlong) {
  const test_answer answer = Draft();
  EXPECT_EQ(answer.status, 200);
  EXPECT_EQ(answer.body,
            "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n");
  const auto prefill = scene_.AtPrefill();
  const auto decode = scene_.AtDecode();
  ASSERT_EQ(prefill.size(), 1u);
  ASSERT_EQ(decode.size(), 1u);
  EXPECT_EQ(platform_scene::Field(prefill[0], "stage"), "prefill");
  EXPECT_NE(platform_scene::Field(decode[0], "kv-source").find("/h1"),
            std::string::npos);
}

// The engine breaks off within its third event; another one goes on behind the
// second, and the caller sees one stream without a hole.
TEST_F(platform_path_test, ABrokenStreamGoesOnElsewhere) {
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    const std::string head = platform_scene::Head(request, 200) +
                             "Transfer-Encoding: chunked\r\n\r\n";
    socket.write(head.data(), static_cast<qint64>(head.size()));
    if (platform_scene::Field(request, "last-event-id").empty()) {
      platform_scene::Events(socket, 1, 2);
      raw_server::Chunk(socket, "id: 3\nda");
      return raw_server::Reset(socket);
    }
    platform_scene::Events(socket, 3, 4);
    socket.write("0\r\n\r\n");
  });
  ASSERT_NO_FATAL_FAILURE(AddEngine("d2", scene_.DecodeAddress(), "decode"));
  const test_answer answer = Draft();
  EXPECT_EQ(answer.body,
            "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n"
            "id: 4\ndata: t4\n\n");
  ASSERT_EQ(scene_.AtDecode().size(), 2u);
  EXPECT_EQ(platform_scene::Field(scene_.AtDecode()[1], "last-event-id"), "2");
}

// Guards against repeats beyond the send budget while prefill engines fail: a
// prefill that replaces a failed one is an extra send.
TEST_F(platform_path_test, AReplacedPrefillIsAnExtraSend) {
  scene_.OnPrefill(
      [first = true](QTcpSocket& socket, const raw_request& request) mutable {
        const bool fails = std::exchange(first, false);
        const std::string body =
            fails ? "failed" : R"({"Handle":"h1","Tokens":100})";
        const std::string text =
            absl::StrCat(platform_scene::Head(request, fails ? 500 : 200),
                         "Content-Length: ", body.size(), "\r\n\r\n", body);
        socket.write(text.data(), static_cast<qint64>(text.size()));
      });
  ASSERT_NO_FATAL_FAILURE(AddEngine("p2", scene_.PrefillAddress(), "prefill"));
  EXPECT_EQ(Draft().status, 200);
  EXPECT_EQ(scene_.AtPrefill().size(), 2u);
  EXPECT_TRUE(Eventually(kBound, [&] {
    return scene_.Daemon().Out().find(R"("extra_send")") != std::string::npos;
  }));
}

// Guards against a stream that is kept until its time limit, with memory that
// grows, while its engine sends an event without end.
TEST_F(platform_path_test, AnEventWithoutEndIsCutOff) {
  std::atomic<bool> closed = false;
  scene_.OnDecode([&closed](QTcpSocket& socket, const raw_request& request) {
    QObject::connect(&socket, &QTcpSocket::disconnected,
                     [&closed] { closed = true; });
    QObject::connect(&socket, &QTcpSocket::bytesWritten, [&socket] {
      constexpr size_t kBlockBytes = 64 << 10;
      if (socket.bytesToWrite() > 0) return;
      raw_server::Chunk(socket, std::string(kBlockBytes, 'a'));
    });
    const std::string head = platform_scene::Head(request, 200) +
                             "Transfer-Encoding: chunked\r\n\r\n";
    socket.write(head.data(), static_cast<qint64>(head.size()));
    raw_server::Chunk(socket, "id: 1\ndata: ");
  });
  EXPECT_EQ(Draft().status, 502);
  EXPECT_TRUE(Eventually(kBound, [&] { return closed.load(); }));
}

TEST_F(platform_path_test, APostingIsNotSentAgainWhenItsAnswerIsLost) {
  scene_.OnService([](QTcpSocket& socket, const raw_request&) {
    raw_server::Reset(socket);
  });
  EXPECT_EQ(Ask("POST", "/post/1").status, 502);
  EXPECT_EQ(scene_.AtService().size(), 1u);
}

TEST_F(platform_path_test, ARefusalOfTheUpstreamIsTrueForTheCaller) {
  scene_.OnService([](QTcpSocket& socket, const raw_request&) {
    socket.write(
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  const test_answer answer = Ask("POST", "/post/1");
  EXPECT_EQ(answer.status, 503);
  EXPECT_FALSE(answer.Header("retry-after").empty());
}

// Guards against callers that are told "not run" for a request that runs: the
// upstream writes an earlier refusal once more on a kept connection, where the
// answer to the next request is due.
TEST_F(platform_path_test, ARepeatedRefusalIsNotTheAnswerToTheNextRequest) {
  static constexpr absl::string_view kRefusal =
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n";
  std::atomic<bool> has_id = true;
  scene_.OnService([&has_id, requests = std::map<const QTcpSocket*, int>()](
                       QTcpSocket& socket, const raw_request& request) mutable {
    std::string text;
    if (++requests[&socket] > 1) {
      absl::StrAppend(&text, kRefusal, has_id ? "Request-Id: q1\r\n" : "",
                      "\r\n");
    }
    absl::StrAppend(&text, platform_scene::Head(request, 200),
                    "Content-Length: 4\r\n\r\ndone");
    socket.write(text.data(), static_cast<qint64>(text.size()));
  });
  const auto post = [this](const std::string& id) {
    test_request request;
    request.method = "POST";
    request.port = scene_.CallerPort();
    request.target = "/post/1";
    request.headers = {{"Host", "a.example"}, {"Request-Id", id}};
    return Send(request).status;
  };
  EXPECT_EQ(post("q1"), 200);
  EXPECT_EQ(post("q2"), 200);
  EXPECT_EQ(post("q1"), 200);
  has_id = false;
  EXPECT_EQ(post("q3"), 502);
  EXPECT_EQ(scene_.AtService().size(), 4u);
  EXPECT_TRUE(Eventually(kBound, [&] {
    return scene_.Daemon().Out().find(R"("answer_not_matched")") !=
           std::string::npos;
  }));
}

TEST_F(platform_path_test, UnknownPathsAndBadFieldsAreTold) {
  EXPECT_EQ(Ask("GET", "/nowhere/").status, 404);
  EXPECT_EQ(Ask("POST", "/draft/1", {{"Token-Count", "many"}}).status, 400);
  EXPECT_EQ(Ask("GET", "/read/1").status, 200);
}

TEST_F(platform_path_test, ANewConfigurationIsInForceAndTheStoreMayGo) {
  scene_.SetStoreUp(false);
  ASSERT_TRUE(Eventually(kBound, [&] {
    return scene_.Daemon().Out().find("store_lost") != std::string::npos;
  }));
  EXPECT_EQ(Ask("GET", "/read/1").status, 200);
  scene_.Put("keyed.op", "config",
             R"({"Version":5,"Routes":[{"Name":"new","Host":"a.example",)"
             R"("PathPrefix":"/new/","Kind":"safe","Service":"ledger"}],)"
             R"("Services":[{"Name":"ledger"}]})");
  scene_.SetStoreUp(true);
  EXPECT_TRUE(
      Eventually(kBound, [&] { return Ask("GET", "/new/1").status == 200; }));
  EXPECT_EQ(Ask("GET", "/read/1").status, 404);
}

// Guards against limits of the operators that have no effect on callers.
TEST_F(platform_path_test, ANewConfigurationLimitsItsCallers) {
  EXPECT_EQ(Ask("POST", "/post/1").status, 200);
  QTcpSocket idle;
  idle.connectToHost("127.0.0.1", scene_.CallerPort());
  ASSERT_TRUE(idle.waitForConnected());
  scene_.Put("keyed.op", "config",
             R"({"Version":5,"Routes":[{"Name":"post","Host":"a.example",)"
             R"("PathPrefix":"/post/","Kind":"unsafe","Service":"ledger"}],)"
             R"("Services":[{"Name":"ledger","MaxConns":9}],)"
             R"("Limits":{"MaxBodyBytes":2,"IdleTimeoutMs":300}})");
  EXPECT_TRUE(
      Eventually(kBound, [&] { return Ask("POST", "/post/1").status == 413; }));
  EXPECT_TRUE(idle.waitForDisconnected());
}

// Returns the descriptor that the process opens next.
rlim_t NextDescriptor(pid_t process) {
  rlim_t next = 0;
  while (std::filesystem::is_symlink(std::filesystem::symlink_status(
      absl::StrCat("/proc/", process, "/fd/", next)))) {
    ++next;
  }
  return next;
}

// Guards against a daemon that accepts no caller any more once its file
// descriptors have run out.
TEST_F(platform_path_test, AcceptsAgainOnceThereAreFileDescriptors) {
  const pid_t daemon = scene_.Daemon().Pid();
  rlimit before{};
  ASSERT_EQ(::prlimit(daemon, RLIMIT_NOFILE, nullptr, &before), 0);
  // A descriptor that the daemon closes meanwhile lets a caller in.
  bool ran_out = false;
  for (int tries = 0; tries < 10 && !ran_out; ++tries) {
    rlimit none = before;
    none.rlim_cur = NextDescriptor(daemon);
    ASSERT_EQ(::prlimit(daemon, RLIMIT_NOFILE, &none, nullptr), 0);
    std::atomic<int> status = 0;
    std::thread caller([&] { status = Ask("GET", "/read/1").status; });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    ran_out = status == 0;
    EXPECT_EQ(::prlimit(daemon, RLIMIT_NOFILE, &before, nullptr), 0);
    caller.join();
    // A caller that was let in may have found no descriptor for its upstream.
    if (ran_out) {
      EXPECT_EQ(status, 200);
    }
  }
  EXPECT_TRUE(ran_out);
}

// The default effect of SIGHUP would end the daemon.
TEST_F(platform_path_test, AHangupReloadsTheSettings) {
  scene_.Daemon().Signal(SIGHUP);
  EXPECT_TRUE(Eventually(kBound, [&] {
    return scene_.Daemon().Out().find("settings_reloaded") != std::string::npos;
  }));
  EXPECT_EQ(Ask("GET", "/read/1").status, 200);
}

// Guards against a prompt that is prefilled twice because the decode engine
// that was to fetch its cache has been replaced by another one.
TEST_F(platform_path_test, ACacheThatWasNotFetchedIsNamedToTheNextEngine) {
  ASSERT_NO_FATAL_FAILURE(AddEngine("d2", scene_.DecodeAddress(), "decode"));
  scene_.OnDecode([refused = false](QTcpSocket& socket,
                                    const raw_request& request) mutable {
    if (!std::exchange(refused, true)) {
      const std::string text =
          absl::StrCat("HTTP/1.1 421 Other\r\nRequest-Id: ",
                       platform_scene::Field(request, "request-id"),
                       "\r\nContent-Length: 0\r\n\r\n");
      socket.write(text.data(), static_cast<qint64>(text.size()));
      return;
    }
    const std::string head = platform_scene::Head(request, 200) +
                             "Transfer-Encoding: chunked\r\n\r\n";
    socket.write(head.data(), static_cast<qint64>(head.size()));
    platform_scene::Events(socket, 1, 3);
    socket.write("0\r\n\r\n");
  });
  EXPECT_EQ(Draft().status, 200);
  const auto decodes = scene_.AtDecode();
  ASSERT_EQ(decodes.size(), 2u);
  EXPECT_NE(platform_scene::Field(decodes[0], "expect-instance"),
            platform_scene::Field(decodes[1], "expect-instance"));
  EXPECT_EQ(platform_scene::Field(decodes[0], "kv-source"),
            platform_scene::Field(decodes[1], "kv-source"));
  EXPECT_NE(platform_scene::Field(decodes[1], "kv-source"), "");
  EXPECT_EQ(scene_.AtPrefill().size(), 1u);
}

TEST_F(platform_path_test, ACacheIsNamedAgainAfterAnEngineThatWasNotReached) {
  constexpr int kStreams = 3;
  // Nothing listens there.
  ASSERT_NO_FATAL_FAILURE(AddEngine("d2", "127.0.0.1:1", "decode"));
  // The streams overlap, so that they are spread over both engines.
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    QTcpSocket* to = &socket;
    const std::string head = platform_scene::Head(request, 200) +
                             "Transfer-Encoding: chunked\r\n\r\n";
    socket.write(head.data(), static_cast<qint64>(head.size()));
    QTimer::singleShot(400, to, [to] {
      platform_scene::Events(*to, 1, 3);
      to->write("0\r\n\r\n");
    });
  });
  std::atomic<int> served = 0;
  std::vector<std::thread> callers;
  callers.reserve(kStreams);
  for (int i = 0; i < kStreams; ++i) {
    callers.emplace_back([&] { served += Draft().status == 200 ? 1 : 0; });
  }
  for (std::thread& caller : callers) caller.join();
  EXPECT_EQ(served, kStreams);
  EXPECT_NE(scene_.Daemon().Out().find(R"("upstream":"d2","why":"127.0.0.1:1)"),
            std::string::npos);
  EXPECT_EQ(scene_.AtPrefill().size(), static_cast<size_t>(kStreams));
  for (const raw_request& decode : scene_.AtDecode()) {
    EXPECT_NE(platform_scene::Field(decode, "kv-source"), "");
  }
}

// Guards against a cache of a refused request that fills the prefill engine's
// memory until it expires.
TEST_F(platform_path_test, ACacheThatNobodyFetchesIsFreed) {
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    const std::string text =
        absl::StrCat("HTTP/1.1 421 Other\r\nRequest-Id: ",
                     platform_scene::Field(request, "request-id"),
                     "\r\nContent-Length: 0\r\n\r\n");
    socket.write(text.data(), static_cast<qint64>(text.size()));
  });
  EXPECT_EQ(Draft().status, 503);
  EXPECT_TRUE(Eventually(kBound, [&] {
    const auto prefills = scene_.AtPrefill();
    return prefills.size() == 2 && prefills[1].method == "DELETE";
  }));
}

// Guards against streams that are cut at the end of a stop: one that could not
// end before is refused, while a short one and a call are served.
TEST_F(platform_path_test, AStreamThatOutlastsAStopIsRefused) {
  // A daemon ends when it is idle 3 s after SIGTERM or later. Its third request
  // has begun by then, and keeps it.
  static constexpr std::chrono::milliseconds kServiceTime(1300);
  std::atomic<int> served = 0;
  scene_.OnService([](QTcpSocket& socket, const raw_request& request) {
    QTcpSocket* to = &socket;
    const std::string text =
        platform_scene::Head(request, 200) + "Content-Length: 4\r\n\r\ndone";
    QTimer::singleShot(kServiceTime, Qt::PreciseTimer, to, [to, text] {
      to->write(text.data(), static_cast<qint64>(text.size()));
    });
  });
  scene_.Daemon().Signal(SIGTERM);
  std::thread caller([&] {
    for (int i = 0; i < 3; ++i) {
      if (Ask("POST", "/post/1").status == 200) ++served;
    }
  });
  // The route allows 5 s, and the stop ends after 7.5 s.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const test_answer refused =
      Ask("POST", "/draft/1",
          {{"Token-Count", "100,40000"}, {"Deadline-Ms", "14000"}});
  EXPECT_EQ(refused.status, 503);
  EXPECT_NE(refused.Header("retry-after"), "");
  EXPECT_EQ(scene_.AtPrefill().size(), 0u);
  EXPECT_EQ(scene_.AtDecode().size(), 0u);
  EXPECT_EQ(Draft().status, 200);
  caller.join();
  EXPECT_EQ(served, 3);
}

// What the caller was promised before the stop is kept: its stream ends whole.
TEST_F(platform_path_test, APlannedStopCutsNothing) {
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    const std::string head = platform_scene::Head(request, 200) +
                             "Transfer-Encoding: chunked\r\n\r\n";
    socket.write(head.data(), static_cast<qint64>(head.size()));
    platform_scene::Events(socket, 1, 1);
    QTcpSocket* to = &socket;
    QTimer::singleShot(1000, to, [to] {
      platform_scene::Events(*to, 2, 2);
      to->write("0\r\n\r\n");
    });
  });
  test_answer answer;
  std::thread caller([&] { answer = Draft(); });
  EXPECT_TRUE(
      Eventually(kBound, [&] { return scene_.AtDecode().size() == 1; }));
  scene_.Daemon().Signal(SIGTERM);
  EXPECT_TRUE(Eventually(kBound, [&] {
    return Get(scene_.ReadyPort(), "/readyz").status == 503;
  }));
  caller.join();
  EXPECT_EQ(answer.body, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n");
  EXPECT_EQ(scene_.Daemon().WaitForExit(absl::Seconds(8)), 0);
}

// A stream that outlasts the grace is cut, and the daemon ends in order.
TEST_F(platform_path_test, AStopEndsWithinItsGrace) {
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    const std::string head = platform_scene::Head(request, 200) +
                             "Transfer-Encoding: chunked\r\n\r\n";
    socket.write(head.data(), static_cast<qint64>(head.size()));
    auto* timer = new QTimer(&socket);
    QTcpSocket* to = &socket;
    QObject::connect(timer, &QTimer::timeout, to, [to, next = 1]() mutable {
      platform_scene::Events(*to, next, next);
      ++next;
    });
    timer->start(50);
  });
  test_answer answer;
  std::thread caller([&] { answer = Draft(); });
  EXPECT_TRUE(
      Eventually(kBound, [&] { return scene_.AtDecode().size() == 1; }));
  const absl::Time began = MonotonicNow();
  scene_.Daemon().Signal(SIGTERM);
  EXPECT_EQ(scene_.Daemon().WaitForExit(absl::Seconds(10)), 0);
  EXPECT_LE(MonotonicNow() - began, absl::Seconds(8));
  caller.join();
  // What it wrote last may still be on its way here.
  EXPECT_TRUE(Eventually(kBound, [&] {
    return scene_.Daemon().Out().find("\"stopped\"") != std::string::npos;
  }));
}

// Returns an entry of a model engine with the fields `fields`.
std::string ModelEntry(absl::string_view fields) {
  return absl::StrCat(R"({"Service":"model","Zone":"z","State":"ready",)",
                      R"("Stage":"decode",)", fields, "}");
}

// Guards against daemons that end by themselves, or stop following the engines,
// because of an entry that another program wrote.
TEST(odd_entries_test, LeaveTheOtherUpstreamsInUse) {
  platform_scene scene;
  const std::string deep(100000, '[');
  const std::pair<std::string, std::string> entries[] = {
      {"deep", deep},
      {"deep-field", ModelEntry(absl::StrCat(R"("Slots":)", deep))},
      {"born", ModelEntry(R"("Addr":"127.0.0.1:9","Slots":4,"born":1e300)")},
      {"slots", ModelEntry(R"("Addr":"127.0.0.1:9","Slots":1e12)")},
      {"port-0", ModelEntry(R"("Addr":"127.0.0.1:0","Slots":4)")},
      {"port-70000", ModelEntry(R"("Addr":"127.0.0.1:70000","Slots":4)")},
      {"bytes", "\xff\xfe{"},
      {"\xff\xfe", "{}"},
      {"line\r\nend", ModelEntry(R"("Addr":"127.0.0.1:9","Slots":4)")},
      {"empty", ""},
      {"", "{}"},
      {std::string(255, 'k'), "7"},
      {"huge", std::string(900000, 'a')}};
  const auto put_all = [&] {
    for (const auto& [key, value] : entries) {
      scene.Put("keyed.servers", key, value);
    }
  };
  const auto ask = [&scene](const std::string& target, const std::string& id) {
    test_request request;
    request.method = "POST";
    request.port = scene.CallerPort();
    request.target = target;
    request.headers = {{"Host", "a.example"},
                       {"Request-Id", id},
                       {"Token-Count", "100,400"},
                       {"Deadline-Ms", "4000"}};
    return Send(request).status;
  };
  put_all();
  ASSERT_TRUE(scene.Start());
  EXPECT_EQ(ask("/post/1", "q1"), 200);
  EXPECT_EQ(ask("/draft/1", "q2"), 200);
  put_all();
  scene.Put("keyed.servers", "l1", "{}");
  EXPECT_TRUE(Eventually(kBound, [&] { return ask("/post/1", "q3") == 503; }));
  EXPECT_EQ(ask("/draft/1", "q4"), 200);
  scene.Put(
      "keyed.servers", "l1",
      absl::StrCat(R"({"Service":"ledger","Addr":")", scene.ServiceAddress(),
                   R"(","Zone":"z","Slots":4,"State":"ready"})"));
  EXPECT_TRUE(Eventually(kBound, [&] { return ask("/post/1", "q5") == 200; }));
  EXPECT_EQ(scene.Daemon().Out().find(R"("store_lost")"), std::string::npos);
}

// What the next engine answers after a stream broke off.
struct next_answer {
  const char* name;
  // Whether `text` begins with the status line, and else behind the head of an
  // engine's own answer with status 200.
  bool has_head = false;
  const char* text = "";
};

void PrintTo(const next_answer& answer, std::ostream* out) {
  *out << answer.name;
}

class broken_stream_test : public platform_path_test,
                           public testing::WithParamInterface<next_answer> {};

// Guards against an error that callers find in the middle of their stream, or a
// stream that ends as complete, when the next engine answers with an error.
TEST_P(broken_stream_test, AnErrorOfTheNextEngineIsNoPartOfIt) {
  scene_.OnDecode([](QTcpSocket& socket, const raw_request& request) {
    std::string text = platform_scene::Head(request, 200);
    if (platform_scene::Field(request, "last-event-id").empty()) {
      text +=
          "Content-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
      socket.write(text.data(), static_cast<qint64>(text.size()));
      platform_scene::Events(socket, 1, 2);
      return raw_server::Reset(socket);
    }
    if (GetParam().has_head) text.clear();
    text += GetParam().text;
    socket.write(text.data(), static_cast<qint64>(text.size()));
    socket.disconnectFromHost();
  });
  ASSERT_NO_FATAL_FAILURE(AddEngine("d2", scene_.DecodeAddress(), "decode"));
  const test_answer answer = Draft();
  EXPECT_EQ(answer.body, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n");
  EXPECT_NE(answer.error, "");
  EXPECT_EQ(scene_.AtDecode().size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    answers, broken_stream_test,
    testing::Values(next_answer{"refusal", true,
                                "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n"
                                "Content-Length: 0\r\n\r\n"},
                    next_answer{
                        "sealed_failure_without_length", true,
                        "HTTP/1.1 500 Error\r\nResponse-Seal: s1\r\n\r\n"
                        "id: 3\ndata: no\n\n"},
                    next_answer{"other_type", false,
                                "Content-Type: application/json\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "4\r\nno\n\n\r\n0\r\n\r\n"},
                    next_answer{"nothing", false,
                                "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
                    next_answer{"head_as_body", false,
                                "Content-Type: text/event-stream\r\n\r\n"
                                "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n"},
                    next_answer{"error_as_event", false,
                                "Content-Type: text/event-stream\r\n\r\n"
                                "event: error\ndata: no\n\n"}),
    [](const auto& answer) { return std::string(answer.param.name); });

// Guards against a help text that is lost with the buffer that it is in.
TEST(fleet_program_test, HelpIsPrinted) {
  child_process program("anvilridge_fleet", {"--help"});
  EXPECT_EQ(program.WaitForExit(absl::Seconds(10)), 0);
  EXPECT_NE(program.Out().find("--config"), std::string::npos);
}

}  // namespace
}  // namespace anvilridge
