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

// Decode engines asked in one round.
constexpr size_t kDecodeAsksPerRound = 4;
// A request that has waited so long at one home looks at the others again.
constexpr absl::Duration kLongestWaitAtHome = absl::Seconds(1);
// Share of the first-token target that is left for what takes longer than
// predicted.
constexpr double kWaitMarginShare = 0.15;
constexpr absl::Duration kShortestPause = absl::Milliseconds(5);
constexpr absl::Duration kLongestPause = absl::Milliseconds(100);
constexpr absl::Duration kShortestRetryAfter = absl::Seconds(1);
// Assumed until homes have said better.
constexpr absl::Duration kAssumedTransfer = absl::Milliseconds(20);
constexpr absl::Duration kAssumedTokenInterval = absl::Milliseconds(25);

using engine_list = std::vector<const upstream_config*>;

// One placement in progress.
struct attempt {
  place_request request;
  placer::callback done;
  std::shared_ptr<const config_state> config;
  const route_config* route = nullptr;
  engine_list decode_order;
  size_t decode_next = 0;
  // Engine that named the shortest wait in this round.
  const upstream_config* shortest_queue = nullptr;
  bool waited = false;
  int rounds = 0;
  // Usable prefill engines, and those of them to ask, best first.
  engine_list prefill_engines;
  std::vector<prefill_option> prefill_options;
  size_t prefill_next = 0;
  place_grant grant;
  // Shortest wait that a home named in this round.
  absl::Duration free_in = absl::InfiniteDuration();
  QJsonArray considered;
  bool over = false;
};

using attempt_ptr = std::shared_ptr<attempt>;

placed_engine PlacedEngine(const upstream_config& upstream) {
  return {upstream.name, upstream.address, upstream.failure_domain};
}

}  // namespace

struct placer::impl {
  placer_environment env;
  home_calls homes;
  QObject context;
  std::map<std::string, attempt_ptr, std::less<>> attempts;
  engine_hints decode_hints;
  prefill_knowledge prefills;
  // Placed requests whose prefill was to start at once: their time teaches the
  // engine's rate.
  std::set<std::string, std::less<>> unqueued;
  std::mt19937_64 random{std::random_device{}()};
  baseline_state baseline;
  std::unique_ptr<load_reports> reports;
  std::unique_ptr<cache_watch> caches;

  impl(peer_client& peers, engine_homes& local, placer_environment environment)
      : env(std::move(environment)),
        homes{&peers, &local, env.home_address, {}, {}} {
    if (env.policy == placement_policy::least_loaded) {
      reports = std::make_unique<load_reports>(*env.client, env.config);
    }
    prefills.prefix_affinity =
        env.prefix_affinity && env.policy == placement_policy::homes;
    if (!prefills.prefix_affinity) return;
    const cache_watch_environment watch{env.config, env.live_daemons, env.now};
    caches =
        std::make_unique<cache_watch>(*env.client, prefills.prefixes, watch);
  }

  engine_list Usable(absl::string_view pool, const attempt& a,
                     absl::Span<const std::string> avoid) const {
    engine_list candidates = Candidates(*a.config, pool, avoid);
    std::erase_if(candidates, [this](const upstream_config* engine) {
      return !env.healthy(engine->name);
    });
    return candidates;
  }

  // An engine that failed the request before is asked again when no other is
  // left; the attempts are counted by who asks.
  engine_list Engines(absl::string_view pool, const attempt& a) {
    engine_list candidates = Usable(pool, a, a.request.avoid);
    if (candidates.empty()) candidates = Usable(pool, a, {});
    return ThinReturning(std::move(candidates), env.health(), random);
  }

  // The decode engine's failure domain is empty while there is none yet.
  std::vector<prefill_option> OptionsFor(const attempt& a) {
    const prefill_need need{a.request.prompt_tokens,
                            a.grant.decode.failure_domain,
                            a.request.prefix_hashes};
    return PrefillOptions(*a.config, a.prefill_engines, need, prefills,
                          env.now(), random);
  }

  void StartRound(const attempt_ptr& a) {
    a->config = env.config();
    if (!a->config) {
      return Fail(a, MakeError(error_kind::not_ready, "no configuration"));
    }
    const auto route = a->config->routes.find(a->request.route);
    if (route == a->config->routes.end()) {
      return Fail(a, MakeError(error_kind::unknown_route, a->request.route));
    }
    a->route = &route->second;
    a->decode_order = AskingOrder(Engines(a->route->decode_pool, *a),
                                  decode_hints, env.now(), random);
    a->grant.decode = placed_engine();
    a->prefill_engines = Engines(a->route->prefill_pool, *a);
    a->prefill_options = OptionsFor(*a);
    a->decode_next = 0;
    a->free_in = absl::InfiniteDuration();
    a->shortest_queue = nullptr;
    a->waited = false;
    a->considered = QJsonArray();
    ++a->rounds;
    if (a->decode_order.empty() || a->prefill_options.empty()) {
      return Fail(a, MakeError(error_kind::no_upstream,
                               absl::StrCat("no engine takes work for route ",
                                            a->request.route)));
    }
    if (env.policy != placement_policy::homes) return ChooseByBaseline(a);
    AskNextDecode(a);
  }

  void ChooseByBaseline(const attempt_ptr& a) {
    static const engine_loads kNoLoads;
    const engine_loads& loads = reports ? reports->Loads() : kNoLoads;
    const bool by_load = env.policy == placement_policy::least_loaded;
    const engine_list decode =
        by_load ? LeastLoadedOrder(a->decode_order, loads, random)
                : RoundRobinOrder(a->decode_order, baseline.decode_turn);
    const engine_list prefill =
        by_load ? LeastLoadedOrder(a->prefill_engines, loads, random)
                : RoundRobinOrder(a->prefill_engines, baseline.prefill_turn);
    a->grant.decode = PlacedEngine(*decode.front());
    a->grant.prefill = PlacedEngine(*prefill.front());
    a->grant.decode_fallbacks.clear();
    for (size_t i = 1; i < decode.size(); ++i) {
      a->grant.decode_fallbacks.push_back(PlacedEngine(*decode[i]));
    }
    a->grant.predicted_first_token = a->request.first_token_due - env.now();
    LogDecision(*a, "placed", by_load ? "least loaded" : "round robin");
    End(a, a->grant);
  }

  static absl::Duration PrefillEstimate(const attempt& a) {
    const prefill_option& best = a.prefill_options.front();
    return best.wait + best.work;
  }

  void AskNextDecode(const attempt_ptr& a) {
    const size_t most = std::min(kDecodeAsksPerRound, a->decode_order.size());
    if (a->decode_next >= most) return WaitForDecode(a);
    AskDecodeAt(a, *a->decode_order[a->decode_next++], absl::ZeroDuration());
  }

  // Queues at the engine with the shortest wait, if it serves the request.
  void WaitForDecode(const attempt_ptr& a) {
    const absl::Duration left = TimeToWait(*a);
    const bool hopeless = a->shortest_queue == nullptr || a->waited;
    if (hopeless || a->free_in > left) {
      return EndRound(a, error_kind::overloaded);
    }
    a->waited = true;
    AskDecodeAt(a, *a->shortest_queue, std::min(left, kLongestWaitAtHome));
  }

  // Time that the request may wait for a place and still be served in time.
  absl::Duration TimeToWait(const attempt& a) const {
    const absl::Duration margin =
        kWaitMarginShare * a.route->first_token_target;
    return a.request.first_token_due - env.now() - PrefillEstimate(a) -
           kAssumedTransfer - kAssumedTokenInterval - margin;
  }

  void AskDecodeAt(const attempt_ptr& a, const upstream_config& engine,
                   absl::Duration may_wait) {
    decode_ask_message message;
    message.engine = engine.name;
    message.ask.request_id = a->request.request_id;
    message.ask.owner = a->grant.owner;
    message.ask.team = a->request.team;
    message.ask.pieces =
        PiecesFor(a->request.prompt_tokens + a->request.max_tokens);
    message.ask.needed_in = PrefillEstimate(*a) + kAssumedTransfer;
    message.ask.expected_use = a->request.max_tokens * kAssumedTokenInterval;
    message.ask.may_wait = may_wait;
    a->grant.pieces = message.ask.pieces;
    AskHome(homes, message,
            [this, a, &engine](absl::StatusOr<decode_answer> answer) {
              TakeDecodeAnswer(a, engine, std::move(answer));
            });
  }

  void TakeDecodeAnswer(const attempt_ptr& a, const upstream_config& engine,
                        absl::StatusOr<decode_answer> answer) {
    if (a->over) {
      if (answer.ok() && answer->granted) FreeDecode(*a, engine);
      return;
    }
    QJsonObject seen{{"decode", QString::fromStdString(engine.name)}};
    if (!answer.ok()) {
      seen["answer"] =
          QString::fromUtf8(AnswerFor(KindOf(answer.status())).name.data());
      a->considered.append(seen);
      return AskNextDecode(a);
    }
    decode_hints[engine.name] = {answer->free_slots, answer->free_in,
                                 env.now()};
    seen["free_slots"] = answer->free_slots;
    seen["granted"] = answer->granted;
    a->considered.append(seen);
    if (!answer->granted) {
      if (answer->free_in < a->free_in) a->shortest_queue = &engine;
      a->free_in = std::min(a->free_in, answer->free_in);
      return AskNextDecode(a);
    }
    a->grant.decode = PlacedEngine(engine);
    a->prefill_options = OptionsFor(*a);
    a->prefill_next = 0;
    AskNextPrefill(a);
  }

  void FreeDecode(const attempt& a, const upstream_config& engine) {
    ReleaseAtHome(homes, {engine.name, a.request.request_id, 0, {}, false});
  }

  void AskNextPrefill(const attempt_ptr& a) {
    if (a->prefill_next >= a->prefill_options.size()) {
      ReleaseAtHome(
          homes, {a->grant.decode.name, a->request.request_id, 0, {}, false});
      return EndRound(a, error_kind::latency_unattainable);
    }
    const prefill_option option = a->prefill_options[a->prefill_next++];
    AskHome(homes,
            MakePrefillAsk(a->request, option, a->grant.owner,
                           a->grant.decode.failure_domain,
                           a->request.first_token_due - env.now()),
            [this, a, option](absl::StatusOr<prefill_answer> answer) {
              TakePrefillAnswer(a, option, std::move(answer));
            });
  }

  void TakePrefillAnswer(const attempt_ptr& a, const prefill_option& option,
                         absl::StatusOr<prefill_answer> answer) {
    if (a->over) {
      if (answer.ok() && answer->granted) FreeDecode(*a, *option.engine);
      ReleaseAtHome(
          homes, {a->grant.decode.name, a->request.request_id, 0, {}, false});
      return;
    }
    a->considered.append(ConsideredRow(option, answer));
    if (!answer.ok()) return AskNextPrefill(a);
    LearnPrefill(prefills, option, a->request, *answer, env.now());
    if (!answer->granted) {
      a->free_in = std::min(a->free_in, answer->wait);
      return AskNextPrefill(a);
    }
    a->grant.prefill = PlacedEngine(*option.engine);
    if (answer->wait == absl::ZeroDuration()) {
      unqueued.insert(a->request.request_id);
    }
    a->grant.predicted_first_token =
        answer->wait + answer->work + option.transfer;
    Succeed(a);
  }

  // Looks again for a place that is predicted to come free in time, else gives
  // up.
  void EndRound(const attempt_ptr& a, error_kind kind) {
    // A wait that is sure to be too long is refused at once.
    if (a->free_in < TimeToWait(*a)) {
      const absl::Duration pause =
          std::clamp(a->free_in, kShortestPause, kLongestPause);
      RunAfter(&context, pause, [this, a] {
        if (!a->over) StartRound(a);
      });
      return;
    }
    const absl::Duration retry_after =
        a->free_in == absl::InfiniteDuration()
            ? kShortestRetryAfter
            : std::max(kShortestRetryAfter, a->free_in);
    Fail(a, MakeError(kind, "no place before the first token is due",
                      run_state::not_run, retry_after));
  }

  void Succeed(const attempt_ptr& a) {
    LogDecision(*a, "placed", "first grant by predicted first token");
    End(a, a->grant);
  }

  void Fail(const attempt_ptr& a, absl::Status error) {
    LogDecision(*a, "refused", AnswerFor(KindOf(error)).name);
    End(a, std::move(error));
  }

  void End(const attempt_ptr& a, absl::StatusOr<place_grant> result) {
    a->over = true;
    attempts.erase(a->request.request_id);
    a->done(std::move(result));
  }

  void LogDecision(const attempt& a, absl::string_view result,
                   absl::string_view why) {
    LogEvent(
        log_level::info, "placement",
        {{"request_id", QString::fromStdString(a.request.request_id)},
         {"route", QString::fromStdString(a.request.route)},
         {"result", QString::fromUtf8(result.data(),
                                      static_cast<qsizetype>(result.size()))},
         {"why",
          QString::fromUtf8(why.data(), static_cast<qsizetype>(why.size()))},
         {"rounds", a.rounds},
         {"considered", a.considered},
         {"decode", QString::fromStdString(a.grant.decode.name)},
         {"prefill", QString::fromStdString(a.grant.prefill.name)}});
  }
};

placer::placer(peer_client& peers, engine_homes& local,
               placer_environment environment)
    : impl_(std::make_unique<impl>(peers, local, std::move(environment))) {}

placer::~placer() = default;

void placer::Place(const place_request& request, callback done) {
  auto a = std::make_shared<attempt>();
  a->request = request;
  a->done = std::move(done);
  a->grant.request_id = request.request_id;
  a->grant.owner = impl_->env.owner();
  impl_->attempts[request.request_id] = a;
  impl_->StartRound(a);
}

void placer::Abandon(absl::string_view request_id) {
  const auto it = impl_->attempts.find(request_id);
  if (it == impl_->attempts.end()) return;
  it->second->over = true;
  impl_->attempts.erase(it);
}

void placer::Finish(const place_outcome& outcome) {
  if (impl_->env.policy != placement_policy::homes) return;
  const bool teaches = impl_->unqueued.erase(outcome.request_id) > 0;
  if (outcome.prefilled && teaches && !outcome.prefill.name.empty()) {
    TeachHome(impl_->homes,
              {outcome.prefill.name, outcome.request_id, outcome.prefill_tokens,
               outcome.prefill_time, false});
  }
  if (outcome.decode.name.empty()) return;
  ReleaseAtHome(impl_->homes, {outcome.decode.name,
                               outcome.request_id,
                               0,
                               {},
                               outcome.decode_finished});
}

}  // namespace anvilridge
