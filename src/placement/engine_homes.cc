#include "placement/engine_homes.h"

#include <QTimer>
#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "log/decision_log.h"
#include "placement/linked_prefill.h"
#include "placement/list_schedule.h"
#include "placement/place_queue.h"
#include "upstreams/engine_list.h"

namespace anvilridge {
namespace {

// What a refusal names while the first list is on its way.
constexpr absl::Duration kFirstListWait = absl::Milliseconds(500);
constexpr absl::Duration kSweepInterval = absl::Milliseconds(100);
constexpr absl::Duration kPromiseCheckInterval = absl::Seconds(1);
// Interval between tokens that predictions assume before any is learned.
constexpr absl::Duration kAssumedTokenInterval = absl::Milliseconds(25);

struct homed_engine {
  decode_ledger decode;
  prefill_ledger prefill;
  link_ledger links;
  bool listing = false;
  absl::Time listed = absl::InfinitePast();
  // When this daemon took the engine up.
  absl::Time homed = absl::InfinitePast();
  // Whether a request there waits for its cancel.
  bool watching_orphan = false;
  listed_requests requests;
  // Asks that wait for the first list.
  std::vector<std::function<void()>> waiting;
  place_queue queue;
  // Callbacks of the asks that are queued, by request.
  std::map<std::string, engine_homes::decode_callback> queued;
};

promise_policy PolicyFor(const config_state& config, absl::string_view pool) {
  promise_policy policy;
  for (const auto& [name, route] : config.routes) {
    if (absl::string_view(route.decode_pool) != pool) continue;
    const bool bold = route.objective == pool_objective::goodput;
    policy.boldness = bold ? 0.8 : 0.5;
  }
  return policy;
}

// Adds what the configuration says of the ask's team.
decode_ask WithShare(decode_ask ask, const config_state& config) {
  const auto team = config.teams.find(ask.team);
  if (team == config.teams.end()) return ask;
  ask.weight = team->second.weight;
  ask.priority = team->second.priority;
  return ask;
}

}  // namespace

struct engine_homes::impl {
  using decode_callback = engine_homes::decode_callback;

  http_client& client;
  engine_homes_environment env;
  std::map<std::string, homed_engine, std::less<>> engines;
  std::vector<list_listener> listeners;
  std::unique_ptr<QTimer> sweep_timer;
  // By which the engines homed here were found.
  std::shared_ptr<const config_state> swept_config;
  uint64_t swept_version = 0;
  // Whether engines are homed here, by the live daemons of `swept_version`.
  absl::flat_hash_map<std::string, bool> home_known;
  absl::Time promises_checked = absl::InfinitePast();
  // Outlived by callbacks that check it.
  std::shared_ptr<char> alive = std::make_shared<char>();

  impl(http_client& http, engine_homes_environment environment)
      : client(http), env(std::move(environment)) {
    sweep_timer = RunEvery(kSweepInterval, [this] { Sweep(); });
  }

  homed_engine& EngineNamed(const upstream_config& upstream) {
    const auto [it, added] = engines.try_emplace(upstream.name);
    homed_engine& engine = it->second;
    if (added) engine.homed = env.now();
    engine.decode.slots = upstream.slots;
    engine.decode.pieces = upstream.pieces;
    return engine;
  }

  // Lists the engines that are due. Which engines are homed here is found anew
  // only when configuration or live daemons have changed: with thousands of
  // engines and hundreds of daemons it would take most of a core.
  void Sweep() {
    const std::shared_ptr<const config_state> config = env.config();
    if (!config) return;
    const uint64_t version = env.homes_version();
    if (version != swept_version) home_known.clear();
    if (config != swept_config || version != swept_version) FindHomed(*config);
    swept_config = config;
    swept_version = version;
    CheckPromises();
    ListDue(*config);
  }

  void CheckPromises() {
    const absl::Time now = env.now();
    if (now < promises_checked + kPromiseCheckInterval) return;
    promises_checked = now;
    for (auto& [name, engine] : engines) {
      ExpirePromises(engine.decode, env.owner_is_live, now);
    }
  }

  // Forgets engines that are homed elsewhere now, and takes up new ones.
  void FindHomed(const config_state& config) {
    for (const auto& [name, upstream] : config.upstreams) {
      if (!IsEngine(config, upstream)) continue;
      if (IsHome(name)) {
        EngineNamed(upstream);
      } else {
        Forget(name);
      }
    }
  }

  // A change of configuration moves no home, so what was found is kept.
  bool IsHome(const std::string& name) {
    const auto [it, added] = home_known.try_emplace(name, false);
    if (added) it->second = env.is_home(name);
    return it->second;
  }

  void ListDue(const config_state& config) {
    list_situation situation;
    situation.live_daemons = env.live_daemons();
    for (const auto& [name, engine] : engines) {
      situation.round_bytes += ListBytes(engine.requests.rows.size());
    }
    for (auto& [name, engine] : engines) {
      const auto upstream = config.upstreams.find(name);
      if (upstream == config.upstreams.end()) continue;
      AnswerQueue(config, upstream->second, engine);
      if (engine.listing) continue;
      situation.watching_orphan = engine.watching_orphan;
      situation.unsettled_since = std::max(env.daemon_lost(), engine.homed);
      situation.overdue = NextOverdue({}, engine.decode);
      const absl::Time due = NextList({}, situation, engine.listed);
      if (due <= env.now()) List(upstream->second);
    }
  }

  static bool IsEngine(const config_state& config,
                       const upstream_config& upstream) {
    const auto pool = config.pools.find(upstream.pool);
    return pool != config.pools.end() &&
           pool->second.role != pool_role::service;
  }

  void Forget(absl::string_view name) {
    const auto it = engines.find(name);
    if (it == engines.end() || !it->second.waiting.empty()) return;
    const auto queued = std::exchange(it->second.queued, {});
    engines.erase(it);
    for (const auto& [id, done] : queued) done(decode_answer());
  }

  void AnswerQueue(const config_state& config, const upstream_config& upstream,
                   homed_engine& engine) {
    const promise_policy policy = PolicyFor(config, upstream.pool);
    std::vector<std::pair<decode_callback, decode_answer>> calls;
    for (const queue_answer& one :
         ServeQueue(engine.queue, engine.decode, policy, env.now())) {
      LogQueueAnswer(upstream, one);
      auto queued = engine.queued.extract(one.request_id);
      if (queued) calls.emplace_back(std::move(queued.mapped()), one.answer);
    }
    for (const auto& [done, answer] : calls) done(answer);
  }

  static void LogQueueAnswer(const upstream_config& upstream,
                             const queue_answer& one) {
    LogEvent(log_level::info, "place_queue",
             {{"request_id", QString::fromStdString(one.request_id)},
              {"upstream", QString::fromStdString(upstream.name)},
              {"team", QString::fromStdString(one.team)},
              {"priority", one.priority},
              {"waited_ms", absl::ToDoubleMilliseconds(one.waited)},
              {"result", one.answer.granted ? "granted" : "waited too long"}});
  }

  void List(const upstream_config& upstream) {
    homed_engine& engine = EngineNamed(upstream);
    engine.listing = true;
    engine.listed = env.now();
    // A small deployment has bandwidth for exact token counts.
    const bool whole = env.live_daemons() <= list_policy{}.small_deployment;
    const std::string since =
        whole ? "" : VersionToAsk(engine.requests, env.now());
    const std::weak_ptr<char> guard = alive;
    ListEngineChanges(
        client, upstream.address, since,
        [this, guard, upstream](const absl::StatusOr<engine_list>& answer) {
          if (!guard.expired()) TakeList(upstream, answer);
        });
  }

  void TakeRows(const upstream_config& upstream, homed_engine& engine,
                const engine_list& list) {
    const auto listed =
        TakeEngineList(engine.requests, list, kAssumedTokenInterval, env.now());
    if (!listed.ok()) return;
    MergeDecodeList(engine.decode, *listed, kAssumedTokenInterval,
                    engine.listed, env.now());
    MergePrefillList(engine.prefill, *listed, env.now());
    for (const list_listener& listener : listeners) listener(upstream, *listed);
  }

  void TakeList(const upstream_config& upstream,
                const absl::StatusOr<engine_list>& answer) {
    const auto it = engines.find(upstream.name);
    if (it == engines.end()) return;
    homed_engine& engine = it->second;
    engine.listing = false;
    engine.watching_orphan = false;
    if (answer.ok()) TakeRows(upstream, engine, *answer);
    const std::vector<std::function<void()>> waiting =
        std::exchange(engine.waiting, {});
    for (const std::function<void()>& task : waiting) task();
  }

  // Runs `task` once the engine's ledger has seen a list, or failed to get one.
  void WithLedger(const upstream_config& upstream, std::function<void()> task) {
    homed_engine& engine = EngineNamed(upstream);
    if (engine.decode.listed_at != absl::InfinitePast()) {
      task();
      return;
    }
    engine.waiting.push_back(std::move(task));
    if (!engine.listing) List(upstream);
  }

  absl::StatusOr<upstream_config> Find(absl::string_view name) const {
    const std::shared_ptr<const config_state> config = env.config();
    if (!config) {
      return MakeError(error_kind::not_ready, "no configuration in force");
    }
    const auto it = config->upstreams.find(name);
    if (it == config->upstreams.end() || it->second.draining) {
      return MakeError(error_kind::no_upstream,
                       absl::StrCat("engine ", name, " takes no new work"));
    }
    return it->second;
  }

  void AnswerDecode(const decode_ask_message& message,
                    const upstream_config& upstream, decode_callback done) {
    homed_engine& engine = EngineNamed(upstream);
    decode_answer answer;
    if (engine.decode.listed_at == absl::InfinitePast()) {
      answer.free_in = kFirstListWait;
      return done(answer);
    }
    const std::shared_ptr<const config_state> config = env.config();
    const promise_policy policy = PolicyFor(*config, upstream.pool);
    const auto now_or_later =
        AskOrQueue(engine.queue, engine.decode, WithShare(message.ask, *config),
                   policy, env.now());
    if (now_or_later) return done(*now_or_later);
    engine.queued[message.ask.request_id] = std::move(done);
  }
};

engine_homes::engine_homes(http_client& client,
                           engine_homes_environment environment)
    : impl_(std::make_unique<impl>(client, std::move(environment))) {}

engine_homes::~engine_homes() = default;

void engine_homes::RegisterPeerHandlers(peer_server& server) {
  server.Handle(kAskDecodeMethod, [this](const QCborMap& request,
                                         const peer_responder& respond) {
    const absl::StatusOr<decode_ask_message> message = ParseDecodeAsk(request);
    if (!message.ok()) return respond(message.status());
    const absl::Status carried = TakeCarried(request);
    if (!carried.ok()) return respond(carried);
    Ask(*message, [respond, form = FormOf(request)](
                      absl::StatusOr<decode_answer> answer) {
      if (!answer.ok()) return respond(answer.status());
      respond(ToCbor(*answer, form));
    });
  });
  server.Handle(kAskPrefillMethod,
                [this](const QCborMap& request, const peer_responder& respond) {
                  const absl::StatusOr<prefill_ask_message> message =
                      ParsePrefillAsk(request);
                  if (!message.ok()) return respond(message.status());
                  const absl::Status carried = TakeCarried(request);
                  if (!carried.ok()) return respond(carried);
                  Ask(*message, [respond, form = FormOf(request)](
                                    absl::StatusOr<prefill_answer> answer) {
                    if (!answer.ok()) return respond(answer.status());
                    respond(ToCbor(*answer, form));
                  });
                });
  server.Handle(kReleaseMethod, [this](const QCborMap& request,
                                       const peer_responder& respond) {
    const absl::StatusOr<release_message> message = ParseRelease(request);
    if (!message.ok()) return respond(message.status());
    const absl::Status carried = TakeCarried(request);
    if (!carried.ok()) return respond(carried);
    Release(*message);
    respond(QCborMap());
  });
}

absl::Status engine_homes::TakeCarried(const QCborMap& request) {
  const auto releases = ParseCarried(request);
  if (!releases.ok()) return releases.status();
  for (const release_message& release : *releases) Release(release);
  return absl::OkStatus();
}

void engine_homes::Ask(const decode_ask_message& message,
                       decode_callback done) {
  const absl::StatusOr<upstream_config> upstream = impl_->Find(message.engine);
  if (!upstream.ok()) return done(upstream.status());
  impl_->WithLedger(*upstream, [this, message, done = std::move(done)] {
    const auto found = impl_->Find(message.engine);
    if (!found.ok()) return done(found.status());
    impl_->AnswerDecode(message, *found, done);
  });
}

void engine_homes::Ask(const prefill_ask_message& message,
                       const prefill_callback& done) {
  const absl::StatusOr<upstream_config> upstream = impl_->Find(message.engine);
  if (!upstream.ok()) return done(upstream.status());
  homed_engine& engine = impl_->EngineNamed(*upstream);
  const link_share share =
      ShareOfLink(*impl_->env.config(), *upstream, message.ask.to_domain);
  done(AskPrefillOverLink(engine.prefill, engine.links, message.ask, share,
                          impl_->env.now()));
}

void engine_homes::Release(const release_message& message) {
  const auto it = impl_->engines.find(message.engine);
  if (it == impl_->engines.end()) return;
  if (message.finished) {
    LearnDecodeUse(it->second.decode, message.request_id, impl_->env.now());
  }
  ReleaseDecode(it->second.decode, message.request_id);
  ReleasePrefill(it->second.prefill, message.request_id);
  ReleaseTransfer(it->second.links, message.request_id);
  LearnPrefillRate(it->second.prefill, message.prefill_tokens,
                   message.prefill_time);
  if (it->second.queue.asks.empty()) return;
  const auto upstream = impl_->Find(message.engine);
  if (!upstream.ok()) return;
  impl_->AnswerQueue(*impl_->env.config(), *upstream, it->second);
}

void engine_homes::WatchOrphan(absl::string_view engine) {
  const auto it = impl_->engines.find(engine);
  if (it != impl_->engines.end()) it->second.watching_orphan = true;
}

void engine_homes::ForEachHold(
    const std::function<void(absl::string_view engine, absl::string_view id,
                             const decode_hold& hold)>& visit) const {
  for (const auto& [name, engine] : impl_->engines) {
    for (const auto& [id, hold] : engine.decode.holds) visit(name, id, hold);
  }
}

void engine_homes::OnList(list_listener listener) {
  impl_->listeners.push_back(std::move(listener));
}

}  // namespace anvilridge
