#include "base/ids.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(ids_test, OwnerTextRoundTrips) {
  const owner_id owner{"entry-1", 18446744073709551615ULL};
  EXPECT_EQ(ParseOwner(OwnerText(owner)), owner);
  EXPECT_EQ(ParseOwner("entry-1"), std::nullopt);
  EXPECT_EQ(ParseOwner(":4"), std::nullopt);
  EXPECT_EQ(ParseOwner("a:b"), std::nullopt);
}

TEST(ids_test, NewIdsAreSafeAndDiffer) {
  const std::string first = NewId();
  EXPECT_EQ(first.size(), 32U);
  EXPECT_TRUE(IsSafeId(first));
  EXPECT_NE(first, NewId());
}

TEST(ids_test, HostileIdsAreNotSafe) {
  EXPECT_FALSE(IsSafeId(""));
  EXPECT_FALSE(IsSafeId("a/b"));
  EXPECT_FALSE(IsSafeId("a\r\nb"));
  EXPECT_FALSE(IsSafeId(std::string(65, 'a')));
}

TEST(ids_test, ConstantTimeEqualComparesContent) {
  EXPECT_TRUE(ConstantTimeEqual("key", "key"));
  EXPECT_FALSE(ConstantTimeEqual("key", "kez"));
  EXPECT_FALSE(ConstantTimeEqual("key", "keys"));
}

}  // namespace
}  // namespace anvilridge
