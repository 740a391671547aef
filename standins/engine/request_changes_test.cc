#include "engine/request_changes.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

using ::testing::ElementsAre;
using ::testing::IsEmpty;

held_request Request(const std::string& id) {
  held_request request;
  request.id = id;
  request.owner = "a:1";
  return request;
}

TEST(request_changes_test, TellsWhatBeganChangedAndEnded) {
  engine_state state;
  request_changes changes;
  changes.run = "run";
  for (const char* id : {"a", "b", "c"}) state.requests[id] = Request(id);
  NoteChanges(changes, state);
  const std::string first = VersionText(changes);
  state.requests["a"].owner = "b:1";
  state.requests["b"].generated = 5;
  state.requests.erase("c");
  state.requests["d"] = Request("d");
  NoteChanges(changes, state);
  const auto changed = ChangesSince(changes, first);
  ASSERT_TRUE(changed);
  EXPECT_THAT(changed->changed, ElementsAre("a", "d"));
  EXPECT_THAT(changed->gone, ElementsAre("c"));
  const auto none = ChangesSince(changes, VersionText(changes));
  ASSERT_TRUE(none);
  EXPECT_THAT(none->changed, IsEmpty());
  EXPECT_THAT(none->gone, IsEmpty());
}

TEST(request_changes_test, VersionsOfAnotherRunOrTooOldAreNotKnown) {
  engine_state state;
  request_changes changes;
  changes.run = "run";
  NoteChanges(changes, state);
  const std::string first = VersionText(changes);
  for (const char* version : {"", "1", "other.1", "run.", "run.2"}) {
    EXPECT_FALSE(ChangesSince(changes, version)) << version;
  }
  constexpr int kMoreThanKept = 10'001;
  for (int i = 0; i < kMoreThanKept; ++i) {
    state.requests["a"] = Request("a");
    NoteChanges(changes, state);
    state.requests.clear();
    NoteChanges(changes, state);
  }
  EXPECT_FALSE(ChangesSince(changes, first));
}

}  // namespace
}  // namespace anvilridge
