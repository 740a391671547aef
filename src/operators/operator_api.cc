#include "operators/operator_api.h"

#include <QJsonDocument>
#include <QUrlQuery>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/ids.h"
#include "config/config_names.h"
#include "operators/api_answer.h"
#include "operators/authenticate.h"
#include "operators/command_parser.h"
#include "operators/command_runner.h"
#include "operators/follow_events.h"

namespace anvilridge {
namespace {

constexpr absl::string_view kCommandPath = "/api/v1/command";
constexpr absl::string_view kCommandsPath = "/api/v1/commands/";
constexpr absl::string_view kQueryPath = "/api/v1/query";
constexpr absl::string_view kFollowPath = "/api/v1/follow";
constexpr int kHttpOk = 200;
/// How long a command's request waits for it to settle.
constexpr absl::Duration kPatience = absl::Seconds(10);
constexpr size_t kMaxLineBytes = 8 << 10;

using exchange_ptr = std::shared_ptr<inbound_exchange>;

// Body of `POST /api/v1/command`.
struct command_request {
  std::string line;
  std::string id;
  std::string author;
};

absl::Status ReadMember(const QJsonObject& json, const char* member,
                        std::string& text) {
  if (!json.contains(QLatin1String(member))) return absl::OkStatus();
  const QJsonValue value = json.value(QLatin1String(member));
  if (!value.isString()) {
    return MakeError(error_kind::malformed_request,
                     absl::StrCat(member, ": expected a string"));
  }
  text = value.toString().toStdString();
  return absl::OkStatus();
}

absl::Status CheckIds(const command_request& request) {
  if (!request.id.empty() && !IsSafeId(request.id)) {
    return MakeError(error_kind::malformed_request,
                     "id: expected 1 to 64 letters, digits, -, _ or .");
  }
  if (!request.author.empty() && !IsSafeId(request.author)) {
    return MakeError(error_kind::malformed_request,
                     "author: expected 1 to 64 letters, digits, -, _ or .");
  }
  if (request.line.empty() || request.line.size() > kMaxLineBytes) {
    return MakeError(error_kind::malformed_request,
                     "command: expected 1 to 8192 bytes");
  }
  return absl::OkStatus();
}

absl::StatusOr<command_request> ParseBody(const std::string& body) {
  const auto document =
      QJsonDocument::fromJson(QByteArray::fromStdString(body));
  if (!document.isObject()) {
    return MakeError(error_kind::malformed_request, "expected a JSON object");
  }
  const QJsonObject json = document.object();
  for (const QString& member : json.keys()) {
    if (member != "command" && member != "id" && member != "author") {
      return MakeError(error_kind::malformed_request,
                       absl::StrCat(member.toStdString(),
                                    ": unknown member; expected command, id "
                                    "or author"));
    }
  }
  command_request request;
  absl::Status read = ReadMember(json, "command", request.line);
  read.Update(ReadMember(json, "id", request.id));
  read.Update(ReadMember(json, "author", request.author));
  if (read.ok()) read = CheckIds(request);
  if (!read.ok()) return read;
  return request;
}

// The author recorded is the key's name; people who share a key may add theirs.
std::string AuthorOf(const principal& who, const command_request& request) {
  if (request.author.empty()) return who.name;
  constexpr size_t kMaxAuthorBytes = 64;
  return absl::StrCat(who.name, ".", request.author).substr(0, kMaxAuthorBytes);
}

}  // namespace

struct operator_api::impl : std::enable_shared_from_this<impl> {
  operator_services services;
  std::string bootstrap_hash;
  std::shared_ptr<const config_state> config;
  follower_list followers;

  void Route(const inbound_request& request, const exchange_ptr& exchange) {
    const bool command = request.path == kCommandPath;
    const bool known = command || request.path == kQueryPath ||
                       request.path == kFollowPath ||
                       absl::StartsWith(request.path, kCommandsPath);
    if (!known) {
      return RespondApiError(
          *exchange, MakeError(error_kind::unknown_route, request.path));
    }
    if (request.method != (command ? "POST" : "GET")) {
      return RespondApiError(
          *exchange,
          MakeError(error_kind::method_not_allowed, command ? "POST" : "GET"));
    }
    const auto who = Authenticate(HeaderValue(request.headers, "authorization"),
                                  config.get(), bootstrap_hash);
    if (!who.ok()) return RespondApiError(*exchange, who.status());
    if (auto check = CheckRole(*who, operator_role::read); !check.ok()) {
      return RespondApiError(*exchange, check);
    }
    if (command) return Command(request, exchange, *who);
    if (request.path == kQueryPath) return Query(request, exchange, *who);
    if (request.path == kFollowPath) return Follow(exchange, *who);
    LookUp(request.path.substr(kCommandsPath.size()), exchange, *who);
  }

  void Query(const inbound_request& request, const exchange_ptr& exchange,
             const principal& who) {
    // Forms write a space as a plus sign, which QUrlQuery leaves alone.
    const QString encoded = QString::fromStdString(request.query);
    const QUrlQuery query(QString(encoded).replace('+', "%20"));
    const std::string line =
        query.queryItemValue("q", QUrl::FullyDecoded).toStdString();
    const auto parsed = ParseLine(line, WallNow());
    if (const auto* error = std::get_if<parse_error>(&parsed)) {
      return RespondParseError(*exchange, *error);
    }
    const auto* asked =
        std::get_if<operator_query>(&std::get<operator_line>(parsed));
    if (!asked) {
      return RespondParseError(
          *exchange,
          {1, absl::StrCat("a query; commands go to POST ", kCommandPath), ""});
    }
    services.view([exchange, who, asked = *asked](const operator_view& view) {
      const auto table = RunQuery(asked, view, who);
      if (!table.ok()) return RespondApiError(*exchange, table.status());
      RespondJson(*exchange, kHttpOk, TableJson(*table));
    });
  }

  void Command(const inbound_request& request, const exchange_ptr& exchange,
               const principal& who) {
    const auto body = ParseBody(request.body);
    if (!body.ok()) return RespondApiError(*exchange, body.status());
    auto parsed = ParseLine(body->line, WallNow());
    if (const auto* error = std::get_if<parse_error>(&parsed)) {
      return RespondParseError(*exchange, *error);
    }
    auto* order =
        std::get_if<operator_command>(&std::get<operator_line>(parsed));
    if (!order) {
      return RespondParseError(
          *exchange,
          {1, absl::StrCat("a command; queries go to GET ", kQueryPath), ""});
    }
    const auto check = CheckRole(who, RoleFor(order->command));
    if (!check.ok()) return RespondApiError(*exchange, check);
    order->command.id = body->id.empty() ? NewId() : body->id;
    order->command.author = AuthorOf(who, *body);
    order->command.time = WallNow();
    if (config) ResolveBaseVersion(*order, *config);
    if (order->dry_run) return TryOut(order->command, exchange);
    Publish(order->command, exchange);
  }

  void TryOut(config_command command, const exchange_ptr& exchange) {
    if (command.reason.empty()) command.reason = "dry run";
    services.view([exchange, command](const operator_view& view) {
      RespondJson(*exchange, kHttpOk, TableJson(DryRun(command, view)));
    });
  }

  // A command given again under the same id is looked up, not given twice.
  void Publish(const config_command& command, const exchange_ptr& exchange) {
    services.status_of(
        command.id, [self = shared_from_this(), command,
                     exchange](const absl::StatusOr<publish_result>& known) {
          if (known.ok()) return RespondOutcome(*exchange, *known);
          self->services.publish(command, kPatience,
                                 [exchange](const publish_result& result) {
                                   RespondOutcome(*exchange, result);
                                 });
        });
  }

  void LookUp(const std::string& id, const exchange_ptr& exchange,
              const principal& who) {
    if (!who.team.empty()) {
      return RespondApiError(*exchange,
                             MakeError(error_kind::forbidden, "for operators"));
    }
    services.status_of(id,
                       [exchange](const absl::StatusOr<publish_result>& known) {
                         if (!known.ok()) {
                           return RespondApiError(*exchange, known.status());
                         }
                         RespondOutcome(*exchange, *known);
                       });
  }

  void Follow(const exchange_ptr& exchange, const principal& who) {
    exchange->Begin(kHttpOk, {{"content-type", "text/event-stream"},
                              {"cache-control", "no-store"}});
    exchange->Write(": following\n\n");
    AddFollower(followers, {exchange, who.team});
  }
};

operator_api::operator_api(operator_services services,
                           std::string bootstrap_hash)
    : impl_(std::make_shared<impl>()) {
  impl_->services = std::move(services);
  impl_->bootstrap_hash = std::move(bootstrap_hash);
}

operator_api::~operator_api() = default;

void operator_api::ConfigChanged(std::shared_ptr<const config_state> config) {
  const int64_t before = impl_->config ? impl_->config->applied_offset : 0;
  impl_->config = std::move(config);
  SendHistory(impl_->followers, *impl_->config, before);
}

void operator_api::Handle(const inbound_request& request,
                          const std::shared_ptr<inbound_exchange>& exchange) {
  impl_->Route(request, exchange);
}

void operator_api::KeepFollowersAlive() { SendKeepAlive(impl_->followers); }

void operator_api::EndFollowers() { anvilridge::EndAll(impl_->followers); }

operator_services CrossThreads(operator_services inner, QObject* control,
                               QObject* port) {
  const auto shared = std::make_shared<operator_services>(std::move(inner));
  // Wraps an answer's callback so that it runs on the port's thread.
  const auto back = [port](auto done) {
    return [port, done](auto answer) {
      PostTo(port, [done, answer] { done(answer); });
    };
  };
  operator_services crossing;
  crossing.view = [=](const std::function<void(operator_view)>& done) {
    PostTo(control, [=] { shared->view(back(done)); });
  };
  crossing.publish = [=](const config_command& command, absl::Duration patience,
                         const std::function<void(publish_result)>& done) {
    PostTo(control, [=] { shared->publish(command, patience, back(done)); });
  };
  crossing.status_of =
      [=](const std::string& id,
          const std::function<void(absl::StatusOr<publish_result>)>& done) {
        PostTo(control, [=] { shared->status_of(id, back(done)); });
      };
  return crossing;
}

}  // namespace anvilridge
