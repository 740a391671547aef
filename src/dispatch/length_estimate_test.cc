#include "dispatch/length_estimate.h"

#include <cmath>
#include <random>

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr double kLimit = 9490;

// Returns statistics of 500 responses whose estimates deviate from their
// lengths as much as the lengths deviate from each other.
length_statistics MakeStatistics() {
  length_statistics statistics;
  std::mt19937 random(20261204);
  std::normal_distribution<double> normal;
  for (int i = 0; i < 500; ++i) {
    const double length = 4500 * std::exp(0.45 * normal(random));
    const double estimate = length * std::exp(0.45 * normal(random));
    UpdateLengthStatistics(statistics, estimate, length);
  }
  return statistics;
}

TEST(length_estimate_test, WithoutStatisticsTheEstimateIsUsed) {
  const length_distribution length = EstimateLength({}, 3000, kLimit);
  EXPECT_NEAR(std::exp(length.log_mean), 3000, 1);
  EXPECT_GT(length.log_deviation, 0);
  EXPECT_LE(std::exp(EstimateLength({}, 0, kLimit).log_mean), kLimit);
}

TEST(length_estimate_test, ExtremeEstimatesAreCorrectedTowardsTheMean) {
  const length_statistics statistics = MakeStatistics();
  const double high = std::exp(EstimateLength(statistics, 12000, 1e9).log_mean);
  const double low = std::exp(EstimateLength(statistics, 1500, 1e9).log_mean);
  EXPECT_GT(high, 5000);
  EXPECT_LT(high, 9500);
  EXPECT_GT(low, 1900);
  EXPECT_LT(low, 4000);
}

TEST(length_estimate_test, EstimatesAreRightOnAverage) {
  const length_statistics statistics = MakeStatistics();
  std::mt19937 random(1);
  std::normal_distribution<double> normal;
  double expected = 0;
  double actual = 0;
  for (int i = 0; i < 2000; ++i) {
    const double length = 4500 * std::exp(0.45 * normal(random));
    const double estimate = length * std::exp(0.45 * normal(random));
    expected +=
        EstimateRemaining(EstimateLength(statistics, estimate, 1e9), 0, 1e9);
    actual += length;
  }
  EXPECT_NEAR(expected / actual, 1, 0.08);
}

TEST(length_estimate_test, AResponseBeyondItsEstimateIsExpectedToContinue) {
  const length_distribution length{std::log(3000.0), 0.3};
  EXPECT_GT(EstimateRemaining(length, 6000, kLimit), 100);
  EXPECT_GT(EstimateRemaining(length, 9000, kLimit), 10);
  EXPECT_LE(EstimateRemaining(length, 9400, kLimit), kLimit - 9400);
  EXPECT_DOUBLE_EQ(EstimateRemaining(length, 9600, kLimit), 0);
}

TEST(length_estimate_test, RemainingShrinksAsTokensAreGenerated) {
  const length_distribution length{std::log(4000.0), 0.3};
  double before = EstimateRemaining(length, 0, kLimit);
  for (double generated = 500; generated < 4000; generated += 500) {
    const double now = EstimateRemaining(length, generated, kLimit);
    EXPECT_LT(now, before);
    before = now;
  }
}

}  // namespace
}  // namespace anvilridge
