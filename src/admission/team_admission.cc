#include "admission/team_admission.h"

#include <QCborMap>
#include <QTimer>
#include <algorithm>
#include <map>
#include <utility>

#include "admission/limit_home.h"
#include "admission/limit_share.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "peer/cbor_fields.h"

namespace anvilridge {
namespace {

constexpr char kBorrowMethod[] = "limits/borrow";
constexpr absl::Duration kBorrowTimeout = absl::Milliseconds(250);
constexpr absl::Duration kRenewInterval = absl::Seconds(2);
// Upper bound of a valid count of permits, tokens or milliseconds in a message.
constexpr int64_t kMaxCount = 1'000'000;

QCborMap EncodeBorrowRequest(absl::string_view team,
                             const borrow_request& request) {
  return {{QLatin1String("team"), CborText(team)},
          {QLatin1String("owner"), CborText(request.owner)},
          {QLatin1String("units"), request.permits},
          {QLatin1String("tokens"), request.tokens}};
}

QCborMap EncodeBorrowReply(const borrow_reply& reply) {
  return {{QLatin1String("units"), reply.permits},
          {QLatin1String("tokens"), reply.tokens},
          {QLatin1String("retry"),
           static_cast<qint64>(absl::ToInt64Milliseconds(reply.retry_after))}};
}

// Returns the integer at `key`, or `malformed_request` if it is missing or not
// between 0 and `kMaxCount`.
absl::StatusOr<int> GetCount(const QCborMap& map, const char* key) {
  const absl::StatusOr<int64_t> count = GetInt(map, key);
  if (!count.ok()) return count.status();
  if (*count < 0 || *count > kMaxCount) {
    return MakeError(error_kind::malformed_request, key);
  }
  return static_cast<int>(*count);
}

absl::StatusOr<borrow_request> ParseBorrowRequest(const QCborMap& map) {
  borrow_request request;
  absl::StatusOr<std::string> owner = GetString(map, "owner");
  if (!owner.ok()) return owner.status();
  const absl::StatusOr<int> permits = GetCount(map, "units");
  if (!permits.ok()) return permits.status();
  const absl::StatusOr<int> tokens = GetCount(map, "tokens");
  if (!tokens.ok()) return tokens.status();
  return borrow_request{*std::move(owner), *permits, *tokens};
}

absl::StatusOr<borrow_reply> ParseBorrowReply(const QCborMap& map) {
  const absl::StatusOr<int> permits = GetCount(map, "units");
  if (!permits.ok()) return permits.status();
  const absl::StatusOr<int> tokens = GetCount(map, "tokens");
  if (!tokens.ok()) return tokens.status();
  const absl::StatusOr<int> retry = GetCount(map, "retry");
  if (!retry.ok()) return retry.status();
  return borrow_reply{*permits, *tokens, absl::Milliseconds(*retry)};
}

// Returns the limits that one daemon applies to `team` while the home of the
// team can't be reached: an even part of the limits of all daemons, but a
// concurrency of at least one.
team_config EvenPartOfLimits(const team_config& team, int live_daemons) {
  team_config even_part = team;
  const int daemons = std::max(1, live_daemons);
  even_part.rate = team.rate / daemons;
  if (team.concurrency > 0) {
    even_part.concurrency = std::max(1, team.concurrency / daemons);
  }
  return even_part;
}

}  // namespace

struct team_admission::impl {
  peer_client& peers;
  team_admission_environment env;
  // Ledgers of the teams whose home is this daemon, by team name.
  std::map<std::string, limit_ledger, std::less<>> home_ledgers;
  // Ledgers from which this daemon lends itself an even part of the limits
  // while the home of a team is unreachable, by team name.
  std::map<std::string, limit_ledger, std::less<>> fallback_ledgers;
  limit_shares shares;
  std::unique_ptr<QTimer> renew_timer;
  // Expires with this object, which makes callbacks that outlive it do nothing.
  std::shared_ptr<char> alive = std::make_shared<char>();

  impl(peer_client& client, team_admission_environment environment)
      : peers(client), env(std::move(environment)) {
    renew_timer = RunEvery(kRenewInterval, [this] { Renew(); });
  }

  // Lends as the home of `team`.
  borrow_reply LendAsHome(const team_config& team,
                          const borrow_request& request) {
    return Lend(home_ledgers[team.name], team, request, env.live_daemons(),
                env.now());
  }

  // Lends from this daemon's even part of the limits of `team`.
  borrow_reply LendEvenPart(const team_config& team,
                            const borrow_request& request) {
    limit_ledger& ledger = fallback_ledgers[team.name];
    const team_config even_part = EvenPartOfLimits(team, env.live_daemons());
    return Lend(ledger, even_part, request, /*live_daemons=*/1, env.now());
  }

  // Requests permits and tokens of `team` from its home, or from the even part
  // if the call fails, and passes the reply to `done`.
  void Borrow(const team_config& team, std::function<void(borrow_reply)> done) {
    const borrow_request request = MakeBorrowRequest(
        shares.teams[team.name], team, env.owner(), env.live_daemons());
    const std::string address = env.home_address(team.name);
    if (address.empty()) return done(LendAsHome(team, request));
    const std::weak_ptr<char> guard = alive;
    peers.Call(address, kBorrowMethod, EncodeBorrowRequest(team.name, request),
               kBorrowTimeout,
               [this, guard, team, request,
                done = std::move(done)](const absl::StatusOr<QCborMap>& map) {
                 if (guard.expired()) return;
                 if (!map.ok()) return done(LendEvenPart(team, request));
                 const auto reply = ParseBorrowReply(*map);
                 done(reply.ok() ? *reply : LendEvenPart(team, request));
               });
  }

  void Enter(const team_config& team, std::function<void(absl::Status)> done) {
    limit_share& share = shares.teams[team.name];
    if (CanStart(share, team, env.now())) {
      RecordStart(share, team);
      return done(absl::OkStatus());
    }
    ++share.waiting;
    Borrow(team, [this, team, done = std::move(done)](borrow_reply reply) {
      limit_share& current_share = shares.teams[team.name];
      --current_share.waiting;
      ApplyBorrowReply(current_share, reply, env.now());
      if (!CanStart(current_share, team, env.now())) {
        return done(MakeLimitError(current_share, team, reply, env.now()));
      }
      RecordStart(current_share, team);
      done(absl::OkStatus());
    });
  }

  // Renews the permits that this daemon holds and returns those of idle teams.
  void Renew() {
    const std::shared_ptr<const config_state> config = env.config();
    if (!config) return;
    for (const std::string& name : CollectTeamsToRenew(shares)) {
      const auto team = config->teams.find(name);
      if (team == config->teams.end()) continue;
      Borrow(team->second, [this, name](const borrow_reply& reply) {
        const auto share = shares.teams.find(name);
        if (share != shares.teams.end()) {
          ApplyBorrowReply(share->second, reply, env.now());
        }
      });
    }
  }
};

team_admission::team_admission(peer_client& peers,
                               team_admission_environment environment)
    : impl_(std::make_unique<impl>(peers, std::move(environment))) {}

team_admission::~team_admission() = default;

void team_admission::RegisterPeerHandlers(peer_server& server) {
  server.Handle(kBorrowMethod, [this](const QCborMap& request,
                                      const peer_responder& respond) {
    const absl::StatusOr<std::string> name = GetString(request, "team");
    if (!name.ok()) return respond(name.status());
    const absl::StatusOr<borrow_request> wanted = ParseBorrowRequest(request);
    if (!wanted.ok()) return respond(wanted.status());
    const std::shared_ptr<const config_state> config = impl_->env.config();
    if (!config) {
      return respond(
          MakeError(error_kind::not_ready, "no configuration is in force yet"));
    }
    const auto team = config->teams.find(*name);
    if (team == config->teams.end()) {
      return respond(MakeError(error_kind::not_found,
                               "the configuration has no such team"));
    }
    respond(EncodeBorrowReply(impl_->LendAsHome(team->second, *wanted)));
  });
}

void team_admission::Enter(const team_config& team,
                           std::function<void(absl::Status)> done) {
  impl_->Enter(team, std::move(done));
}

void team_admission::Leave(absl::string_view team) {
  RecordEnd(impl_->shares, team);
}

}  // namespace anvilridge
