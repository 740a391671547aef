// Load pattern: upstreams that send without end over many connections, beside
// others that answer as they should.
#include "upstreams/kept_bytes.h"

#include <memory>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr size_t kMemory = 110'000'000;
constexpr size_t kChunk = 16 << 10;
constexpr size_t kSoundAnswer = 100 << 10;

using shares = std::vector<std::unique_ptr<kept_share>>;

shares MakeShares(const std::shared_ptr<kept_bytes>& kept,
                  const std::string& upstream, int count) {
  shares made;
  for (int i = 0; i < count; ++i) {
    made.push_back(std::make_unique<kept_share>(kept, upstream));
  }
  return made;
}

// Adds chunks to all `shares` in turn until none may keep more.
void Flood(const shares& flooded) {
  for (bool added = true; added;) {
    added = false;
    for (const auto& share : flooded) added = share->Add(kChunk) || added;
  }
}

class kept_bytes_test : public testing::Test {
 protected:
  kept_bytes_test() { kept_->limits = KeptBytesLimitsFor(kMemory); }

  std::shared_ptr<kept_bytes> kept_ = std::make_shared<kept_bytes>();
};

TEST_F(kept_bytes_test, OneUpstreamKeepsItsBoundOverAnyNumberOfConnections) {
  const shares flooded = MakeShares(kept_, "10.0.0.1:80", 500);
  Flood(flooded);
  EXPECT_LE(kept_->total, kept_->limits.per_upstream);
  EXPECT_GT(kept_->total, kept_->limits.per_upstream - kChunk);
  kept_share sound(kept_, "10.0.0.2:80");
  EXPECT_TRUE(sound.Add(kSoundAnswer));
}

TEST_F(kept_bytes_test, ManyFaultyUpstreamsLeaveRoomForSoundOnes) {
  std::vector<shares> flooded;
  for (int upstream = 0; upstream < 30; ++upstream) {
    flooded.push_back(
        MakeShares(kept_, absl::StrCat("10.0.0.", upstream, ":80"), 20));
    Flood(flooded.back());
  }
  EXPECT_LE(kept_->total, 2 * kept_->limits.total);
  std::vector<std::unique_ptr<kept_share>> sound;
  for (int upstream = 0; upstream < 10; ++upstream) {
    sound.push_back(std::make_unique<kept_share>(
        kept_, absl::StrCat("10.0.1.", upstream, ":80")));
    EXPECT_TRUE(sound.back()->Add(kSoundAnswer)) << upstream;
  }
}

TEST_F(kept_bytes_test, WhatIsReleasedMayBeKeptAgain) {
  for (int round = 0; round < 3; ++round) {
    const shares flooded = MakeShares(kept_, "10.0.0.1:80", 10);
    Flood(flooded);
    EXPECT_TRUE(flooded.front()->Set(0));
    EXPECT_TRUE(flooded.back()->Add(kChunk));
  }
  EXPECT_EQ(kept_->total, 0u);
  EXPECT_TRUE(kept_->by_upstream.empty());
}

TEST_F(kept_bytes_test, ARefusedAdditionChangesNothing) {
  kept_share share(kept_, "10.0.0.1:80");
  ASSERT_TRUE(share.Add(kChunk));
  EXPECT_FALSE(share.Set(kept_->limits.per_upstream + 1));
  EXPECT_EQ(kept_->total, kChunk);
}

}  // namespace
}  // namespace anvilridge
