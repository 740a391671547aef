#include "config/packed_snapshot.h"

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "config/config_snapshot.h"
#include "gtest/gtest.h"
#include "operators/authenticate.h"
#include "peer/peer_message.h"

namespace anvilridge {
namespace {

// As many objects as two regions' fleet has.
config_state LargeState() {
  constexpr int kEngines = 4900;
  constexpr int kTeams = 990;
  config_state state;
  state.pools["pool"].name = "pool";
  for (int i = 0; i < kEngines; ++i) {
    upstream_config upstream;
    upstream.name = absl::StrCat("engine-", i);
    upstream.pool = "pool";
    upstream.failure_domain = "failure-domain";
    upstream.address = absl::StrCat("10.20.", i / 250, ".", i % 250, ":8000");
    state.upstreams[upstream.name] = upstream;
  }
  for (int i = 0; i < kTeams; ++i) {
    const std::string name = absl::StrCat("team-", i);
    state.teams[name].name = name;
    key_config& key = state.keys[name];
    key.name = name;
    key.team = name;
    key.sha256_hex = KeyHash(name);
  }
  return state;
}

TEST(packed_snapshot, LargeStateFitsOneAnswerOfAPeer) {
  const std::string text = SnapshotText(LargeState());
  ASSERT_GT(text.size(), static_cast<size_t>(kMaxPeerBodyBytes));
  const QByteArray packed = PackSnapshotText(text);
  EXPECT_LT(packed.size(), kMaxPeerBodyBytes / 2);
  const auto unpacked = UnpackSnapshotText(packed);
  ASSERT_TRUE(unpacked.ok()) << unpacked.status();
  EXPECT_EQ(*unpacked, text);
}

TEST(packed_snapshot, DamageIsAnError) {
  const QByteArray packed = PackSnapshotText("{\"format\":1}");
  QByteArray huge = packed;
  huge[0] = '\x7f';
  QByteArray flipped = packed;
  flipped[packed.size() / 2] = static_cast<char>(~flipped[packed.size() / 2]);
  for (const QByteArray& damaged :
       {QByteArray(), QByteArray("ab"), packed.left(packed.size() / 2), huge,
        flipped}) {
    const auto unpacked = UnpackSnapshotText(damaged);
    ASSERT_FALSE(unpacked.ok()) << damaged.toHex().toStdString();
    EXPECT_EQ(KindOf(unpacked.status()), error_kind::config_invalid);
  }
}

}  // namespace
}  // namespace anvilridge
