#include "infrastructure/log_client.h"

#include <QJsonArray>
#include <QJsonObject>
#include <optional>

#include "base/error_kind.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

class log_client_test : public event_loop_test {
 protected:
  absl::StatusOr<int64_t> Append(const std::string& address) {
    log_client log(client_, address);
    std::optional<absl::StatusOr<int64_t>> result;
    log.Append("config", {{"id-1", QJsonObject{{"a", 1}}}, {"id-2", "text"}},
               [&](auto answer) { result = answer; });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return result.value_or(absl::UnknownError("no answer"));
  }
  absl::StatusOr<log_page> Read(const raw_server& server, int64_t from,
                                int limit = 100) {
    log_client log(client_, server.Address());
    std::optional<absl::StatusOr<log_page>> result;
    log.Read("config", from, limit, absl::Milliseconds(250),
             [&](auto answer) { result = std::move(answer); });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return std::move(result).value_or(absl::UnknownError("no answer"));
  }
  http_client client_;
};

TEST_F(log_client_test, AppendSendsRecordsAndReturnsTheFirstOffset) {
  raw_server server(raw_server::Always(200, R"({"offsets":[7,8],"next":9})"));
  const auto offset = Append(server.Address());
  ASSERT_TRUE(offset.ok()) << offset.status();
  EXPECT_EQ(*offset, 7);
  const raw_request& request = server.Requests().at(0);
  EXPECT_EQ(request.target, "/log/config");
  EXPECT_EQ(request.body, R"({"records":[{"data":{"a":1},"id":"id-1"},)"
                          R"({"data":"text","id":"id-2"}]})");
}

// Whoever holds `not_run` may append again; whoever holds `unknown` must read
// back first.
TEST_F(log_client_test, AppendErrorsSayWhetherItTookEffect) {
  struct {
    int status;
    std::string body;
    run_state ran;
  } const cases[] = {
      {429, "", run_state::not_run},
      {503, "", run_state::not_run},
      {400, "", run_state::not_run},
      {408, "", run_state::unknown},
      {500, "", run_state::unknown},
      {502, "", run_state::unknown},
      {200, "", run_state::unknown},
      {200, R"({"offsets":[7],"next":8})", run_state::unknown},
      {200, R"({"offsets":[7,9],"next":10})", run_state::unknown},
      {200, R"({"offsets":[0,1],"next":2})", run_state::unknown},
      {200, R"({"offsets":"7","next":2})", run_state::unknown},
  };
  for (const auto& test : cases) {
    raw_server server(raw_server::Always(test.status, test.body));
    const auto offset = Append(server.Address());
    EXPECT_EQ(KindOf(offset.status()), error_kind::log_unavailable)
        << test.status << test.body;
    EXPECT_EQ(RunStateOf(offset.status()), test.ran)
        << test.status << test.body;
  }
}

TEST_F(log_client_test, LostAnswerOfAnAppendIsUnknownAndSentOnce) {
  raw_server server(
      [](QTcpSocket& socket, const raw_request&) { socket.abort(); });
  const auto lost = Append(server.Address());
  EXPECT_EQ(KindOf(lost.status()), error_kind::log_unavailable);
  EXPECT_EQ(RunStateOf(lost.status()), run_state::unknown);
  EXPECT_EQ(server.Count("POST"), 1);
  std::string gone_address;
  {
    raw_server gone(raw_server::Always(200, ""));
    gone_address = gone.Address();
  }
  const auto refused = Append(gone_address);
  EXPECT_EQ(RunStateOf(refused.status()), run_state::not_run);
}

std::string Record(int64_t offset) {
  return absl::StrCat(R"({"offset":)", offset,
                      R"(,"time_ms":1500,"id":"i","data":{"k":[1,null]}})");
}

std::string Page(const std::string& records, int64_t next, int64_t oldest) {
  return absl::StrCat(R"({"records":[)", records, R"(],"next":)", next,
                      R"(,"oldest":)", oldest, R"(,"complete_since_ms":1000})");
}

TEST_F(log_client_test, PagesAreReadWhole) {
  raw_server server(
      raw_server::Always(200, Page(Record(4) + "," + Record(5), 6, 4)));
  const auto page = Read(server, 2);
  ASSERT_TRUE(page.ok()) << page.status();
  ASSERT_EQ(page->records.size(), 2U);
  EXPECT_EQ(page->records[1].offset, 5);
  EXPECT_EQ(page->records[1].time, absl::FromUnixMillis(1500));
  EXPECT_EQ(page->records[1].data.toObject()["k"].toArray().size(), 2);
  EXPECT_EQ(page->next, 6);
  EXPECT_EQ(page->oldest, 4);
  EXPECT_EQ(page->complete_since, absl::FromUnixMillis(1000));
  EXPECT_EQ(server.Requests().at(0).target,
            "/log/config?from=2&limit=100&wait_ms=250");
}

TEST_F(log_client_test, EmptyPagesAreRead) {
  raw_server server(raw_server::Always(200, Page("", 5, 2)));
  EXPECT_TRUE(Read(server, 5).ok());
  raw_server expired(raw_server::Always(200, Page("", 9, 9)));
  EXPECT_TRUE(Read(expired, 5).ok());
}

// A log that was half read must not go into force as if it were whole.
TEST_F(log_client_test, DamagedPagesAreUnavailable) {
  const std::string whole = Page(Record(2) + "," + Record(3), 4, 1);
  const std::pair<int, std::string> cases[] = {
      {503, whole},
      {200, whole.substr(0, whole.size() / 2)},
      {200, Page(Record(2) + "," + Record(4), 5, 1)},
      {200, Page(Record(3) + "," + Record(2), 4, 1)},
      {200, Page(Record(3), 4, 1)},
      {200, Page(Record(2), 9, 1)},
      {200, Page("", 9, 1)},
      {200, Page(Record(2) + ",7", 4, 1)},
      {200, Page(R"({"offset":2,"time_ms":1,"id":"i"})", 3, 1)},
      {200, Page(R"({"offset":"2","time_ms":1,"id":"i","data":1})", 3, 1)},
      {200, R"({"records":[],"next":2})"},
      {200, "[]"},
  };
  for (const auto& [status, body] : cases) {
    raw_server server(raw_server::Always(status, body));
    const auto page = Read(server, 2);
    EXPECT_EQ(KindOf(page.status()), error_kind::log_unavailable) << body;
  }
  raw_server cut([&](QTcpSocket& socket, const raw_request&) {
    const std::string text =
        absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", whole.size() + 1,
                     "\r\n\r\n", whole);
    socket.write(text.data(), static_cast<qint64>(text.size()));
    socket.disconnectFromHost();
  });
  EXPECT_EQ(KindOf(Read(cut, 2).status()), error_kind::log_unavailable);
  raw_server many(raw_server::Always(200, whole));
  EXPECT_FALSE(Read(many, 2, 1).ok()) << "longer than the limit asked for";
}

}  // namespace
}  // namespace anvilridge
