#include "placement/placer.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QObject>
#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "log/decision_log.h"
#include "placement/baseline_choice.h"
#include "placement/cache_watch.h"
#include "placement/candidate_choice.h"
#include "placement/home_calls.h"
#include "placement/load_reports.h"
#include "placement/prefill_choice.h"
#include "upstreams/return_share.h"

namespace anvilridge {
namespace {

// Number of decode engines to which one round sends a reservation request, not
// counting the queued one.
constexpr size_t kMaxDecodeRequestsPerRound = 4;
// Longest time that a reservation request is queued at one home. After it, a
// new round considers the other engines as well.
constexpr absl::Duration kMaxWaitAtHome = absl::Seconds(1);
// Share of the first-token target that is kept in reserve, because prefill and
// transfer may take longer than predicted.
constexpr double kWaitMarginShare = 0.15;
constexpr absl::Duration kMinPauseBetweenRounds = absl::Milliseconds(5);
constexpr absl::Duration kMaxPauseBetweenRounds = absl::Milliseconds(100);
constexpr absl::Duration kMinRetryAfter = absl::Seconds(1);
// Time for the transfer of a prefill's result, assumed while the prefill engine
// is not chosen yet.
constexpr absl::Duration kAssumedTransferTime = absl::Milliseconds(20);
// Time per output token, assumed for all decode engines.
constexpr absl::Duration kAssumedTokenInterval = absl::Milliseconds(25);

using engine_list = std::vector<const upstream_config*>;

// State of one placement in progress. A placement takes one or more rounds; in
// each, the homes of decode engines and then of prefill engines receive
// reservation requests, one after the other, until one of each has granted its
// request.
struct placement_attempt {
  placement_request request;
  placer::callback done;
  std::shared_ptr<const config_state> config;
  const route_config* route = nullptr;
  // Available decode engines, in the order of the reservation requests.
  engine_list decode_candidates;
  size_t next_decode = 0;
  // Decode engine with the shortest predicted wait among this round's replies.
  const upstream_config* shortest_queue = nullptr;
  // Whether a reservation request was queued at a home in this round.
  bool has_queued = false;
  int rounds = 0;
  // Available prefill engines, and the options among them, best first.
  engine_list prefill_candidates;
  std::vector<prefill_option> prefill_options;
  size_t next_prefill = 0;
  placement_grant grant;
  // Shortest predicted wait, for a decode place or for a prefill, among this
  // round's replies.
  absl::Duration min_wait = absl::InfiniteDuration();
  // Engines considered in this round, for the log line of the decision.
  QJsonArray considered;
  // Whether the placement has succeeded, failed or been abandoned.
  bool ended = false;
};

using attempt_ptr = std::shared_ptr<placement_attempt>;

chosen_engine MakeChosenEngine(const upstream_config& upstream) {
  return {upstream.name, upstream.address, upstream.failure_domain};
}

}  // namespace

struct placer::impl {
  placer_environment env;
  home_calls homes;
  // Owner of the timers that start the next rounds.
  QObject context;
  // Placements in progress by request id.
  std::map<std::string, attempt_ptr, std::less<>> attempts;
  engine_hints decode_hints;
  prefill_estimates estimates;
  // Ids of placed requests whose prefill was predicted to start at once. Only
  // the duration of such a prefill shows the engine's rate; with a wait in the
  // queue it would be too long.
  std::set<std::string, std::less<>> unqueued_prefills;
  std::mt19937_64 random{std::random_device{}()};
  baseline_state baseline;
  std::unique_ptr<load_reports> reports;
  std::unique_ptr<cache_watch> prefix_cache_watch;

  impl(peer_client& peers, engine_homes& local, placer_environment environment)
      : env(std::move(environment)),
        homes{&peers, &local, env.home_address, {}, {}} {
    if (env.policy == placement_policy::least_loaded) {
      reports = std::make_unique<load_reports>(*env.client, env.config);
    }
    estimates.prefix_affinity =
        env.prefix_affinity && env.policy == placement_policy::homes;
    if (!estimates.prefix_affinity) return;
    const cache_watch_environment watch{env.config, env.live_daemons, env.now};
    prefix_cache_watch =
        std::make_unique<cache_watch>(*env.client, estimates.prefixes, watch);
  }

  engine_list HealthyCandidates(absl::string_view pool,
                                const placement_attempt& attempt,
                                absl::Span<const std::string> avoid) const {
    engine_list candidates = CandidatesInPool(*attempt.config, pool, avoid);
    std::erase_if(candidates, [this](const upstream_config* engine) {
      return !env.healthy(engine->name);
    });
    return candidates;
  }

  // Returns the healthy engines of `pool`. Engines that failed the request
  // before are included only if there are no others. The caller of `Place`
  // limits the number of attempts.
  engine_list AvailableEngines(absl::string_view pool,
                               const placement_attempt& attempt) {
    engine_list candidates =
        HealthyCandidates(pool, attempt, attempt.request.avoid);
    if (candidates.empty()) candidates = HealthyCandidates(pool, attempt, {});
    return ThinReturning(std::move(candidates), env.health(), random);
  }

  // Returns the prefill options for the request, best first. Until a decode
  // engine is chosen, its failure domain is empty and no link is considered.
  std::vector<prefill_option> PrefillOptionsFor(
      const placement_attempt& attempt) {
    const prefill_task task{attempt.request.prompt_tokens,
                            attempt.grant.decode.failure_domain,
                            attempt.request.prefix_hashes};
    return RankPrefillOptions(*attempt.config, attempt.prefill_candidates, task,
                              estimates, env.now(), random);
  }

  void StartRound(const attempt_ptr& attempt) {
    attempt->config = env.config();
    if (!attempt->config) {
      return Fail(attempt,
                  MakeError(error_kind::not_ready, "no configuration"));
    }
    const auto route = attempt->config->routes.find(attempt->request.route);
    if (route == attempt->config->routes.end()) {
      return Fail(attempt,
                  MakeError(error_kind::unknown_route, attempt->request.route));
    }
    attempt->route = &route->second;
    attempt->decode_candidates = OrderByTwoChoices(
        AvailableEngines(attempt->route->decode_pool, *attempt), decode_hints,
        env.now(), random);
    attempt->grant.decode = chosen_engine();
    attempt->prefill_candidates =
        AvailableEngines(attempt->route->prefill_pool, *attempt);
    attempt->prefill_options = PrefillOptionsFor(*attempt);
    attempt->next_decode = 0;
    attempt->min_wait = absl::InfiniteDuration();
    attempt->shortest_queue = nullptr;
    attempt->has_queued = false;
    attempt->considered = QJsonArray();
    ++attempt->rounds;
    if (attempt->decode_candidates.empty() ||
        attempt->prefill_options.empty()) {
      return Fail(
          attempt,
          MakeError(
              error_kind::no_upstream,
              absl::StrCat("no decode or prefill engine available for route ",
                           attempt->request.route)));
    }
    if (env.policy != placement_policy::homes) return ChooseByBaseline(attempt);
    RequestNextDecode(attempt);
  }

  // Chooses the engines without reservations, by round robin or by load
  // reports.
  void ChooseByBaseline(const attempt_ptr& attempt) {
    static const engine_loads kNoLoads;
    const engine_loads& loads = reports ? reports->Loads() : kNoLoads;
    const bool by_load = env.policy == placement_policy::least_loaded;
    const engine_list decode =
        by_load
            ? LeastLoadedOrder(attempt->decode_candidates, loads, random)
            : RoundRobinOrder(attempt->decode_candidates, baseline.decode_turn);
    const engine_list prefill =
        by_load ? LeastLoadedOrder(attempt->prefill_candidates, loads, random)
                : RoundRobinOrder(attempt->prefill_candidates,
                                  baseline.prefill_turn);
    attempt->grant.decode = MakeChosenEngine(*decode.front());
    attempt->grant.prefill = MakeChosenEngine(*prefill.front());
    attempt->grant.decode_fallbacks.clear();
    for (size_t i = 1; i < decode.size(); ++i) {
      attempt->grant.decode_fallbacks.push_back(MakeChosenEngine(*decode[i]));
    }
    attempt->grant.predicted_first_token =
        attempt->request.first_token_due - env.now();
    LogDecision(*attempt, "placed", by_load ? "least loaded" : "round robin");
    End(attempt, attempt->grant);
  }

  // Returns the predicted time until the best option has finished its prefill.
  static absl::Duration PredictedPrefillTime(const placement_attempt& attempt) {
    const prefill_option& best = attempt.prefill_options.front();
    return best.wait + best.work;
  }

  void RequestNextDecode(const attempt_ptr& attempt) {
    const size_t limit =
        std::min(kMaxDecodeRequestsPerRound, attempt->decode_candidates.size());
    if (attempt->next_decode >= limit) return QueueAtShortestWait(attempt);
    RequestDecodeAt(attempt,
                    *attempt->decode_candidates[attempt->next_decode++],
                    absl::ZeroDuration());
  }

  // Sends the decode engine with the shortest predicted wait a reservation
  // request that its home may queue. Ends the round instead if that wait is too
  // long, if no home has replied with a wait, or if this round has queued a
  // request before.
  void QueueAtShortestWait(const attempt_ptr& attempt) {
    const absl::Duration acceptable_wait = AcceptableWait(*attempt);
    const bool cannot_queue =
        attempt->shortest_queue == nullptr || attempt->has_queued;
    if (cannot_queue || attempt->min_wait > acceptable_wait) {
      return EndRound(attempt, error_kind::overloaded);
    }
    attempt->has_queued = true;
    RequestDecodeAt(attempt, *attempt->shortest_queue,
                    std::min(acceptable_wait, kMaxWaitAtHome));
  }

  // Returns how long the request may wait for a decode place and still have its
  // first token in time.
  absl::Duration AcceptableWait(const placement_attempt& attempt) const {
    const absl::Duration margin =
        kWaitMarginShare * attempt.route->first_token_target;
    return attempt.request.first_token_due - env.now() -
           PredictedPrefillTime(attempt) - kAssumedTransferTime -
           kAssumedTokenInterval - margin;
  }

  void RequestDecodeAt(const attempt_ptr& attempt,
                       const upstream_config& engine,
                       absl::Duration max_queue_wait) {
    reserve_decode_message message;
    message.engine = engine.name;
    message.request.request_id = attempt->request.request_id;
    message.request.owner = attempt->grant.owner;
    message.request.team = attempt->request.team;
    message.request.pieces =
        PiecesFor(attempt->request.prompt_tokens + attempt->request.max_tokens);
    message.request.needed_in =
        PredictedPrefillTime(*attempt) + kAssumedTransferTime;
    message.request.expected_use =
        attempt->request.max_tokens * kAssumedTokenInterval;
    message.request.max_queue_wait = max_queue_wait;
    attempt->grant.pieces = message.request.pieces;
    ReserveAtHome(
        homes, message,
        [this, attempt, &engine](absl::StatusOr<reserve_decode_reply> reply) {
          OnDecodeReply(attempt, engine, std::move(reply));
        });
  }

  void OnDecodeReply(const attempt_ptr& attempt, const upstream_config& engine,
                     absl::StatusOr<reserve_decode_reply> reply) {
    if (attempt->ended) {
      if (reply.ok() && reply->granted) ReleaseAt(*attempt, engine);
      return;
    }
    QJsonObject row{{"decode", QString::fromStdString(engine.name)}};
    if (!reply.ok()) {
      row["answer"] =
          QString::fromUtf8(AnswerFor(KindOf(reply.status())).name.data());
      attempt->considered.append(row);
      return RequestNextDecode(attempt);
    }
    decode_hints[engine.name] = {reply->free_slots, reply->free_in, env.now()};
    row["free_slots"] = reply->free_slots;
    row["granted"] = reply->granted;
    attempt->considered.append(row);
    if (!reply->granted) {
      if (reply->free_in < attempt->min_wait) attempt->shortest_queue = &engine;
      attempt->min_wait = std::min(attempt->min_wait, reply->free_in);
      return RequestNextDecode(attempt);
    }
    attempt->grant.decode = MakeChosenEngine(engine);
    attempt->prefill_options = PrefillOptionsFor(*attempt);
    attempt->next_prefill = 0;
    RequestNextPrefill(attempt);
  }

  // Releases the request's reservation at the home of `engine`.
  void ReleaseAt(const placement_attempt& attempt,
                 const upstream_config& engine) {
    ReleaseAtHome(homes,
                  {engine.name, attempt.request.request_id, 0, {}, false});
  }

  void RequestNextPrefill(const attempt_ptr& attempt) {
    if (attempt->next_prefill >= attempt->prefill_options.size()) {
      ReleaseAtHome(homes, {attempt->grant.decode.name,
                            attempt->request.request_id,
                            0,
                            {},
                            false});
      return EndRound(attempt, error_kind::latency_unattainable);
    }
    const prefill_option option =
        attempt->prefill_options[attempt->next_prefill++];
    ReserveAtHome(
        homes,
        MakeReservePrefillRequest(attempt->request, option,
                                  attempt->grant.owner,
                                  attempt->grant.decode.failure_domain,
                                  attempt->request.first_token_due - env.now()),
        [this, attempt, option](absl::StatusOr<reserve_prefill_reply> reply) {
          OnPrefillReply(attempt, option, std::move(reply));
        });
  }

  void OnPrefillReply(const attempt_ptr& attempt, const prefill_option& option,
                      absl::StatusOr<reserve_prefill_reply> reply) {
    if (attempt->ended) {
      if (reply.ok() && reply->granted) ReleaseAt(*attempt, *option.engine);
      ReleaseAtHome(homes, {attempt->grant.decode.name,
                            attempt->request.request_id,
                            0,
                            {},
                            false});
      return;
    }
    attempt->considered.append(MakeDecisionLogRow(option, reply));
    if (!reply.ok()) return RequestNextPrefill(attempt);
    UpdatePrefillEstimates(estimates, option, attempt->request, *reply,
                           env.now());
    if (!reply->granted) {
      attempt->min_wait = std::min(attempt->min_wait, reply->wait);
      return RequestNextPrefill(attempt);
    }
    attempt->grant.prefill = MakeChosenEngine(*option.engine);
    if (reply->wait == absl::ZeroDuration()) {
      unqueued_prefills.insert(attempt->request.request_id);
    }
    attempt->grant.predicted_first_token =
        reply->wait + reply->work + option.transfer;
    Succeed(attempt);
  }

  // Starts another round after a pause if a place or a prefill is predicted to
  // come free in time, else fails the placement with `kind`.
  void EndRound(const attempt_ptr& attempt, error_kind kind) {
    // A request for which even the shortest wait is too long is refused at
    // once.
    if (attempt->min_wait < AcceptableWait(*attempt)) {
      const absl::Duration pause = std::clamp(
          attempt->min_wait, kMinPauseBetweenRounds, kMaxPauseBetweenRounds);
      RunAfter(&context, pause, [this, attempt] {
        if (!attempt->ended) StartRound(attempt);
      });
      return;
    }
    const absl::Duration retry_after =
        attempt->min_wait == absl::InfiniteDuration()
            ? kMinRetryAfter
            : std::max(kMinRetryAfter, attempt->min_wait);
    Fail(attempt, MakeError(kind, "no place before the first token is due",
                            run_state::not_run, retry_after));
  }

  void Succeed(const attempt_ptr& attempt) {
    LogDecision(*attempt, "placed",
                "first engines to grant, by predicted first token");
    End(attempt, attempt->grant);
  }

  void Fail(const attempt_ptr& attempt, absl::Status error) {
    LogDecision(*attempt, "refused", AnswerFor(KindOf(error)).name);
    End(attempt, std::move(error));
  }

  void End(const attempt_ptr& attempt, absl::StatusOr<placement_grant> result) {
    attempt->ended = true;
    attempts.erase(attempt->request.request_id);
    attempt->done(std::move(result));
  }

  void LogDecision(const placement_attempt& attempt, absl::string_view result,
                   absl::string_view why) {
    LogEvent(
        log_level::info, "placement",
        {{"request_id", QString::fromStdString(attempt.request.request_id)},
         {"route", QString::fromStdString(attempt.request.route)},
         {"result", QString::fromUtf8(result.data(),
                                      static_cast<qsizetype>(result.size()))},
         {"why",
          QString::fromUtf8(why.data(), static_cast<qsizetype>(why.size()))},
         {"rounds", attempt.rounds},
         {"considered", attempt.considered},
         {"decode", QString::fromStdString(attempt.grant.decode.name)},
         {"prefill", QString::fromStdString(attempt.grant.prefill.name)}});
  }
};

placer::placer(peer_client& peers, engine_homes& local,
               placer_environment environment)
    : impl_(std::make_unique<impl>(peers, local, std::move(environment))) {}

placer::~placer() = default;

void placer::Place(const placement_request& request, callback done) {
  auto attempt = std::make_shared<placement_attempt>();
  attempt->request = request;
  attempt->done = std::move(done);
  attempt->grant.request_id = request.request_id;
  attempt->grant.owner = impl_->env.owner();
  impl_->attempts[request.request_id] = attempt;
  impl_->StartRound(attempt);
}

void placer::Abandon(absl::string_view request_id) {
  const auto it = impl_->attempts.find(request_id);
  if (it == impl_->attempts.end()) return;
  it->second->ended = true;
  impl_->attempts.erase(it);
}

void placer::Finish(const placement_outcome& outcome) {
  if (impl_->env.policy != placement_policy::homes) return;
  const bool was_unqueued =
      impl_->unqueued_prefills.erase(outcome.request_id) > 0;
  if (outcome.prefilled && was_unqueued && !outcome.prefill.name.empty()) {
    ReportPrefillTiming(impl_->homes,
                        {outcome.prefill.name, outcome.request_id,
                         outcome.prefill_tokens, outcome.prefill_time, false});
  }
  if (outcome.decode.name.empty()) return;
  ReleaseAtHome(impl_->homes, {outcome.decode.name,
                               outcome.request_id,
                               0,
                               {},
                               outcome.decode_finished});
}

}  // namespace anvilridge
