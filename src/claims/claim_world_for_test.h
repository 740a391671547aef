#ifndef ANVILRIDGE_CLAIMS_CLAIM_WORLD_FOR_TEST_H_
#define ANVILRIDGE_CLAIMS_CLAIM_WORLD_FOR_TEST_H_

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

inline const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);
inline constexpr absl::Duration kHop = absl::Milliseconds(2);
inline constexpr absl::Duration kLease = absl::Seconds(5);
inline constexpr absl::Duration kUpstreamTime = absl::Milliseconds(100);
inline constexpr absl::Duration kSettled = absl::Minutes(2);
inline constexpr char kKey[] = "1799999990-dues";

enum class append_fault { none, refused, lost_before, lost_after, late };

/// One caller's try of the key.
struct attempt {
  std::string key;
  absl::Time began;
  absl::Time answered = absl::InfiniteFuture();
  bool sent = false;
  absl::Status status;
  bool replayed = false;
};

/// Daemons, a log and an upstream under virtual time.
class claim_world {
 public:
  struct daemon {
    std::string name;
    std::unique_ptr<claim_service> service;
    bool killed = false;
    bool reads_down = false;
    absl::Time frozen_until = absl::InfinitePast();
    /// Raised when the lease is lost.
    uint64_t incarnation = 1;
  };

  explicit claim_world(int count) {
    for (int i = 0; i < count; ++i) {
      daemons.push_back(std::make_unique<daemon>());
      daemons[i]->name = absl::StrCat("d", i);
      live.push_back(
          {{daemons[i]->name, 1}, absl::StrCat(i), "", {}, 0, {}, false});
    }
    for (auto& d : daemons) {
      d->service = std::make_unique<claim_service>(Io(*d), 200);
    }
    RunFor(absl::Seconds(1));
  }

  ~claim_world() {
    tasks_ = {};
    for (auto& d : daemons) d->service.reset();
  }

  /// Returns the daemon that is, or is not, the home of the test's key.
  int HomeOrOther(bool home) {
    std::vector<std::string> names;
    for (const auto& d : daemons) names.push_back(d->name);
    const auto at = HomeOf(ClaimsStream(PartitionOf("team", kKey)), names);
    const int index = std::stoi(std::string(at.substr(1)));
    return home ? index : (index + 1) % static_cast<int>(names.size());
  }

  std::shared_ptr<attempt> Try(int index, const std::string& body = "body",
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

  void Freeze(int index, absl::Duration duration) {
    daemons[index]->frozen_until = now + duration;
    if (duration > kLease) ++daemons[index]->incarnation;
  }

  absl::Time now = kStart;
  std::vector<std::unique_ptr<daemon>> daemons;
  std::vector<member> live;
  std::vector<std::shared_ptr<attempt>> attempts;
  std::map<std::string, std::vector<log_record>> streams;
  append_fault appends = append_fault::none;
  absl::Duration late_by = absl::Seconds(4);
  bool reads_down = false;
  bool peers_down = false;
  absl::Time complete_since = kStart - absl::Hours(1);
  /// Time between the check and the bytes leaving.
  absl::Duration send_gap = absl::ZeroDuration();
  int executions = 0;
  int refused_sends = 0;
  int append_calls = 0;

 private:
  struct task {
    absl::Time at;
    uint64_t order;
    daemon* owner;
    std::function<void()> run;
    bool operator<(const task& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Post(daemon* owner, absl::Duration delay, std::function<void()> run) {
    tasks_.push({now + delay, ++order_, owner, std::move(run)});
  }

  claim_io Io(daemon& d) {
    claim_io io;
    io.append = [this, &d](const auto& stream, const auto& records, auto done) {
      Append(d, stream, records, std::move(done));
    };
    io.read = [this, &d](const auto& stream, int64_t from, int limit,
                         auto done) {
      Post(nullptr, kHop, [=, this, &d] {
        auto page = Read(d, stream, from, limit);
        Post(&d, kHop, [=] { done(page); });
      });
    };
    io.call = [this, &d](const auto& address, const auto& method,
                         const auto& request, absl::Duration timeout,
                         auto done) {
      Call(d, *daemons[std::stoi(address)], method, request, timeout,
           std::move(done));
    };
    io.live = [this] { return live; };
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
      auto& kept = streams[stream];
      const auto offset = static_cast<int64_t>(kept.size()) + 1;
      kept.push_back({offset, now, record.id, record.data});
    }
  }

  void Append(daemon& d, const std::string& stream,
              const std::vector<log_append>& records,
              const std::function<void(absl::StatusOr<int64_t>)>& done) {
    ++append_calls;
    const append_fault fault = appends;
    const absl::Duration delay = fault == append_fault::late ? late_by : kHop;
    Post(nullptr, delay, [=, this] {
      const bool effect = fault == append_fault::none ||
                          fault == append_fault::lost_after ||
                          fault == append_fault::late;
      if (effect) Store(stream, records);
    });
    Post(&d, 2 * kHop, [=] {
      if (fault == append_fault::none) return done(1);
      done(MakeError(error_kind::log_unavailable, "fault",
                     fault == append_fault::refused ? run_state::not_run
                                                    : run_state::unknown));
    });
  }

  absl::StatusOr<log_page> Read(const daemon& d, const std::string& stream,
                                int64_t from, int limit) {
    if (reads_down || d.reads_down) {
      return MakeError(error_kind::log_unavailable, "fault");
    }
    const auto& kept = streams[stream];
    log_page page;
    page.complete_since = complete_since;
    for (size_t i = from - 1; i < kept.size(); ++i) {
      if (static_cast<int>(page.records.size()) == limit) break;
      page.records.push_back(kept[i]);
    }
    page.next = from + static_cast<int64_t>(page.records.size());
    return page;
  }

  void Call(daemon& from, daemon& to, const std::string& method,
            const QCborMap& request, absl::Duration timeout,
            const std::function<void(absl::StatusOr<QCborMap>)>& done) {
    auto once = std::make_shared<bool>(false);
    auto answer = [once, done](const absl::StatusOr<QCborMap>& result) {
      if (!std::exchange(*once, true)) done(result);
    };
    Post(&from, timeout, [answer] {
      answer(MakeError(error_kind::upstream_stalled, "timeout"));
    });
    if (peers_down) return;
    Post(&to, kHop, [=, this, &from, &to] {
      const auto respond = [=, this,
                            &from](const absl::StatusOr<QCborMap>& result) {
        Post(&from, kHop, [=] { answer(result); });
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
    a->answered = now;
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
    Post(&d, send_gap, [this, &d, a, grant] { Send(d, a, grant); });
  }

  /// The upstream checks fencing numbers.
  void Send(daemon& d, const std::shared_ptr<attempt>& a,
            const claim_grant& grant) {
    a->sent = true;
    if (grant.fencing_number < highest_fence_[a->key]) {
      ++refused_sends;
      return;
    }
    highest_fence_[a->key] = grant.fencing_number;
    ++executions;
    Post(&d, kUpstreamTime, [&d, grant] {
      d.service->Settle(grant.claim_id,
                        {201, "text/plain", "booked", true, ""});
    });
  }

  std::priority_queue<task> tasks_;
  uint64_t order_ = 0;
  std::map<std::string, int64_t> highest_fence_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_WORLD_FOR_TEST_H_
