#ifndef ANVILRIDGE_TESTS_HARNESS_FLEET_H_
#define ANVILRIDGE_TESTS_HARNESS_FLEET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "base/ids.h"
#include "config/config_command.h"
#include "harness/child_process.h"
#include "harness/daemon_ini.h"
#include "harness/standins.h"
#include "harness/temp_folder.h"
#include "harness/test_http.h"

namespace anvilridge {

/// Key of the bootstrap administrator of a test's daemons.
inline constexpr char kAdministratorKey[] = "administrator-secret";

/// How large a deployment a test starts, and with what options.
struct fleet_options {
  int daemons = 2;
  int prefill_engines = 1;
  int decode_engines = 1;
  int services = 0;
  standin_options prefill_options;
  standin_options decode_options;
  standin_options service_options;
  standin_options platform_options;
  /// Whether the services are configured as checking fencing numbers.
  bool services_check_fencing = false;
  /// Changes to every daemon's settings.
  std::vector<ini_section> settings;
};

/// One running daemon and the ports it bound.
struct fleet_daemon {
  std::string name;
  std::unique_ptr<child_process> process;
  uint16_t caller = 0;
  uint16_t operators = 0;
  uint16_t peer = 0;
  uint16_t metrics = 0;

  /// Returns whether `/readyz` answers 200.
  bool Ready() const;
};

/// A whole deployment on the loopback address: platform, engines, services and
/// daemons, with a configuration in force: model `model` by route `drafts`,
/// service route `/ledger/`, team `choir`.
class fleet {
 public:
  explicit fleet(fleet_options options = {});

  standin platform;
  std::vector<standin> prefill;
  std::vector<standin> decode;
  std::vector<standin> services;
  std::vector<fleet_daemon> daemons;

  /// The secret that the fleet's daemons share.
  const std::string& PeerKey() const { return peer_key_; }

  /// Header fields of a caller of team `choir`.
  test_headers Caller(test_headers more = {}) const;

  /// Body of a streamed completion.
  static QJsonObject Completion(absl::string_view prompt, int max_tokens,
                                bool stream = true);

  /// Starts daemon `index` again after its process has ended.
  void RestartDaemon(size_t index);

  /// Starts a further daemon, without waiting until it is ready.
  void AddDaemon();

  /// Waits until every running daemon is ready; false when `bound` passed.
  bool WaitReady(absl::Duration bound);

  /// Appends `command` to the log, as an operator's tool would.
  int64_t Append(const config_command& command);

  /// Returns the rows held by all engines together.
  std::vector<QJsonObject> HeldRequests() const;

 private:
  void StartUpstreams();
  void StartDaemon(fleet_daemon& daemon);
  void Configure();
  void ConfigureEngines();
  void ConfigureServices();
  std::string Seeds(const fleet_daemon& starting) const;

  fleet_options options_;
  // A secret of its own, so that daemons of tests that run at once and take up
  // each other's former ports don't join.
  std::string peer_key_ = NewId();
  temp_folder folder_;
};

/// Makes a command of the test operator.
config_command Command(command_verb verb, object_kind object,
                       absl::string_view name, std::vector<field_value> fields);

/// Returns the text of the tokens that a completion stream carried.
std::string StreamedText(const std::vector<test_event>& events);

}  // namespace anvilridge

#endif  // ANVILRIDGE_TESTS_HARNESS_FLEET_H_
