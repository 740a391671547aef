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
constexpr int64_t kMostUnits = 1'000'000;

QCborMap EncodeAsk(absl::string_view team, const borrow_ask& ask) {
  return {{QLatin1String("team"), CborText(team)},
          {QLatin1String("owner"), CborText(ask.owner)},
          {QLatin1String("units"), ask.units},
          {QLatin1String("tokens"), ask.tokens}};
}

QCborMap EncodeAnswer(const borrow_answer& answer) {
  return {{QLatin1String("units"), answer.units},
          {QLatin1String("tokens"), answer.tokens},
          {QLatin1String("retry"),
           static_cast<qint64>(absl::ToInt64Milliseconds(answer.retry_in))}};
}

absl::StatusOr<int> CountIn(const QCborMap& map, const char* key) {
  const absl::StatusOr<int64_t> count = GetInt(map, key);
  if (!count.ok()) return count.status();
  if (*count < 0 || *count > kMostUnits) {
    return MakeError(error_kind::malformed_request, key);
  }
  return static_cast<int>(*count);
}

absl::StatusOr<borrow_ask> ParseAsk(const QCborMap& map) {
  borrow_ask ask;
  absl::StatusOr<std::string> owner = GetString(map, "owner");
  if (!owner.ok()) return owner.status();
  const absl::StatusOr<int> units = CountIn(map, "units");
  if (!units.ok()) return units.status();
  const absl::StatusOr<int> tokens = CountIn(map, "tokens");
  if (!tokens.ok()) return tokens.status();
  return borrow_ask{*std::move(owner), *units, *tokens};
}

absl::StatusOr<borrow_answer> ParseAnswer(const QCborMap& map) {
  const absl::StatusOr<int> units = CountIn(map, "units");
  if (!units.ok()) return units.status();
  const absl::StatusOr<int> tokens = CountIn(map, "tokens");
  if (!tokens.ok()) return tokens.status();
  const absl::StatusOr<int> retry = CountIn(map, "retry");
  if (!retry.ok()) return retry.status();
  return borrow_answer{*units, *tokens, absl::Milliseconds(*retry)};
}

// The even part of a team's limits that holds without its home.
team_config EvenPart(const team_config& team, int live_daemons) {
  team_config part = team;
  const int daemons = std::max(1, live_daemons);
  part.rate = team.rate / daemons;
  if (team.concurrency > 0) {
    part.concurrency = std::max(1, team.concurrency / daemons);
  }
  return part;
}

}  // namespace

struct team_admission::impl {
  peer_client& peers;
  team_admission_environment env;
  // Teams whose home this daemon is.
  std::map<std::string, limit_ledger, std::less<>> homed;
  // Even parts that this daemon lends itself while a home is unreachable.
  std::map<std::string, limit_ledger, std::less<>> even_parts;
  limit_shares shares;
  std::unique_ptr<QTimer> renew_timer;
  std::shared_ptr<char> alive = std::make_shared<char>();

  impl(peer_client& client, team_admission_environment environment)
      : peers(client), env(std::move(environment)) {
    renew_timer = RunEvery(kRenewInterval, [this] { Renew(); });
  }

  borrow_answer LendHere(const team_config& team, const borrow_ask& ask) {
    return Lend(homed[team.name], team, ask, env.live_daemons(), env.now());
  }

  borrow_answer LendEvenPart(const team_config& team, const borrow_ask& ask) {
    limit_ledger& ledger = even_parts[team.name];
    const team_config part = EvenPart(team, env.live_daemons());
    return Lend(ledger, part, ask, /*live_daemons=*/1, env.now());
  }

  void Borrow(const team_config& team,
              std::function<void(borrow_answer)> done) {
    const borrow_ask ask =
        AskFor(shares.teams[team.name], team, env.owner(), env.live_daemons());
    const std::string address = env.home_address(team.name);
    if (address.empty()) return done(LendHere(team, ask));
    const std::weak_ptr<char> guard = alive;
    peers.Call(address, kBorrowMethod, EncodeAsk(team.name, ask),
               kBorrowTimeout,
               [this, guard, team, ask,
                done = std::move(done)](const absl::StatusOr<QCborMap>& map) {
                 if (guard.expired()) return;
                 if (!map.ok()) return done(LendEvenPart(team, ask));
                 const auto answer = ParseAnswer(*map);
                 done(answer.ok() ? *answer : LendEvenPart(team, ask));
               });
  }

  void Enter(const team_config& team, std::function<void(absl::Status)> done) {
    limit_share& share = shares.teams[team.name];
    if (MayStart(share, team, env.now())) {
      StartOne(share, team);
      return done(absl::OkStatus());
    }
    ++share.waiting;
    Borrow(team, [this, team, done = std::move(done)](borrow_answer answer) {
      limit_share& lent = shares.teams[team.name];
      --lent.waiting;
      TakeLoan(lent, answer, env.now());
      if (!MayStart(lent, team, env.now())) {
        return done(RefusalFor(lent, team, answer, env.now()));
      }
      StartOne(lent, team);
      done(absl::OkStatus());
    });
  }

  void Renew() {
    const std::shared_ptr<const config_state> config = env.config();
    if (!config) return;
    for (const std::string& name : TeamsToRenew(shares)) {
      const auto team = config->teams.find(name);
      if (team == config->teams.end()) continue;
      Borrow(team->second, [this, name](const borrow_answer& answer) {
        const auto share = shares.teams.find(name);
        if (share != shares.teams.end()) {
          TakeLoan(share->second, answer, env.now());
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
    const absl::StatusOr<borrow_ask> ask = ParseAsk(request);
    if (!ask.ok()) return respond(ask.status());
    const std::shared_ptr<const config_state> config = impl_->env.config();
    if (!config) {
      return respond(MakeError(error_kind::not_ready, "no configuration"));
    }
    const auto team = config->teams.find(*name);
    if (team == config->teams.end()) {
      return respond(MakeError(error_kind::not_found, "no such team"));
    }
    respond(EncodeAnswer(impl_->LendHere(team->second, *ask)));
  });
}

void team_admission::Enter(const team_config& team,
                           std::function<void(absl::Status)> done) {
  impl_->Enter(team, std::move(done));
}

void team_admission::Leave(absl::string_view team) {
  EndOne(impl_->shares, team);
}

}  // namespace anvilridge
