#include "dispatch/length_estimate.h"

#include <algorithm>
#include <cmath>

namespace anvilridge {
namespace {

// Largest weight of the statistics, in responses: enough to compute a slope,
// and few enough to follow a change of the mix within a minute of usual
// traffic.
constexpr double kMaxWeight = 200;
// Least number of responses for the statistics to be used.
constexpr double kMinWeight = 8;
// Deviation of the length's logarithm with fewer responses: a factor of 1.5.
constexpr double kDefaultDeviation = 0.4;
// Lower bound on the deviation of the length's logarithm.
constexpr double kMinDeviation = 0.05;
// Variance of the estimates' logarithms above which a slope is computed.
constexpr double kMinEstimateVariance = 0.01;
// Expected length, as a share of the limit, when there are neither enough
// responses nor an estimate.
constexpr double kDefaultLimitShare = 0.5;
// Standard normal variable that one in a hundred exceeds.
constexpr double kLongestDeviations = 2.326;

// Returns the probability that a standard normal variable exceeds `x`.
double NormalTail(double x) { return 0.5 * std::erfc(x / std::sqrt(2.0)); }

}  // namespace

void UpdateLengthStatistics(length_statistics& statistics, double estimate,
                            double length) {
  if (length <= 0) return;
  const double log_length = std::log(length);
  const double log_estimate =
      estimate > 0 ? std::log(estimate) : statistics.mean_estimate;
  statistics.weight = std::min(statistics.weight + 1, kMaxWeight);
  const double gain = 1 / statistics.weight;
  const double dx = log_estimate - statistics.mean_estimate;
  const double dy = log_length - statistics.mean_length;
  statistics.mean_estimate += gain * dx;
  statistics.mean_length += gain * dy;
  const double retained = 1 - gain;
  statistics.variance_estimate =
      retained * (statistics.variance_estimate + gain * dx * dx);
  statistics.variance_length =
      retained * (statistics.variance_length + gain * dy * dy);
  statistics.covariance = retained * (statistics.covariance + gain * dx * dy);
}

length_distribution EstimateLength(const length_statistics& statistics,
                                   double estimate, double limit) {
  const double log_limit = std::log(std::max(1.0, limit));
  if (statistics.weight < kMinWeight) {
    const double guess = estimate > 0 ? estimate : kDefaultLimitShare * limit;
    return {std::min(log_limit, std::log(std::max(1.0, guess))),
            kDefaultDeviation};
  }
  double mean = statistics.mean_length;
  double variance = statistics.variance_length;
  if (estimate > 0 && statistics.variance_estimate > kMinEstimateVariance) {
    const double slope = std::clamp(
        statistics.covariance / statistics.variance_estimate, 0.0, 1.0);
    mean += slope * (std::log(estimate) - statistics.mean_estimate);
    variance -= slope * statistics.covariance;
  }
  return {std::min(mean, log_limit),
          std::max(kMinDeviation, std::sqrt(std::max(0.0, variance)))};
}

double EstimateRemaining(const length_distribution& length, double generated,
                         double limit) {
  const double deviation = std::max(kMinDeviation, length.log_deviation);
  const double mean = std::exp(length.log_mean + deviation * deviation / 2);
  double expected = mean;
  if (generated > 0) {
    const double log_generated = std::log(generated);
    const double tail =
        NormalTail((log_generated - length.log_mean) / deviation);
    // The mean of the part of the distribution that lies beyond `generated` is
    // mean * beyond / tail.
    const double beyond = NormalTail(
        (log_generated - length.log_mean - deviation * deviation) / deviation);
    constexpr double kMinTail = 1e-6;
    expected = tail > kMinTail ? mean * beyond / tail
                               : generated * (1 + deviation / 2);
  }
  return std::max(0.0, std::min(expected, limit) - generated);
}

double EstimateLongestRemaining(const length_distribution& length,
                                double generated, double limit) {
  const double longest =
      std::exp(length.log_mean + kLongestDeviations * length.log_deviation);
  return std::max(std::min(longest, limit) - generated,
                  EstimateRemaining(length, generated, limit));
}

double EstimateShortestRemaining(const length_distribution& length,
                                 double generated, double limit) {
  const double shortest =
      std::exp(length.log_mean - kLongestDeviations * length.log_deviation);
  return std::max(0.0, std::min(shortest, limit) - generated);
}

}  // namespace anvilridge
