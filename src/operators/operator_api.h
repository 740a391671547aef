#ifndef ANVILRIDGE_OPERATORS_OPERATOR_API_H_
#define ANVILRIDGE_OPERATORS_OPERATOR_API_H_

#include <QObject>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "caller/caller_port.h"
#include "config/config_service.h"
#include "operators/operator_view.h"

namespace anvilridge {

/// What the operator port needs of the daemon. Answers may come at once or
/// later, on the thread of the port.
struct operator_services {
  /// Takes a copy of what queries see.
  std::function<void(std::function<void(operator_view)>)> view;
  /// Publishes a command, as `config_service::Publish`.
  std::function<void(config_command, absl::Duration patience,
                     std::function<void(publish_result)>)>
      publish;
  /// Looks a command up, as `config_service::StatusOf`.
  std::function<void(std::string id,
                     std::function<void(absl::StatusOr<publish_result>)>)>
      status_of;
};

/// Returns services that run `inner` on the thread of `control` and answer on
/// the thread of `port`. Both must outlive what is returned.
operator_services CrossThreads(operator_services inner, QObject* control,
                               QObject* port);

/// Answers the requests of the operator port on one thread:
/// `POST /api/v1/command`, `GET /api/v1/query`, `GET /api/v1/commands/ID` and
/// `GET /api/v1/follow`.
class operator_api {
 public:
  /// `bootstrap_hash` is the `KeyHash` of the bootstrap administrator's key,
  /// or "" for none.
  operator_api(operator_services services, std::string bootstrap_hash);
  ~operator_api();

  /// Must be called with each configuration that comes into force: its keys
  /// count from then on, and followers are sent its new history.
  void ConfigChanged(std::shared_ptr<const config_state> config);

  /// Answers one request.
  void Handle(const inbound_request& request,
              const std::shared_ptr<inbound_exchange>& exchange);

  /// Sends each follower a comment, so that broken connections are noticed.
  void KeepFollowersAlive();

  /// Ends all followers' streams, for a planned stop.
  void EndFollowers();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_OPERATOR_API_H_
