#ifndef ANVILRIDGE_TESTS_SOAK_SOAK_RUN_H_
#define ANVILRIDGE_TESTS_SOAK_SOAK_RUN_H_

#include <string>
#include <vector>

#include "soak/soak_plan.h"
#include "soak/soak_record.h"

namespace anvilridge {

/// What came of one run.
struct soak_result {
  soak_record record;
  /// What was done when, a line each.
  std::vector<std::string> steps;
  /// Where the daemons' logs of a run with broken promises were written.
  std::string logs;
};

/// Starts the daemons of one deployment as processes, disturbs them as the seed
/// says, lets them be, and ends them. Takes some 20 s beyond the disturbed
/// span. Needs a QCoreApplication.
/// @param log_folder where the daemons' logs go; empty for nowhere.
soak_result RunSoak(const soak_options& options,
                    const std::string& log_folder = "");

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_SOAK_SOAK_RUN_H_
