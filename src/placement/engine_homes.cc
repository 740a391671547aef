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

// Retry delay of a refusal when the engine's first list could not be fetched.
constexpr absl::Duration kFirstListRetryDelay = absl::Milliseconds(500);
constexpr absl::Duration kSweepInterval = absl::Milliseconds(100);
constexpr absl::Duration kReservationCheckInterval = absl::Seconds(1);
// Time between two tokens of a request that predictions assume, as none is
// measured here.
constexpr absl::Duration kAssumedTokenInterval = absl::Milliseconds(25);

// State that this daemon keeps as the home of one engine.
struct homed_engine {
  decode_ledger decode;
  prefill_ledger prefill;
  link_ledger links;
  bool list_in_flight = false;
  // When the last list was requested; infinite past for never.
  absl::Time list_requested_at = absl::InfinitePast();
  // When this daemon took over the engine.
  absl::Time homed_since = absl::InfinitePast();
  // Whether a request at the engine waits to be cancelled; reset by the next
  // list.
  bool has_orphan = false;
  // Requests at the engine as of its last list.
  listed_requests known_requests;
  // Reservation requests that wait for the engine's first list.
  std::vector<std::function<void()>> waiting_for_list;
  place_queue queue;
  // Callbacks of the requests in `queue`, by request id.
  std::map<std::string, engine_homes::decode_callback> queued_callbacks;
};

// Returns the overcommit policy of a decode pool, by the objective of the
// routes that use the pool.
overcommit_policy OvercommitPolicyFor(const config_state& config,
                                      absl::string_view pool) {
  overcommit_policy policy;
  for (const auto& [name, route] : config.routes) {
    if (absl::string_view(route.decode_pool) != pool) continue;
    const bool favors_goodput = route.objective == pool_objective::goodput;
    policy.overcommit = favors_goodput ? 0.8 : 0.5;
  }
  return policy;
}

// Returns `request` with the weight and priority that its team has in the
// configuration.
reserve_decode_request WithTeamSettings(reserve_decode_request request,
                                        const config_state& config) {
  const auto team = config.teams.find(request.team);
  if (team == config.teams.end()) return request;
  request.weight = team->second.weight;
  request.priority = team->second.priority;
  return request;
}

}  // namespace

struct engine_homes::impl {
  using decode_callback = engine_homes::decode_callback;

  http_client& client;
  engine_homes_environment env;
  std::map<std::string, homed_engine, std::less<>> engines;
  std::vector<list_listener> listeners;
  std::unique_ptr<QTimer> sweep_timer;
  // Configuration and version of the homes at the last update of `engines`.
  std::shared_ptr<const config_state> last_config;
  uint64_t last_version = 0;
  // Results of `env.is_home` by engine, valid for `last_version`.
  absl::flat_hash_map<std::string, bool> home_cache;
  absl::Time reservations_checked = absl::InfinitePast();
  // Expires with this object. Callbacks that may run later check it through a
  // weak pointer.
  std::shared_ptr<char> liveness_token = std::make_shared<char>();

  impl(http_client& http, engine_homes_environment environment)
      : client(http), env(std::move(environment)) {
    sweep_timer = RunEvery(kSweepInterval, [this] { Sweep(); });
  }

  // Returns the state of the engine, added if absent, with its configured
  // capacity.
  homed_engine& EnsureEngine(const upstream_config& upstream) {
    const auto [it, added] = engines.try_emplace(upstream.name);
    homed_engine& engine = it->second;
    if (added) engine.homed_since = env.now();
    engine.decode.slots = upstream.slots;
    engine.decode.pieces = upstream.pieces;
    return engine;
  }

  // Does the periodic work for all engines of this home. `engines` is updated
  // only when the configuration or the live daemons have changed: with
  // thousands of engines and hundreds of daemons, an update in every sweep
  // would take most of a core.
  void Sweep() {
    const std::shared_ptr<const config_state> config = env.config();
    if (!config) return;
    const uint64_t version = env.homes_version();
    if (version != last_version) home_cache.clear();
    if (config != last_config || version != last_version) UpdateHomes(*config);
    last_config = config;
    last_version = version;
    CheckReservations();
    ListDueEngines(*config);
  }

  // Removes expired reservations, every `kReservationCheckInterval`.
  void CheckReservations() {
    const absl::Time now = env.now();
    if (now < reservations_checked + kReservationCheckInterval) return;
    reservations_checked = now;
    for (auto& [name, engine] : engines) {
      ExpireReservations(engine.decode, env.owner_is_live, now);
    }
  }

  // Adds the engines whose home is now this daemon and removes the engines
  // whose home is another.
  void UpdateHomes(const config_state& config) {
    for (const auto& [name, upstream] : config.upstreams) {
      if (!IsEngine(config, upstream)) continue;
      if (IsHome(name)) {
        EnsureEngine(upstream);
      } else {
        RemoveEngine(name);
      }
    }
  }

  // Returns whether this daemon is the home of engine `name`. Cached results
  // stay valid when the configuration changes, because that moves no home.
  bool IsHome(const std::string& name) {
    const auto [it, added] = home_cache.try_emplace(name, false);
    if (added) it->second = env.is_home(name);
    return it->second;
  }

  // Serves the queue of each engine and requests a list from each engine that
  // is due for one.
  void ListDueEngines(const config_state& config) {
    list_conditions situation;
    situation.live_daemons = env.live_daemons();
    for (const auto& [name, engine] : engines) {
      situation.round_bytes +=
          EstimateListBytes(engine.known_requests.rows.size());
    }
    for (auto& [name, engine] : engines) {
      const auto upstream = config.upstreams.find(name);
      if (upstream == config.upstreams.end()) continue;
      ServeEngineQueue(config, upstream->second, engine);
      if (engine.list_in_flight) continue;
      situation.has_orphan = engine.has_orphan;
      situation.unsettled_since =
          std::max(env.last_daemon_loss(), engine.homed_since);
      situation.first_overdue_at = NextOverdueTime({}, engine.decode);
      const absl::Time due =
          NextListTime({}, situation, engine.list_requested_at);
      if (due <= env.now()) RequestList(upstream->second);
    }
  }

  static bool IsEngine(const config_state& config,
                       const upstream_config& upstream) {
    const auto pool = config.pools.find(upstream.pool);
    return pool != config.pools.end() &&
           pool->second.role != pool_role::service;
  }

  // Removes an engine and refuses its queued requests, unless requests still
  // wait for the engine's first list.
  void RemoveEngine(absl::string_view name) {
    const auto it = engines.find(name);
    if (it == engines.end() || !it->second.waiting_for_list.empty()) return;
    const auto callbacks = std::exchange(it->second.queued_callbacks, {});
    engines.erase(it);
    for (const auto& [id, done] : callbacks) done(reserve_decode_reply());
  }

  // Replies to the queued requests that get a place and to those whose deadline
  // has passed.
  void ServeEngineQueue(const config_state& config,
                        const upstream_config& upstream, homed_engine& engine) {
    const overcommit_policy policy = OvercommitPolicyFor(config, upstream.pool);
    std::vector<std::pair<decode_callback, reserve_decode_reply>> calls;
    for (const queue_reply& one :
         ServeQueue(engine.queue, engine.decode, policy, env.now())) {
      LogQueueReply(upstream, one);
      auto node = engine.queued_callbacks.extract(one.request_id);
      if (node) calls.emplace_back(std::move(node.mapped()), one.reply);
    }
    for (const auto& [done, reply] : calls) done(reply);
  }

  static void LogQueueReply(const upstream_config& upstream,
                            const queue_reply& one) {
    LogEvent(log_level::info, "place_queue",
             {{"request_id", QString::fromStdString(one.request_id)},
              {"upstream", QString::fromStdString(upstream.name)},
              {"team", QString::fromStdString(one.team)},
              {"priority", one.priority},
              {"waited_ms", absl::ToDoubleMilliseconds(one.waited)},
              {"result", one.reply.granted ? "granted" : "waited too long"}});
  }

  void RequestList(const upstream_config& upstream) {
    homed_engine& engine = EnsureEngine(upstream);
    engine.list_in_flight = true;
    engine.list_requested_at = env.now();
    // Full lists have exact token counts; a small deployment has the bandwidth
    // for them.
    const bool full_list =
        env.live_daemons() <= list_policy{}.small_deployment_daemons;
    const std::string since =
        full_list ? "" : VersionToAsk(engine.known_requests, env.now());
    const std::weak_ptr<char> guard = liveness_token;
    ListEngineChanges(
        client, upstream.address, since,
        [this, guard, upstream](const absl::StatusOr<engine_list>& reply) {
          if (!guard.expired()) OnListReply(upstream, reply);
        });
  }

  void ApplyList(const upstream_config& upstream, homed_engine& engine,
                 const engine_list& list) {
    const auto listed = TakeEngineList(engine.known_requests, list,
                                       kAssumedTokenInterval, env.now());
    if (!listed.ok()) return;
    MergeDecodeList(engine.decode, *listed, kAssumedTokenInterval,
                    engine.list_requested_at, env.now());
    MergePrefillList(engine.prefill, *listed, env.now());
    for (const list_listener& listener : listeners) listener(upstream, *listed);
  }

  void OnListReply(const upstream_config& upstream,
                   const absl::StatusOr<engine_list>& reply) {
    const auto it = engines.find(upstream.name);
    if (it == engines.end()) return;
    homed_engine& engine = it->second;
    engine.list_in_flight = false;
    engine.has_orphan = false;
    if (reply.ok()) ApplyList(upstream, engine, *reply);
    const std::vector<std::function<void()>> tasks =
        std::exchange(engine.waiting_for_list, {});
    for (const std::function<void()>& task : tasks) task();
  }

  // Runs `task` once a list of the engine has been merged, or an attempt to
  // fetch one has failed.
  void RunWhenListed(const upstream_config& upstream,
                     std::function<void()> task) {
    homed_engine& engine = EnsureEngine(upstream);
    if (engine.decode.list_merged_at != absl::InfinitePast()) {
      task();
      return;
    }
    engine.waiting_for_list.push_back(std::move(task));
    if (!engine.list_in_flight) RequestList(upstream);
  }

  absl::StatusOr<upstream_config> FindEngine(absl::string_view name) const {
    const std::shared_ptr<const config_state> config = env.config();
    if (!config) {
      return MakeError(error_kind::not_ready, "no configuration in force");
    }
    const auto it = config->upstreams.find(name);
    if (it == config->upstreams.end() || it->second.draining) {
      return MakeError(
          error_kind::no_upstream,
          absl::StrCat("engine ", name, " is not configured or is draining"));
    }
    return it->second;
  }

  // Replies to the request in `message`, now or after it was queued. Refuses it
  // if no list of the engine has been merged yet.
  void ReserveOrQueueDecode(const reserve_decode_message& message,
                            const upstream_config& upstream,
                            decode_callback done) {
    homed_engine& engine = EnsureEngine(upstream);
    reserve_decode_reply reply;
    if (engine.decode.list_merged_at == absl::InfinitePast()) {
      reply.free_in = kFirstListRetryDelay;
      return done(reply);
    }
    const std::shared_ptr<const config_state> config = env.config();
    const overcommit_policy policy =
        OvercommitPolicyFor(*config, upstream.pool);
    const auto immediate_reply = ReserveOrQueue(
        engine.queue, engine.decode, WithTeamSettings(message.request, *config),
        policy, env.now());
    if (immediate_reply) return done(*immediate_reply);
    engine.queued_callbacks[message.request.request_id] = std::move(done);
  }
};

engine_homes::engine_homes(http_client& client,
                           engine_homes_environment environment)
    : impl_(std::make_unique<impl>(client, std::move(environment))) {}

engine_homes::~engine_homes() = default;

void engine_homes::RegisterPeerHandlers(peer_server& server) {
  server.Handle(kReserveDecodeMethod, [this](const QCborMap& request,
                                             const peer_responder& respond) {
    const absl::StatusOr<reserve_decode_message> message =
        ParseReserveDecode(request);
    if (!message.ok()) return respond(message.status());
    const absl::Status applied = ApplyAttachedReleases(request);
    if (!applied.ok()) return respond(applied);
    Reserve(*message, [respond, form = KeyFormOf(request)](
                          absl::StatusOr<reserve_decode_reply> reply) {
      if (!reply.ok()) return respond(reply.status());
      respond(ToCbor(*reply, form));
    });
  });
  server.Handle(kReservePrefillMethod, [this](const QCborMap& request,
                                              const peer_responder& respond) {
    const absl::StatusOr<reserve_prefill_message> message =
        ParseReservePrefill(request);
    if (!message.ok()) return respond(message.status());
    const absl::Status applied = ApplyAttachedReleases(request);
    if (!applied.ok()) return respond(applied);
    Reserve(*message, [respond, form = KeyFormOf(request)](
                          absl::StatusOr<reserve_prefill_reply> reply) {
      if (!reply.ok()) return respond(reply.status());
      respond(ToCbor(*reply, form));
    });
  });
  server.Handle(kReleaseMethod, [this](const QCborMap& request,
                                       const peer_responder& respond) {
    const absl::StatusOr<release_message> message = ParseRelease(request);
    if (!message.ok()) return respond(message.status());
    const absl::Status applied = ApplyAttachedReleases(request);
    if (!applied.ok()) return respond(applied);
    Release(*message);
    respond(QCborMap());
  });
}

absl::Status engine_homes::ApplyAttachedReleases(const QCborMap& request) {
  const auto releases = ParseAttachedReleases(request);
  if (!releases.ok()) return releases.status();
  for (const release_message& release : *releases) Release(release);
  return absl::OkStatus();
}

void engine_homes::Reserve(const reserve_decode_message& message,
                           decode_callback done) {
  const absl::StatusOr<upstream_config> upstream =
      impl_->FindEngine(message.engine);
  if (!upstream.ok()) return done(upstream.status());
  impl_->RunWhenListed(*upstream, [this, message, done = std::move(done)] {
    const auto found = impl_->FindEngine(message.engine);
    if (!found.ok()) return done(found.status());
    impl_->ReserveOrQueueDecode(message, *found, done);
  });
}

void engine_homes::Reserve(const reserve_prefill_message& message,
                           const prefill_callback& done) {
  const absl::StatusOr<upstream_config> upstream =
      impl_->FindEngine(message.engine);
  if (!upstream.ok()) return done(upstream.status());
  homed_engine& engine = impl_->EnsureEngine(*upstream);
  const link_share share = ComputeLinkShare(*impl_->env.config(), *upstream,
                                            message.request.to_domain);
  done(ReservePrefillOverLink(engine.prefill, engine.links, message.request,
                              share, impl_->env.now()));
}

void engine_homes::Release(const release_message& message) {
  const auto it = impl_->engines.find(message.engine);
  if (it == impl_->engines.end()) return;
  if (message.finished) {
    UpdateDecodeUse(it->second.decode, message.request_id, impl_->env.now());
  }
  ReleaseDecode(it->second.decode, message.request_id);
  ReleasePrefill(it->second.prefill, message.request_id);
  ReleaseTransfer(it->second.links, message.request_id);
  UpdatePrefillRate(it->second.prefill, message.prefill_tokens,
                    message.prefill_time);
  if (it->second.queue.reservations.empty()) return;
  const auto upstream = impl_->FindEngine(message.engine);
  if (!upstream.ok()) return;
  impl_->ServeEngineQueue(*impl_->env.config(), *upstream, it->second);
}

void engine_homes::ExpediteListForOrphan(absl::string_view engine) {
  const auto it = impl_->engines.find(engine);
  if (it != impl_->engines.end()) it->second.has_orphan = true;
}

void engine_homes::ForEachDecodeReservation(
    const std::function<void(absl::string_view engine, absl::string_view id,
                             const decode_reservation& reservation)>& visit)
    const {
  for (const auto& [name, engine] : impl_->engines) {
    for (const auto& [id, r] : engine.decode.reservations) visit(name, id, r);
  }
}

void engine_homes::AddListListener(list_listener listener) {
  impl_->listeners.push_back(std::move(listener));
}

}  // namespace anvilridge
