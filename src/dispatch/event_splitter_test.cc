#include "dispatch/event_splitter.h"

#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"

namespace anvilridge {
namespace {

struct split_event {
  std::string bytes;
  int64_t id = -1;
  friend bool operator==(const split_event&, const split_event&) = default;
};

std::vector<split_event> Split(event_splitter& splitter,
                               absl::string_view bytes) {
  std::vector<split_event> events;
  SplitEvents(splitter, bytes,
              [&](absl::string_view event, std::optional<int64_t> id) {
                events.push_back({std::string(event), id.value_or(-1)});
              });
  return events;
}

TEST(event_splitter_test, HoldsBackAnIncompleteEvent) {
  event_splitter splitter;
  const auto events = Split(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n");
  ASSERT_EQ(events.size(), 1u);
  EXPECT_EQ(events[0], (split_event{"id: 1\ndata: a\n\n", 1}));
  EXPECT_EQ(splitter.partial, "id: 2\ndata: b\n");
  EXPECT_EQ(Split(splitter, "\n")[0].id, 2);
  EXPECT_EQ(splitter.partial, "");
}

TEST(event_splitter_test, AcceptsBothLineEndsAndEventsWithoutId) {
  event_splitter splitter;
  const auto events =
      Split(splitter, "x: 1\r\nid:7\r\n\r\n: comment\n\nid: x\n\n");
  ASSERT_EQ(events.size(), 3u);
  EXPECT_EQ(events[0].id, 7);
  EXPECT_EQ(events[1].id, -1);
  EXPECT_EQ(events[2].id, -1);
}

RC_GTEST_PROP(event_splitter_test, SplitsAlikeForAnyChunkSizes, ()) {
  std::string text;
  const int count = *rc::gen::inRange(0, 8);
  for (int i = 0; i < count; ++i) {
    const bool crlf = *rc::gen::arbitrary<bool>();
    const std::string end = crlf ? "\r\n" : "\n";
    absl::StrAppend(&text, "id: ", i, end, "data: x", end, end);
  }
  event_splitter whole_splitter;
  const auto expected = Split(whole_splitter, text);
  event_splitter chunk_splitter;
  std::vector<split_event> actual;
  size_t at = 0;
  while (at < text.size()) {
    const size_t size = *rc::gen::inRange<size_t>(1, 6);
    for (auto& event :
         Split(chunk_splitter, absl::string_view(text).substr(at, size))) {
      actual.push_back(event);
    }
    at += size;
  }
  RC_ASSERT(actual == expected);
  RC_ASSERT(static_cast<int>(actual.size()) == count);
}

}  // namespace
}  // namespace anvilridge
