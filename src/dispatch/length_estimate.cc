#include "dispatch/length_estimate.h"

#include <algorithm>
#include <cmath>

namespace anvilridge {
namespace {

// Answers that the statistics remember: enough for a slope, few enough to
// follow a change of the mix within a minute of usual traffic.
constexpr double kMemory = 200;
// Answers before the statistics are believed.
constexpr double kLeastWeight = 8;
// Deviation of estimates before anything is known: a factor of 1.5.
constexpr double kUnknownDeviation = 0.4;
// Least deviation that is believed, and spread of estimates that a slope needs.
constexpr double kLeastDeviation = 0.05;
constexpr double kLeastVariance = 0.01;
// Answers expected at this part of the limit when there is nothing to go by.
constexpr double kUsualShare = 0.5;

double NormalTail(double x) { return 0.5 * std::erfc(x / std::sqrt(2.0)); }

}  // namespace

void LearnLength(length_statistics& statistics, double estimate,
                 double length) {
  if (length <= 0) return;
  const double y = std::log(length);
  const double x = estimate > 0 ? std::log(estimate) : statistics.mean_estimate;
  statistics.weight = std::min(statistics.weight + 1, kMemory);
  const double share = 1 / statistics.weight;
  const double dx = x - statistics.mean_estimate;
  const double dy = y - statistics.mean_length;
  statistics.mean_estimate += share * dx;
  statistics.mean_length += share * dy;
  const double keep = 1 - share;
  statistics.variance_estimate =
      keep * (statistics.variance_estimate + share * dx * dx);
  statistics.variance_length =
      keep * (statistics.variance_length + share * dy * dy);
  statistics.covariance = keep * (statistics.covariance + share * dx * dy);
}

length_distribution ExpectLength(const length_statistics& statistics,
                                 double estimate, double limit) {
  const double most = std::log(std::max(1.0, limit));
  if (statistics.weight < kLeastWeight) {
    const double guess = estimate > 0 ? estimate : kUsualShare * limit;
    return {std::min(most, std::log(std::max(1.0, guess))), kUnknownDeviation};
  }
  double mean = statistics.mean_length;
  double variance = statistics.variance_length;
  if (estimate > 0 && statistics.variance_estimate > kLeastVariance) {
    const double slope = std::clamp(
        statistics.covariance / statistics.variance_estimate, 0.0, 1.0);
    mean += slope * (std::log(estimate) - statistics.mean_estimate);
    variance -= slope * statistics.covariance;
  }
  return {std::min(mean, most),
          std::max(kLeastDeviation, std::sqrt(std::max(0.0, variance)))};
}

double ExpectRemaining(const length_distribution& length, double generated,
                       double limit) {
  const double deviation = std::max(kLeastDeviation, length.log_deviation);
  const double mean = std::exp(length.log_mean + deviation * deviation / 2);
  double expected = mean;
  if (generated > 0) {
    const double from = std::log(generated);
    const double left = NormalTail((from - length.log_mean) / deviation);
    // Mean of the part of the distribution that lies beyond `generated`.
    const double beyond = NormalTail(
        (from - length.log_mean - deviation * deviation) / deviation);
    constexpr double kTinyTail = 1e-6;
    expected = left > kTinyTail ? mean * beyond / left
                                : generated * (1 + deviation / 2);
  }
  return std::max(0.0, std::min(expected, limit) - generated);
}

}  // namespace anvilridge
