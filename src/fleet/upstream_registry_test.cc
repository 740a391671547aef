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
    return {std::move(id), upstream, offset_++};
  }
  upstream_change Unreadable(std::string id) {
    return {std::move(id), std::nullopt, offset_++, /*unreadable=*/true};
  }
  upstream_change Removal(std::string id) {
    return {std::move(id), std::nullopt, offset_++};
  }
  void Apply(const std::vector<upstream_change>& changes) {
    ApplyChanges(registry_, changes, now_);
  }
  bool HasUpstream(const std::string& id) {
    RemoveExpired(registry_, now_);
    return registry_.upstreams.contains(id);
  }

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
  ApplyListing(registry_, {a, b, c}, offset_, now_);
  EXPECT_FALSE(HasUpstream("a"));
  EXPECT_FALSE(HasUpstream("b"));
  EXPECT_TRUE(HasUpstream("c"));
}

TEST_F(upstream_registry_test, ListingRemovesMissingEntries) {
  Apply({Entry("a"), Entry("b"), Entry("c"), Entry("d")});
  const upstream_change a = Entry("a");
  const upstream_change b = Entry("b");
  const upstream_change c = Entry("c");
  ApplyListing(registry_, {a, b, c}, offset_, now_);
  EXPECT_TRUE(HasUpstream("a"));
  EXPECT_FALSE(HasUpstream("d"));
}

TEST_F(upstream_registry_test, ListingKeepsEntriesWrittenAfterIt) {
  const upstream_change a = Entry("a");
  const int64_t end = offset_;
  Apply({a, Entry("late")});
  ApplyListing(registry_, {a}, end, now_);
  EXPECT_TRUE(HasUpstream("late"));
}

}  // namespace
}  // namespace anvilridge
