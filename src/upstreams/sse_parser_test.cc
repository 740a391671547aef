#include "upstreams/sse_parser.h"

#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "absl/strings/str_join.h"
#include "base/error_kind.h"
#include "gtest/gtest.h"

namespace anvilridge {

bool operator==(const sse_event& a, const sse_event& b) {
  return a.id == b.id && a.event == b.event && a.data == b.data;
}

namespace {

std::vector<sse_event> Parse(const std::vector<std::string>& parts) {
  sse_parser parser;
  std::vector<sse_event> events;
  for (const std::string& part : parts) {
    EXPECT_TRUE(FeedSse(parser, part, [&](const sse_event& event) {
                  events.push_back(event);
                }).ok());
  }
  return events;
}

TEST(sse_parser_test, FieldsOfEventsAreRead) {
  struct {
    std::string text;
    std::vector<sse_event> events;
  } const cases[] = {
      {"id: 4\ndata: x\n\n", {{"4", "", "x"}}},
      {"id:4\r\nevent: e\r\ndata:x\r\n\r\n", {{"4", "e", "x"}}},
      {"data: a\ndata: b\n\n", {{"", "", "a\nb"}}},
      {"data:\n\n", {{"", "", ""}}},
      {": comment\n\nid: 7\n\ndata: y\n\n", {{"", "", "y"}}},
      {"data:  two\nretry: 5\n\n", {{"", "", " two"}}},
      {"data: never ended\n", {}},
  };
  for (const auto& test : cases) {
    EXPECT_EQ(Parse({test.text}), test.events) << test.text;
  }
}

TEST(sse_parser_test, LongLinesAndEventsAreRefused) {
  const auto ignore = [](const sse_event&) {};
  sse_parser line;
  line.max_event_bytes = 100;
  EXPECT_TRUE(FeedSse(line, std::string(100, 'a'), ignore).ok());
  EXPECT_EQ(KindOf(FeedSse(line, "b", ignore)), error_kind::upstream_failed);
  sse_parser event;
  event.max_event_bytes = 100;
  absl::Status status;
  for (int i = 0; i < 50 && status.ok(); ++i) {
    status = FeedSse(event, "data: 12345\n", ignore);
  }
  EXPECT_EQ(KindOf(status), error_kind::upstream_failed);
}

// A stream is cut anywhere by the network; the events must not depend on it.
TEST(sse_parser_test, AnySplitGivesTheSameEvents) {
  const bool holds = rc::check([] {
    const auto pieces = *rc::gen::container<std::vector<std::string>>(
        rc::gen::elementOf(std::vector<std::string>{
            "data: x\n", "data:y\r\n", "id: 4\n", "event: e\r\n", "\n", "\n",
            "\r\n", "da", "ta", ": ", "\r", "z\n"}));
    const std::string text = absl::StrJoin(pieces, "");
    auto cuts = *rc::gen::container<std::vector<size_t>>(
        rc::gen::inRange<size_t>(0, text.size() + 1));
    std::sort(cuts.begin(), cuts.end());
    std::vector<std::string> parts;
    size_t from = 0;
    for (const size_t cut : cuts) {
      parts.push_back(text.substr(from, cut - from));
      from = cut;
    }
    parts.push_back(text.substr(from));
    RC_CLASSIFY(!Parse({text}).empty(), "has events");
    RC_ASSERT(Parse(parts) == Parse({text}));
  });
  EXPECT_TRUE(holds);
}

TEST(sse_parser_test, FormattedEventsAreReadBack) {
  const bool holds = rc::check([] {
    const auto word = rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("ab :c{}\"")));
    const auto lines = *rc::gen::container<std::vector<std::string>>(word);
    sse_event event{"12:4", "token", ""};
    for (size_t i = 0; i < lines.size(); ++i) {
      event.data += (i > 0 ? "\n" : "") + lines[i];
    }
    RC_ASSERT(Parse({FormatSse(event)}) == std::vector<sse_event>{event});
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace anvilridge
