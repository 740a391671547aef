#ifndef ANVILRIDGE_CLAIMS_CLAIM_CLUSTER_FOR_TEST_H_
#define ANVILRIDGE_CLAIMS_CLAIM_CLUSTER_FOR_TEST_H_

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "claims/claim_service.h"
#include "membership/home_map.h"

namespace anvilridge {

/// Time when the simulation starts.
inline const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);
/// One-way delay of every message between daemons and to and from the log.
inline constexpr absl::Duration kNetworkDelay = absl::Milliseconds(2);
inline constexpr absl::Duration kLeaseDuration = absl::Seconds(5);
inline constexpr absl::Duration kUpstreamLatency = absl::Milliseconds(100);
/// Time after which every attempt must have ended, and every outcome and
/// release must be in the log.
inline constexpr absl::Duration kSettleTime = absl::Minutes(2);
/// Idempotency key created 10 s before `kStart`.
inline constexpr char kKey[] = "1799999990-dues";

/// Fault of an append to the log.
enum class append_fault {
  none,
  /// No effect; the daemon gets an error with run state `not_run`.
  refused,
  /// No effect; the daemon gets an error with run state `unknown`.
  lost_before,
  /// Takes effect; the daemon gets an error with run state `unknown`.
  lost_after,
  /// Takes effect after `append_delay`; the daemon gets an error with run state
  /// `unknown` after the usual delay.
  late
};

/// One call with an idempotency key, and its result.
struct attempt {
  std::string key;
  absl::Time began;
  /// Time when the result of the claim was received.
  absl::Time completed_at = absl::InfiniteFuture();
  /// The call was sent to the upstream.
  bool sent = false;
  absl::Status status;
  /// The claim got the stored outcome of an earlier attempt.
  bool replayed = false;
};

/// Simulates daemons, their log and an upstream in virtual time.
class claim_cluster {
 public:
  struct daemon {
    std::string name;
    std::unique_ptr<claim_service> service;
    bool killed = false;
    /// Reads of the log fail at this daemon.
    bool reads_fail = false;
    absl::Time frozen_until = absl::InfinitePast();
    /// Increased when the daemon loses its lease.
    uint64_t incarnation = 1;
  };

  explicit claim_cluster(int daemon_count) {
    for (int i = 0; i < daemon_count; ++i) {
      daemons.push_back(std::make_unique<daemon>());
      daemons[i]->name = absl::StrCat("d", i);
      live.push_back(
          {{daemons[i]->name, 1}, absl::StrCat(i), "", {}, 0, {}, false});
    }
    for (auto& d : daemons) {
      d->service = std::make_unique<claim_service>(
          MakeIo(*d), /*log_appends_per_second=*/200);
    }
    RunFor(absl::Seconds(1));
  }

  ~claim_cluster() {
    tasks_ = {};
    for (auto& d : daemons) d->service.reset();
  }

  /// Returns the index of the daemon that is the home of `kKey`, or of one that
  /// is not.
  int FindDaemon(bool is_home) {
    std::vector<std::string> names;
    for (const auto& d : daemons) names.push_back(d->name);
    const auto home =
        HomeOf(ClaimsStreamName(PartitionOf("team", kKey)), names);
    const int index = std::stoi(std::string(home.substr(1)));
    return is_home ? index : (index + 1) % static_cast<int>(names.size());
  }

  /// Starts a call of a caller at daemon `index`.
  std::shared_ptr<attempt> StartAttempt(int index,
                                        const std::string& body = "body",
                                        const std::string& key = kKey) {
    auto a = std::make_shared<attempt>();
    a->key = key;
    a->began = absl::InfiniteFuture();
    attempts.push_back(a);
    daemon& d = *daemons[index];
    claim_request request{"team", key, "/ledger/", body};
    Post(&d, absl::ZeroDuration(), [this, &d, request, a] {
      a->began = now;
      d.service->Claim(request, [this, &d, a](const auto& result) {
        OnClaim(d, a, result);
      });
    });
    return a;
  }

  /// Runs all tasks that are due within `duration` and advances the time by it.
  /// Tasks of killed daemons are dropped, those of frozen ones are delayed.
  void RunFor(absl::Duration duration) {
    const absl::Time end = now + duration;
    while (!tasks_.empty() && tasks_.top().at <= end) {
      const task next = tasks_.top();
      tasks_.pop();
      now = std::max(now, next.at);
      if (next.owner != nullptr && next.owner->killed) continue;
      if (next.owner != nullptr && next.owner->frozen_until > now) {
        tasks_.push({next.owner->frozen_until, ++order_, next.owner, next.run});
        continue;
      }
      next.run();
    }
    now = end;
  }

  /// Delays all tasks of a daemon for `duration`. It loses its lease if that is
  /// longer than `kLeaseDuration`.
  void Freeze(int index, absl::Duration duration) {
    daemons[index]->frozen_until = now + duration;
    if (duration > kLeaseDuration) ++daemons[index]->incarnation;
  }

  absl::Time now = kStart;
  std::vector<std::unique_ptr<daemon>> daemons;
  std::vector<member> live;
  std::vector<std::shared_ptr<attempt>> attempts;
  std::map<std::string, std::vector<log_record>> streams;
  append_fault current_append_fault = append_fault::none;
  /// Delay of the effect of an append with `append_fault::late`.
  absl::Duration append_delay = absl::Seconds(4);
  /// Reads of the log fail at every daemon.
  bool reads_fail = false;
  bool peers_unreachable = false;
  absl::Time complete_since = kStart - absl::Hours(1);
  /// Time between `CheckBeforeSend` and the sending of the call.
  absl::Duration send_delay = absl::ZeroDuration();
  /// Calls that the upstream has run.
  int executions = 0;
  /// Calls that the upstream refused for their fencing number.
  int refused_sends = 0;
  int append_calls = 0;

 private:
  /// Task to run at a virtual time; tasks of the same time run in their order.
  struct task {
    absl::Time at;
    uint64_t order;
    daemon* owner;
    std::function<void()> run;
    bool operator<(const task& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  /// Runs `run` after `delay` as a task of `owner`, or of no daemon if null.
  void Post(daemon* owner, absl::Duration delay, std::function<void()> run) {
    tasks_.push({now + delay, ++order_, owner, std::move(run)});
  }

  claim_io MakeIo(daemon& d) {
    claim_io io;
    io.append = [this, &d](const auto& stream, const auto& records, auto done) {
      Append(d, stream, records, std::move(done));
    };
    io.read = [this, &d](const auto& stream, int64_t from, int limit,
                         auto done) {
      Post(nullptr, kNetworkDelay, [=, this, &d] {
        auto page = Read(d, stream, from, limit);
        Post(&d, kNetworkDelay, [=] { done(page); });
      });
    };
    io.call = [this, &d](const auto& address, const auto& method,
                         const auto& request, absl::Duration timeout,
                         auto done) {
      Call(d, *daemons[std::stoi(address)], method, request, timeout,
           std::move(done));
    };
    io.live_members = [this] { return live; };
    io.self = [&d] { return owner_id{d.name, d.incarnation}; };
    io.now = io.wall_now = [this] { return now; };
    io.run_after = [this, &d](absl::Duration delay, auto run) {
      Post(&d, delay, std::move(run));
    };
    return io;
  }

  void Store(const std::string& stream,
             const std::vector<log_append>& records) {
    for (const log_append& record : records) {
      auto& stored = streams[stream];
      const auto offset = static_cast<int64_t>(stored.size()) + 1;
      stored.push_back({offset, now, record.id, record.data});
    }
  }

  void Append(daemon& d, const std::string& stream,
              const std::vector<log_append>& records,
              const std::function<void(absl::StatusOr<int64_t>)>& done) {
    ++append_calls;
    const append_fault fault = current_append_fault;
    const absl::Duration delay =
        fault == append_fault::late ? append_delay : kNetworkDelay;
    Post(nullptr, delay, [=, this] {
      const bool takes_effect = fault == append_fault::none ||
                                fault == append_fault::lost_after ||
                                fault == append_fault::late;
      if (takes_effect) Store(stream, records);
    });
    Post(&d, 2 * kNetworkDelay, [=] {
      if (fault == append_fault::none) return done(1);
      done(MakeError(error_kind::log_unavailable, "fault",
                     fault == append_fault::refused ? run_state::not_run
                                                    : run_state::unknown));
    });
  }

  absl::StatusOr<log_page> Read(const daemon& d, const std::string& stream,
                                int64_t from, int limit) {
    if (reads_fail || d.reads_fail) {
      return MakeError(error_kind::log_unavailable, "fault");
    }
    const auto& stored = streams[stream];
    log_page page;
    page.complete_since = complete_since;
    for (size_t i = from - 1; i < stored.size(); ++i) {
      if (static_cast<int>(page.records.size()) == limit) break;
      page.records.push_back(stored[i]);
    }
    page.next = from + static_cast<int64_t>(page.records.size());
    return page;
  }

  void Call(daemon& from, daemon& to, const std::string& method,
            const QCborMap& request, absl::Duration timeout,
            const std::function<void(absl::StatusOr<QCborMap>)>& done) {
    auto replied = std::make_shared<bool>(false);
    auto reply = [replied, done](const absl::StatusOr<QCborMap>& result) {
      if (!std::exchange(*replied, true)) done(result);
    };
    Post(&from, timeout, [reply] {
      reply(MakeError(error_kind::upstream_stalled, "timeout"));
    });
    if (peers_unreachable) return;
    Post(&to, kNetworkDelay, [=, this, &from, &to] {
      const auto respond = [=, this,
                            &from](const absl::StatusOr<QCborMap>& result) {
        Post(&from, kNetworkDelay, [=] { reply(result); });
      };
      if (method == "claims/claim") {
        to.service->HandleClaim(request, respond);
      } else {
        to.service->HandleSettle(request, respond);
      }
    });
  }

  void OnClaim(daemon& d, const std::shared_ptr<attempt>& a,
               const absl::StatusOr<claim_result>& result) {
    a->completed_at = now;
    a->status = result.status();
    if (!result.ok()) return;
    if (std::holds_alternative<claim_outcome>(*result)) {
      a->replayed = true;
      EXPECT_EQ(std::get<claim_outcome>(*result).body, "booked");
      return;
    }
    const claim_grant grant = std::get<claim_grant>(*result);
    a->status =
        CheckBeforeSend(grant, {now, d.incarnation == grant.incarnation, true});
    if (!a->status.ok()) return d.service->Release(grant.claim_id);
    Post(&d, send_delay, [this, &d, a, grant] { Send(d, a, grant); });
  }

  /// Sends the call to the upstream, which refuses a fencing number lower than
  /// the highest one received for the key.
  void Send(daemon& d, const std::shared_ptr<attempt>& a,
            const claim_grant& grant) {
    a->sent = true;
    if (grant.fencing_number < highest_fence_[a->key]) {
      ++refused_sends;
      return;
    }
    highest_fence_[a->key] = grant.fencing_number;
    ++executions;
    Post(&d, kUpstreamLatency, [&d, grant] {
      d.service->Settle(grant.claim_id,
                        {201, "text/plain", "booked", true, ""});
    });
  }

  std::priority_queue<task> tasks_;
  uint64_t order_ = 0;
  std::map<std::string, int64_t> highest_fence_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_CLUSTER_FOR_TEST_H_
