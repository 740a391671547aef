#ifndef ANVILRIDGE_DISPATCH_LENGTH_ESTIMATE_H_
#define ANVILRIDGE_DISPATCH_LENGTH_ESTIMATE_H_

namespace anvilridge {

/// How lengths of answers relate to what callers estimate, in logarithms, with
/// older answers counting less. Callers' estimates scatter: a long one is
/// usually too long and a short one too short.
struct length_statistics {
  double weight = 0;
  double mean_estimate = 0;
  double mean_length = 0;
  double variance_estimate = 0;
  double variance_length = 0;
  double covariance = 0;
};

/// Notes that an answer which was estimated at `estimate` tokens had `length`.
/// An estimate of 0 means that the caller gave none.
void LearnLength(length_statistics& statistics, double estimate, double length);

/// A length that isn't known yet: its logarithm is normally distributed.
struct length_distribution {
  double log_mean = 0;
  double log_deviation = 0;
};

/// Returns what is expected of an answer estimated at `estimate` tokens, 0 for
/// no estimate, and limited to `limit` tokens.
length_distribution ExpectLength(const length_statistics& statistics,
                                 double estimate, double limit);

/// Returns how many tokens are expected beyond the `generated` that an answer
/// has already, at most up to `limit`.
double ExpectRemaining(const length_distribution& length, double generated,
                       double limit);

}  // namespace anvilridge

#endif  // ANVILRIDGE_DISPATCH_LENGTH_ESTIMATE_H_
