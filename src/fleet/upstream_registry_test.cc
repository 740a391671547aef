#include "fleet/upstream_registry.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

class upstream_registry_test : public testing::Test {
 protected:
  upstream_change Entry(std::string id, bool draining = false) {
    fleet_upstream upstream;
    upstream.id = id;
    upstream.draining = draining;
    return {std::move(id), upstream, Next()};
  }
  upstream_change StartedAt(std::string id, int64_t started_ms) {
    upstream_change entry = Entry(std::move(id));
    entry.upstream->started_ms = started_ms;
    return entry;
  }
  // The store comes back from a copy that ends at `end`.
  void ReturnFromCopy(int64_t end) {
    era_ = store_era{static_cast<int64_t>(era_) + 1};
    offset_ = end;
    RecordStoreReturned(registry_, now_);
  }
  upstream_change Unreadable(std::string id) {
    return {std::move(id), std::nullopt, Next(), /*unreadable=*/true};
  }
  upstream_change Removal(std::string id) {
    return {std::move(id), std::nullopt, Next()};
  }
  store_position Next() { return {era_, offset_++}; }
  store_position End() const { return {era_, offset_}; }
  void Apply(const std::vector<upstream_change>& changes) {
    ApplyChanges(registry_, changes, now_);
  }
  bool HasUpstream(const std::string& id) {
    RemoveExpired(registry_, now_);
    return registry_.upstreams.contains(id);
  }

  store_era era_ = store_era::none;
  int64_t offset_ = 0;
  absl::Time now_ = absl::FromUnixSeconds(1000);
  upstream_registry registry_;
};

TEST_F(upstream_registry_test, RemovalTakesEffectImmediately) {
  Apply({Entry("a"), Entry("b"), Entry("c"), Removal("b")});
  EXPECT_TRUE(HasUpstream("a"));
  EXPECT_FALSE(HasUpstream("b"));
}

TEST_F(upstream_registry_test, ExpiredEntryMayBeRegisteredAgainAfterAnOutage) {
  Apply({Entry("a"), Entry("b"), Entry("c")});
  RecordStoreLost(registry_);
  now_ += absl::Seconds(5);
  RecordStoreReturned(registry_, now_);
  Apply({Removal("a"), Removal("b")});
  EXPECT_TRUE(HasUpstream("a"));
  Apply({Entry("b")});
  now_ += absl::Seconds(2);
  EXPECT_TRUE(HasUpstream("a"));
  now_ += absl::Seconds(1);
  EXPECT_FALSE(HasUpstream("a"));
  EXPECT_TRUE(HasUpstream("b"));
}

TEST_F(upstream_registry_test, NothingExpiresWhileTheStoreIsUnavailable) {
  Apply({Entry("a"), Entry("b")});
  RecordStoreLost(registry_);
  Apply({Removal("a")});
  now_ += absl::Seconds(60);
  EXPECT_TRUE(HasUpstream("a"));
  RecordStoreReturned(registry_, now_);
  now_ += absl::Seconds(3);
  EXPECT_FALSE(HasUpstream("a"));
}

TEST_F(upstream_registry_test, DrainingUpstreamIsRemovedWithoutGrace) {
  Apply({Entry("a"), Entry("a", /*draining=*/true)});
  RecordStoreReturned(registry_, now_);
  Apply({Removal("a")});
  EXPECT_FALSE(HasUpstream("a"));
}

// Half of the fleet doesn't leave within one message, so such removals point to
// an outage too short to be detected. The grace period of 1 s keeps the work
// for upstreams that did leave well below 2 s.
TEST_F(upstream_registry_test, MassRemovalTakesEffectAfterOneSecond) {
  Apply({Entry("a"), Entry("b"), Entry("c")});
  Apply({Removal("a"), Removal("b")});
  EXPECT_TRUE(HasUpstream("a"));
  now_ += absl::Milliseconds(1001);
  EXPECT_FALSE(HasUpstream("a"));
}

TEST_F(upstream_registry_test, OlderRecordDoesNotUndoARemoval) {
  const upstream_change old = Entry("a");
  Apply({Entry("x"), Entry("y"), Removal("a"), old});
  EXPECT_FALSE(HasUpstream("a"));
  Apply({Entry("a")});
  EXPECT_TRUE(HasUpstream("a"));
}

// Guards against requests to engines whose entry another writer has replaced:
// such entries counted as a mass removal or as lapsed in an outage, and the
// engines stayed in use.
TEST_F(upstream_registry_test, UnreadableEntriesReplaceUpstreamsAtOnce) {
  Apply({Entry("a"), Entry("b"), Entry("c")});
  Apply({Unreadable("a"), Unreadable("b"), Unreadable("other")});
  EXPECT_FALSE(HasUpstream("a"));
  EXPECT_FALSE(HasUpstream("b"));
  EXPECT_TRUE(HasUpstream("c"));
  EXPECT_FALSE(HasUpstream("other"));
  RecordStoreLost(registry_);
  Apply({Unreadable("c")});
  EXPECT_FALSE(HasUpstream("c"));
  Apply({Entry("a")});
  EXPECT_TRUE(HasUpstream("a"));
}

// Guards against engines that stay in use after they have left, because
// unreadable entries beside their removal made it look like an outage.
TEST_F(upstream_registry_test, UnreadableEntriesDoNotDelayARemoval) {
  Apply({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  Apply({Unreadable("a"), Unreadable("b"), Removal("c")});
  EXPECT_FALSE(HasUpstream("c"));
  EXPECT_TRUE(HasUpstream("d"));
}

TEST_F(upstream_registry_test, OlderUnreadableEntryChangesNothing) {
  const upstream_change old = Unreadable("a");
  Apply({Entry("a"), old});
  EXPECT_TRUE(HasUpstream("a"));
  const upstream_change older = Entry("b");
  Apply({Unreadable("b"), older});
  EXPECT_FALSE(HasUpstream("b"));
}

TEST_F(upstream_registry_test, UnreadableEntryInAListingReplacesAnUpstream) {
  Apply({Entry("a"), Entry("b"), Entry("c")});
  const upstream_change a = Unreadable("a");
  const upstream_change b = Unreadable("b");
  const upstream_change c = Entry("c");
  ApplyListing(registry_, {a, b, c}, End(), now_);
  EXPECT_FALSE(HasUpstream("a"));
  EXPECT_FALSE(HasUpstream("b"));
  EXPECT_TRUE(HasUpstream("c"));
}

TEST_F(upstream_registry_test, ListingRemovesMissingEntries) {
  Apply({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  const upstream_change a = Entry("a");
  const upstream_change b = Entry("b");
  const upstream_change c = Entry("c");
  ApplyListing(registry_, {a, b, c}, End(), now_);
  EXPECT_TRUE(HasUpstream("a"));
  EXPECT_FALSE(HasUpstream("d"));
}

TEST_F(upstream_registry_test, ListingKeepsEntriesWrittenAfterIt) {
  const upstream_change a = Entry("a");
  const store_position end = End();
  Apply({a, Entry("late")});
  ApplyListing(registry_, {a}, end, now_);
  EXPECT_TRUE(HasUpstream("late"));
}

// Guards against engines that stay in use after they have left: behind the
// return of the store the record has a lower offset than the known one.
TEST_F(upstream_registry_test, RecordsOfANewEraReplaceThoseBefore) {
  Apply({Entry("a"), Entry("b"), Entry("c"), Entry("d"), Entry("e")});
  ReturnFromCopy(1);
  Apply({Entry("a", /*draining=*/true)});
  EXPECT_TRUE(registry_.upstreams["a"].upstream.draining);
  now_ += kReturnGrace;
  Apply({Removal("a"), Unreadable("b")});
  Apply({Removal("c")});
  EXPECT_FALSE(HasUpstream("a"));
  EXPECT_FALSE(HasUpstream("b"));
  EXPECT_FALSE(HasUpstream("c"));
  Apply({Entry("a")});
  EXPECT_TRUE(HasUpstream("a"));
}

TEST_F(upstream_registry_test, RecordsOfAnEarlierEraChangeNothing) {
  ReturnFromCopy(0);
  Apply({Entry("a"), Entry("b")});
  const upstream_change old_removal = {
      "a", std::nullopt, {store_era::none, 99}};
  upstream_change old_entry = Entry("b", /*draining=*/true);
  old_entry.position = {store_era::none, 99};
  now_ += kReturnGrace;
  Apply({old_removal, old_entry});
  EXPECT_TRUE(HasUpstream("a"));
  EXPECT_FALSE(registry_.upstreams["b"].upstream.draining);
}

// Guards against engines that are dropped since they registered after the copy
// was made, and against such that have left and stay.
TEST_F(upstream_registry_test, EntriesThatTheCopyLacksHaveTheGraceOfAReturn) {
  Apply({Entry("a"), Entry("b"), Entry("c"), Entry("d"), Entry("e")});
  ReturnFromCopy(1);
  ApplyListing(registry_, {{"a", registry_.upstreams["a"].upstream, {era_, 0}}},
               End(), now_);
  EXPECT_TRUE(HasUpstream("b"));
  Apply({Entry("b")});
  now_ += kReturnGrace;
  EXPECT_TRUE(HasUpstream("a"));
  EXPECT_TRUE(HasUpstream("b"));
  EXPECT_FALSE(HasUpstream("c"));
}

// Guards against requests to an engine that has said that it leaves: the copy
// has its entry from before.
TEST_F(upstream_registry_test, ADrainingUpstreamStaysSoInAnOlderCopy) {
  Apply({StartedAt("a", 7), StartedAt("b", 7)});
  for (const char* id : {"a", "b"}) {
    upstream_change leaving = StartedAt(id, 7);
    leaving.upstream->draining = true;
    Apply({leaving});
  }
  ReturnFromCopy(0);
  const upstream_change a = StartedAt("a", 7);
  const upstream_change b = StartedAt("b", 8);
  ApplyListing(registry_, {a, b}, End(), now_);
  EXPECT_TRUE(registry_.upstreams["a"].upstream.draining);
  // A new start is no longer leaving.
  EXPECT_FALSE(registry_.upstreams["b"].upstream.draining);
  // What it wrote before is written again, in turn.
  Apply({StartedAt("a", 7)});
  EXPECT_TRUE(registry_.upstreams["a"].upstream.draining);
  now_ += kReturnGrace;
  Apply({StartedAt("a", 7)});
  EXPECT_FALSE(registry_.upstreams["a"].upstream.draining);
}

// The same if the copy lacks it, and its entries are written again in turn.
TEST_F(upstream_registry_test, ADrainingUpstreamStaysSoIfTheCopyLacksIt) {
  upstream_change leaving = StartedAt("a", 7);
  leaving.upstream->draining = true;
  Apply({leaving, StartedAt("b", 7), StartedAt("c", 7)});
  ReturnFromCopy(0);
  const upstream_change b = StartedAt("b", 7);
  const upstream_change c = StartedAt("c", 7);
  ApplyListing(registry_, {b, c}, End(), now_);
  Apply({StartedAt("a", 7)});
  EXPECT_TRUE(registry_.upstreams["a"].upstream.draining);
  ReturnFromCopy(0);
  const upstream_change b_again = StartedAt("b", 7);
  const upstream_change c_again = StartedAt("c", 7);
  ApplyListing(registry_, {b_again, c_again}, End(), now_);
  now_ += kReturnGrace;
  EXPECT_FALSE(HasUpstream("a"));
  EXPECT_TRUE(HasUpstream("b"));
}

// Guards against requests to an engine that has gone: the copy still has it.
TEST_F(upstream_registry_test, AGoneUpstreamOfAnOlderCopyWaits) {
  Apply({StartedAt("gone", 7), StartedAt("back", 7), StartedAt("anew", 7),
         StartedAt("other", 7)});
  Apply({Removal("gone")});
  Apply({Removal("back")});
  Apply({Removal("anew")});
  ReturnFromCopy(0);
  const upstream_change gone = StartedAt("gone", 7);
  const upstream_change back = StartedAt("back", 7);
  const upstream_change anew = StartedAt("anew", 8);
  const upstream_change other = StartedAt("other", 7);
  ApplyListing(registry_, {gone, back, anew, other}, End(), now_);
  EXPECT_FALSE(HasUpstream("gone"));
  EXPECT_FALSE(HasUpstream("back"));
  EXPECT_TRUE(HasUpstream("anew"));
  EXPECT_TRUE(HasUpstream("other"));
  // Written in the new era.
  Apply({StartedAt("back", 7)});
  EXPECT_TRUE(HasUpstream("back"));
  Apply({Removal("gone")});
  now_ += kReturnedEntryGrace;
  EXPECT_TRUE(RegisterReturned(registry_, now_).empty());
  EXPECT_FALSE(HasUpstream("gone"));
}

TEST_F(upstream_registry_test, AnUpstreamThatTheStoreKeepsIsRegisteredAgain) {
  Apply({StartedAt("a", 7), StartedAt("b", 7), StartedAt("c", 7)});
  Apply({Removal("a")});
  ReturnFromCopy(0);
  const upstream_change a = StartedAt("a", 7);
  const upstream_change b = StartedAt("b", 7);
  const upstream_change c = StartedAt("c", 7);
  ApplyListing(registry_, {a, b, c}, End(), now_);
  now_ += kReturnedEntryGrace - absl::Milliseconds(1);
  EXPECT_TRUE(RegisterReturned(registry_, now_).empty());
  now_ += absl::Milliseconds(1);
  EXPECT_EQ(RegisterReturned(registry_, now_), std::vector<std::string>{"a"});
  EXPECT_TRUE(HasUpstream("a"));
  Apply({Removal("a")});
  EXPECT_FALSE(HasUpstream("a"));
}

// A second return, from a copy that lacks the entry.
TEST_F(upstream_registry_test, AGoneUpstreamThatTheNextCopyLacksStaysGone) {
  Apply({StartedAt("a", 7), StartedAt("b", 7), StartedAt("c", 7)});
  Apply({Removal("a")});
  ReturnFromCopy(0);
  const upstream_change a = StartedAt("a", 7);
  const upstream_change b = StartedAt("b", 7);
  const upstream_change c = StartedAt("c", 7);
  ApplyListing(registry_, {a, b, c}, End(), now_);
  ReturnFromCopy(0);
  const upstream_change b_again = StartedAt("b", 7);
  const upstream_change c_again = StartedAt("c", 7);
  ApplyListing(registry_, {b_again, c_again}, End(), now_);
  now_ += kReturnedEntryGrace;
  EXPECT_TRUE(RegisterReturned(registry_, now_).empty());
  EXPECT_FALSE(HasUpstream("a"));
  EXPECT_TRUE(HasUpstream("b"));
}

}  // namespace
}  // namespace anvilridge
