#ifndef ANVILRIDGE_REVIEW_LAB_CROWD_H_
#define ANVILRIDGE_REVIEW_LAB_CROWD_H_

#include <functional>
#include <string>

namespace lab {

/// Callers that each send one request and stay open.
struct crowd {
  int callers = 0;
  /// Returns what the caller with the number sends.
  std::function<std::string(int number)> request;
  /// What they send, for the record.
  std::string description;
};

/// Runs a daemon on a machine of 110 MB with a crowd beside ordinary callers
/// that keep their channels. Plays the platform, which kills a process whose
/// memory exceeds its machine's. The rule is LOST: more than three requests of
/// kept channels were passed on and end without an answer.
/// @param folder of `record.txt`.
/// @return the exit code of the script.
int RunCrowd(const std::string& folder, const crowd& crowd);

}  // namespace lab

#endif  // ANVILRIDGE_REVIEW_LAB_CROWD_H_
