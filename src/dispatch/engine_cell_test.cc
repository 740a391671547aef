#include "dispatch/engine_cell.h"

#include <map>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(engine_cell_test, SmallDeploymentsAreOneCell) {
  EXPECT_EQ(CellCount(0), 1);
  EXPECT_EQ(CellCount(48), 1);
  EXPECT_EQ(CellCount(255), 1);
}

// The deployment's size expected in two years: 4,900 engines and 370 daemons.
TEST(engine_cell_test, CellsOfALargeDeploymentHaveAboutADozenDaemons) {
  const int cells = CellCount(4900);
  EXPECT_EQ(cells, 32);
  std::map<int, int> daemons;
  for (int i = 0; i < 370; ++i) {
    ++daemons[CellOf(absl::StrCat("10.1.", i / 250, ".", i % 250, ":7660"),
                     cells)];
  }
  EXPECT_EQ(daemons.size(), static_cast<size_t>(cells));
  for (const auto& [cell, count] : daemons) EXPECT_LE(count, 25) << cell;
}

// When a deployment grows, each cell is split in two: no daemon or engine moves
// into a cell with members of another old cell.
TEST(engine_cell_test, GrowthHalvesCells) {
  for (int i = 0; i < 100; ++i) {
    const std::string name = absl::StrCat("engine-", i);
    EXPECT_EQ(CellOf(name, 8) % 4, CellOf(name, 4));
  }
}

}  // namespace
}  // namespace anvilridge
