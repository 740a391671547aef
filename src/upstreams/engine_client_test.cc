#include "upstreams/engine_client.h"

#include <optional>

#include "base/error_kind.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"
#include "upstreams/json_reader.h"
#include "upstreams/sse_parser.h"
#include "upstreams/testing/endless_server.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(5);

class engine_client_test : public event_loop_test {
 protected:
  /// Runs one call and returns what it was answered.
  template <typename T>
  absl::StatusOr<T> Await(
      const std::function<void(engine_callback<T>)>& start) {
    std::optional<absl::StatusOr<T>> result;
    start([&](absl::StatusOr<T> answer) { result = std::move(answer); });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return std::move(result).value_or(absl::UnknownError("no answer"));
  }

  absl::StatusOr<prefill_result> Prefill(const raw_server& engine) {
    prefill_call call;
    call.request_id = "r1";
    call.owner = "entry-1:3";
    call.prompt = "a \"brand\" sheet";
    return Await<prefill_result>([&](auto done) {
      StartPrefill(client_, engine.Address(), call, kTimeout, done);
    });
  }
  absl::StatusOr<std::string> Import(const raw_server& engine) {
    import_call call;
    call.request_id = "r1";
    return Await<std::string>([&](auto done) {
      StartImport(client_, engine.Address(), call, kTimeout, done);
    });
  }
  absl::Status Decode(const raw_server& engine,
                      absl::Duration stall = kTimeout) {
    return Decode(engine.Address(), stall);
  }
  absl::Status Decode(const std::string& address,
                      absl::Duration stall = kTimeout) {
    std::optional<absl::Status> result;
    StartDecode(
        client_, address, "r1", "entry-1:3", 0, stall,
        [&](absl::string_view bytes) { absl::StrAppend(&stream_, bytes); },
        [&](absl::Status status) { result = std::move(status); });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return result.value_or(absl::UnknownError("no answer"));
  }

  http_client client_;
  std::string stream_;
};

TEST_F(engine_client_test, PrefillCarriesItsFieldsBothWays) {
  raw_server engine(raw_server::Always(
      200,
      R"({"request_id":"r1","kv_handle":"h","prompt_tokens":40,
                 "cached_tokens":16,"pieces":3,"expires_in_ms":900})"));
  const auto result = Prefill(engine);
  ASSERT_TRUE(result.ok()) << result.status();
  EXPECT_EQ(result->kv_handle, "h");
  EXPECT_EQ(result->prompt_tokens, 40);
  EXPECT_EQ(result->cached_tokens, 16);
  EXPECT_EQ(result->pieces, 3);
  EXPECT_EQ(result->expires_in, absl::Milliseconds(900));
  auto sent = ParseJson(engine.Requests().at(0).body);
  ASSERT_TRUE(sent.ok());
  EXPECT_EQ(ReadText(*sent, "owner"), "entry-1:3");
  EXPECT_EQ(ReadText(*sent, "prompt"), "a \"brand\" sheet");
}

TEST_F(engine_client_test, ListsAndLoadAndEventsAreRead) {
  raw_server engine([](QTcpSocket& socket, const raw_request& request) {
    if (request.target == "/v1/requests") {
      return raw_server::Answer(socket, 200, R"({"requests":[{"request_id":"r1",
        "owner":"e:1","phase":"transfer","pieces":4,"prompt_tokens":60,
        "generated":2,"max_tokens":9,"age_ms":1500,"attached":true}],
        "finished":[]})");
    }
    if (request.target == "/v1/load") {
      return raw_server::Answer(socket, 200, R"({"as_of_ms":1,"slots":20,
        "slots_used":19,"pieces":2000,"pieces_used":1990,"queued":2,
        "queued_tokens":77})");
    }
    raw_server::Answer(socket, 200, R"({"events":[{"seq":8,"op":"stored",
      "prefix":"ab"},{"seq":11,"op":"evicted","prefix":"cd"}],"last_seq":11})");
  });
  const auto list = Await<std::vector<engine_request>>(
      [&](auto done) { ListEngineRequests(client_, engine.Address(), done); });
  ASSERT_TRUE(list.ok()) << list.status();
  ASSERT_EQ(list->size(), 1U);
  EXPECT_EQ(list->at(0).phase, engine_phase::transfer);
  EXPECT_EQ(list->at(0).age, absl::Milliseconds(1500));
  EXPECT_TRUE(list->at(0).attached);
  const auto load = Await<engine_load>(
      [&](auto done) { GetEngineLoad(client_, engine.Address(), done); });
  ASSERT_TRUE(load.ok()) << load.status();
  EXPECT_EQ(load->pieces_used, 1990);
  EXPECT_EQ(load->queued_tokens, 77);
  const auto events = Await<cache_events>(
      [&](auto done) { GetCacheEvents(client_, engine.Address(), 7, done); });
  ASSERT_TRUE(events.ok()) << events.status();
  ASSERT_EQ(events->events.size(), 2U);
  EXPECT_TRUE(events->events[0].stored);
  EXPECT_FALSE(events->events[1].stored);
  EXPECT_EQ(engine.Requests().back().target, "/v1/cache/events?after=7");
}

TEST_F(engine_client_test, AnswersThatAreNotTheOneAskedForAreErrors) {
  struct {
    int status;
    std::string body;
    error_kind kind;
    run_state ran;
    std::string message;
  } const cases[] = {
      {503, R"({"error":"queue_full"})", error_kind::upstream_refused,
       run_state::not_run, "queue_full"},
      {409, R"({"error":"cancelled"})", error_kind::upstream_refused,
       run_state::not_run, "cancelled"},
      {404, "", error_kind::upstream_refused, run_state::not_run, "http 404"},
      {503, "<html>", error_kind::upstream_failed, run_state::unknown,
       "http 503"},
      {500, R"({"error":"oops"})", error_kind::upstream_failed,
       run_state::unknown, "oops"},
      {302, "", error_kind::upstream_failed, run_state::unknown, "http 302"},
      {200, "", error_kind::upstream_failed, run_state::unknown, ""},
      {200, "[]", error_kind::upstream_failed, run_state::unknown, ""},
      {200, R"({"request_id":"r1"})", error_kind::upstream_failed,
       run_state::unknown, ""},
      {200, R"({"request_id":"r2","kv_handle":"h","prompt_tokens":1,
        "cached_tokens":0,"pieces":1,"expires_in_ms":1})",
       error_kind::upstream_failed, run_state::unknown,
       "the answer belongs to another request"},
      {200, R"({"request_id":"r1","kv_handle":"h","prompt_tokens":-1,
        "cached_tokens":0,"pieces":1,"expires_in_ms":1})",
       error_kind::upstream_failed, run_state::unknown, ""},
      {200, R"({"request_id":"r1","kv_handle":"h","prompt_tokens":1e300,
        "cached_tokens":0,"pieces":1,"expires_in_ms":1})",
       error_kind::upstream_failed, run_state::unknown, ""},
      {200, std::string(100000, '['), error_kind::upstream_failed,
       run_state::unknown, ""},
  };
  for (const auto& test : cases) {
    raw_server engine(raw_server::Always(test.status, test.body));
    const auto result = Prefill(engine);
    const std::string shown = test.body.substr(0, 80);
    ASSERT_FALSE(result.ok()) << shown;
    EXPECT_EQ(KindOf(result.status()), test.kind) << shown;
    EXPECT_EQ(RunStateOf(result.status()), test.ran) << shown;
    if (!test.message.empty()) {
      EXPECT_EQ(result.status().message(), test.message.c_str());
    }
  }
}

TEST_F(engine_client_test, EngineThatClosesGetsOneCopy) {
  raw_server engine([](QTcpSocket& socket, const raw_request& request) {
    if (request.method == "GET") return raw_server::Answer(socket, 200, "{}");
    socket.abort();
  });
  for (int round = 1; round <= 2; ++round) {
    (void)Await<engine_load>(
        [&](auto done) { GetEngineLoad(client_, engine.Address(), done); });
    const absl::Status results[] = {Prefill(engine).status(),
                                    Import(engine).status(), Decode(engine)};
    for (const absl::Status& status : results) {
      EXPECT_EQ(KindOf(status), error_kind::upstream_failed);
      EXPECT_EQ(RunStateOf(status), run_state::unknown);
    }
    RunUntil([] { return false; }, absl::Milliseconds(50));
    EXPECT_EQ(engine.Count("POST"), 3 * round);
  }
}

TEST_F(engine_client_test, DecodeStreamsItsEvents) {
  raw_server engine([](QTcpSocket& socket, const raw_request&) {
    raw_server::BeginChunked(socket);
    raw_server::Chunk(socket, "id: 0\nda");
    raw_server::Chunk(socket, "ta: {\"token\":\"x\",\"index\":0}\n\n");
    raw_server::Chunk(socket, "");
  });
  EXPECT_TRUE(Decode(engine).ok());
  sse_parser parser;
  std::vector<sse_event> events;
  ASSERT_TRUE(FeedSse(parser, stream_, [&](const sse_event& event) {
                events.push_back(event);
              }).ok());
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].id, "0");
}

TEST_F(engine_client_test, DecodeRefusalIsNoStream) {
  raw_server engine(raw_server::Always(404, R"({"error":"unknown_request"})"));
  const absl::Status status = Decode(engine);
  EXPECT_EQ(KindOf(status), error_kind::upstream_refused);
  EXPECT_EQ(status.message(), "unknown_request");
  EXPECT_EQ(stream_, "");
}

// Guards against a stream that waits until its caller's time limit, with its
// connection open, when the body of an engine's refusal never ends.
TEST_F(engine_client_test, ADecodeRefusalWithoutEndIsCutOff) {
  for (const char* status : {"404 Not Found", "503 Busy"}) {
    SCOPED_TRACE(status);
    const endless_server engine(
        {"refusal", absl::StrCat("HTTP/1.1 ", status, "\r\n\r\n"), "x"});
    const absl::Status ended = Decode(engine.Address());
    EXPECT_EQ(KindOf(ended), error_kind::upstream_failed);
    EXPECT_EQ(RunStateOf(ended), run_state::unknown);
    EXPECT_EQ(stream_, "");
    EXPECT_TRUE(RunUntil([&] { return engine.Closed(); }));
  }
}

TEST_F(engine_client_test, SilentDecodeStalls) {
  raw_server engine([](QTcpSocket& socket, const raw_request&) {
    raw_server::BeginChunked(socket);
  });
  const absl::Status status = Decode(engine, absl::Milliseconds(50));
  EXPECT_EQ(KindOf(status), error_kind::upstream_stalled);
}

TEST_F(engine_client_test, OrdersAndCancelsReturnTheEnginesWord) {
  raw_server engine([](QTcpSocket& socket, const raw_request& request) {
    if (request.target == "/v1/cancel") {
      return raw_server::Answer(socket, 200, R"({"cancelled":false})");
    }
    if (request.target == "/v1/adopt") {
      return raw_server::Answer(socket, 200, R"({"adopted":true})");
    }
    raw_server::Answer(socket, 409, R"({"error":"stale_fence","fence":9})");
  });
  const std::string address = engine.Address();
  const auto cancelled = Await<bool>([&](auto done) {
    CancelEngineRequest(client_, address, "r1", "e:1", done);
  });
  ASSERT_TRUE(cancelled.ok());
  EXPECT_FALSE(*cancelled);
  const auto adopted = Await<bool>([&](auto done) {
    AdoptEngineRequest(client_, address, "r1", "e:1", "f:1", done);
  });
  ASSERT_TRUE(adopted.ok());
  EXPECT_TRUE(*adopted);
  const auto ordered = Await<bool>([&](auto done) {
    engine_order order;
    order.order = "role";
    order.fence = 8;
    SendEngineOrder(client_, address, order, done);
  });
  EXPECT_EQ(KindOf(ordered.status()), error_kind::upstream_refused);
  EXPECT_EQ(ordered.status().message(), "stale_fence");
}

}  // namespace
}  // namespace anvilridge
