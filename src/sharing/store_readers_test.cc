#include "sharing/store_readers.h"

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

std::vector<std::string> Daemons(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.push_back(absl::StrCat("10.1.0.", i, ":7660"));
  }
  return names;
}

// Returns the daemons of `names` that are readers by what each hears.
std::vector<std::string> Readers(const std::vector<std::string>& names) {
  std::vector<std::string> readers;
  for (const std::string& own : names) {
    std::vector<absl::string_view> peers;
    for (const std::string& name : names) {
      if (name != own) peers.emplace_back(name);
    }
    if (IsStoreReader(own, peers)) readers.push_back(own);
  }
  return readers;
}

TEST(store_readers_test, AFewOfManyDaemonsRead) {
  EXPECT_EQ(Readers(Daemons(78)).size(), static_cast<size_t>(kStoreReaders));
  EXPECT_EQ(Readers(Daemons(2)).size(), 2u);
}

TEST(store_readers_test, ADaemonThatHearsNobodyReads) {
  EXPECT_TRUE(IsStoreReader("10.1.0.1:7660", {}));
}

TEST(store_readers_test, AnotherDaemonReplacesALostReader) {
  std::vector<std::string> names = Daemons(78);
  const std::vector<std::string> before = Readers(names);
  std::erase(names, before.front());
  const std::vector<std::string> after = Readers(names);
  EXPECT_EQ(after.size(), static_cast<size_t>(kStoreReaders));
  for (size_t i = 1; i < before.size(); ++i) {
    EXPECT_NE(std::find(after.begin(), after.end(), before[i]), after.end());
  }
}

}  // namespace
}  // namespace anvilridge
