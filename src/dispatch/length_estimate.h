#ifndef ANVILRIDGE_DISPATCH_LENGTH_ESTIMATE_H_
#define ANVILRIDGE_DISPATCH_LENGTH_ESTIMATE_H_

namespace anvilridge {

/// Statistics of response lengths and of the callers' estimates of them, in
/// logarithms; older responses count less. Callers' estimates scatter: a long
/// estimate is usually too long, and a short one too short.
struct length_statistics {
  /// Number of responses, up to a maximum.
  double weight = 0;
  double mean_estimate = 0;
  double mean_length = 0;
  double variance_estimate = 0;
  double variance_length = 0;
  /// Covariance of estimate and length.
  double covariance = 0;
};

/// Adds a response of `length` tokens to `statistics`.
/// @param estimate the caller's estimate in tokens; 0 if it gave none.
void UpdateLengthStatistics(length_statistics& statistics, double estimate,
                            double length);

/// Log-normal distribution of the length of a response in tokens.
struct length_distribution {
  /// Mean and standard deviation of the length's natural logarithm.
  double log_mean = 0;
  double log_deviation = 0;
};

/// Returns the expected distribution of the length of a response.
/// @param estimate the caller's estimate in tokens; 0 if it gave none.
/// @param limit largest number of tokens that the response may have.
length_distribution EstimateLength(const length_statistics& statistics,
                                   double estimate, double limit);

/// Returns how many tokens a response is expected to have beyond the
/// `generated` ones when it may have `limit` tokens in total.
double EstimateRemaining(const length_distribution& length, double generated,
                         double limit);

/// Returns how many tokens a response may plausibly have beyond the `generated`
/// ones when it may have `limit` tokens in total: one in a hundred has more.
double EstimateLongestRemaining(const length_distribution& length,
                                double generated, double limit);

/// Returns how many tokens a response has at least beyond the `generated` ones,
/// but for one in a hundred, when it may have `limit` tokens in total.
double EstimateShortestRemaining(const length_distribution& length,
                                 double generated, double limit);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_LENGTH_ESTIMATE_H_
