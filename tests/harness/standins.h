#ifndef ANVILRIDGE_TESTS_HARNESS_STANDINS_H_
#define ANVILRIDGE_TESTS_HARNESS_STANDINS_H_

#include <QJsonObject>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "harness/child_process.h"

namespace anvilridge {

/// A stand-in that listens on the loopback address.
struct standin {
  std::unique_ptr<child_process> process;
  uint16_t port = 0;

  /// Returns `127.0.0.1:port`.
  std::string Address() const;
};

/// Options of a stand-in beyond those that its starter sets, such as
/// `--slots=2`.
using standin_options = std::vector<std::string>;

/// What is common to the engines that tests start.
struct engine_start {
  std::string id = "engine";
  std::string role = "decode";
  std::string model = "model";
  std::string failure_domain = "domain";
  standin_options more;
};

standin StartEngine(const engine_start& start);
standin StartService(const standin_options& options = {});
standin StartPlatform(const standin_options& options = {});

/// Switches on `fault` of the stand-in at `port`.
void SetFault(uint16_t port, absl::string_view fault,
              QJsonObject parameters = {});

/// Switches off all faults of the stand-in at `port`.
void ClearFaults(uint16_t port);

/// Returns the rows of an engine's list of requests.
std::vector<QJsonObject> EngineRequests(uint16_t port);

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_STANDINS_H_
