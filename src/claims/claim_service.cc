#include "claims/claim_service.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "base/error_kind.h"
#include "claims/claim_partition.h"
#include "claims/key_age.h"
#include "membership/home_map.h"

namespace anvilridge {
namespace {

/// A home that has not answered by then is passed over.
constexpr absl::Duration kHomeTimeout = absl::Milliseconds(1500);
/// How long outcomes and releases are tried again.
constexpr absl::Duration kWritePatience = absl::Minutes(10);
/// How long a home tries to write a record for another daemon.
constexpr absl::Duration kHomeWritePatience = absl::Seconds(1);

const QLatin1String kWaitedMs("waited_ms");

/// A claim of a caller of this daemon.
struct open_claim {
  int partition = 0;
  claim_record record;
  absl::Time started;
  absl::Time send_by;
  /// The home was asked and has not answered: the claim may be in the log
  /// though this daemon never wrote it.
  bool home_silent = false;
  std::function<void(absl::StatusOr<claim_result>)> done;
};

claim_record MakeRecord(const claim_request& request, const owner_id& self) {
  claim_record record;
  record.claim_id = NewId();
  record.team = request.team;
  record.key = request.key;
  record.route = request.route;
  record.body_hash = request.body_hash;
  record.holder = self;
  record.send_window = std::min(request.send_window, kMaxSendWindow);
  record.answer_window = request.answer_window;
  return record;
}

}  // namespace

struct claim_service::impl : std::enable_shared_from_this<impl> {
  impl(claim_io claim_io, double appends_per_second)
      : io(std::move(claim_io)), log_appends_per_second(appends_per_second) {}

  claim_partition& Partition(int number) {
    auto& partition = partitions[number];
    if (!partition) {
      partition = std::make_unique<claim_partition>(number, io, allowance);
    }
    return *partition;
  }

  bool IsHomeOf(int number) const {
    return HomeOf(ClaimsStream(number), live_names) == io.self().daemon;
  }

  /// Returns the peer address of the partition's home; "" when it is this
  /// daemon.
  std::string HomeAddress(int number) const {
    const absl::string_view home = HomeOf(ClaimsStream(number), live_names);
    if (home == io.self().daemon) return "";
    for (const member& m : live) {
      if (m.id.daemon == home) return m.peer_address;
    }
    return "";
  }

  void TakeMembers() {
    live = io.live();
    live_names.clear();
    for (const member& m : live) live_names.push_back(m.id.daemon);
    append_share_input share;
    share.log_appends_per_second = log_appends_per_second;
    share.live_daemons = static_cast<int>(live.size());
    for (int i = 0; i < kClaimPartitions; ++i) {
      share.partitions_at_home += IsHomeOf(i) ? 1 : 0;
    }
    allowance.per_second = AppendShare(share);
  }

  /// Reads the new homes' partitions ahead and drops those given up.
  void TakeHomes() {
    for (int i = 0; i < kClaimPartitions; ++i) {
      const bool known = partitions.contains(i);
      if (IsHomeOf(i) && !known) Partition(i).CatchUp();
      if (!IsHomeOf(i) && known && Partition(i).Idle()) partitions.erase(i);
    }
  }

  void AskHome(const std::shared_ptr<open_claim>& claim,
               const std::string& address) {
    QCborMap request = EncodePeerRecord(claim->record, claim->partition);
    request[kWaitedMs] = static_cast<qint64>(
        absl::ToInt64Milliseconds(io.now() - claim->started));
    io.call(address, "claims/claim", request, kHomeTimeout,
            [weak = weak_from_this(),
             claim](const absl::StatusOr<QCborMap>& answer) {
              if (const auto self = weak.lock()) self->OnHome(claim, answer);
            });
  }

  void OnHome(const std::shared_ptr<open_claim>& claim,
              const absl::StatusOr<QCborMap>& answer) {
    if (answer.ok()) {
      claim_reply reply = DecodeReply(*answer);
      const bool malformed =
          KindOf(reply.status) == error_kind::upstream_failed;
      if (reply.status.ok() || !malformed) return Conclude(*claim, reply);
    }
    ++counters.home_unreachable;
    claim->home_silent = true;
    ClaimHere(claim);
  }

  void ClaimHere(const std::shared_ptr<open_claim>& claim) {
    Partition(claim->partition)
        .Claim(claim->record, io.now() - claim->started,
               [weak = weak_from_this(), claim](const claim_reply& reply) {
                 const auto self = weak.lock();
                 if (self) self->Conclude(*claim, reply);
               });
  }

  void Conclude(const open_claim& claim, const claim_reply& reply) {
    const std::string& id = claim.record.claim_id;
    if (reply.status.ok() && !reply.outcome) {
      ++counters.granted;
      granted[id] = claim.partition;
      return claim.done(claim_result(
          claim_grant{id, reply.fencing_number, claim.record.holder.incarnation,
                      claim.send_by}));
    }
    if (reply.may_linger || claim.home_silent) {
      Write(claim.partition, release_record{id});
    }
    if (reply.status.ok()) {
      ++counters.replayed;
      return claim.done(claim_result(*reply.outcome));
    }
    ++counters.refused;
    claim.done(reply.status);
  }

  /// Writes through the home, so that it joins a group commit, or here.
  void Write(int partition, const claims_record& record) {
    ++unwritten;
    const absl::Time give_up = io.now() + kWritePatience;
    const std::string home = HomeAddress(partition);
    if (home.empty()) return WriteHere(partition, record, give_up);
    io.call(home, "claims/settle", EncodePeerRecord(record, partition),
            kHomeTimeout,
            [weak = weak_from_this(), partition, record,
             give_up](const absl::StatusOr<QCborMap>& answer) {
              const auto self = weak.lock();
              if (!self) return;
              if (answer.ok()) {
                --self->unwritten;
              } else {
                self->WriteHere(partition, record, give_up);
              }
            });
  }

  void WriteHere(int partition, const claims_record& record,
                 absl::Time give_up) {
    Partition(partition).Append(
        record, give_up, [weak = weak_from_this()](const absl::Status& status) {
          const auto self = weak.lock();
          if (!self) return;
          --self->unwritten;
          if (!status.ok()) ++self->counters.records_given_up;
        });
  }

  void Finish(const std::string& claim_id, const claims_record& record) {
    const auto found = granted.find(claim_id);
    if (found == granted.end()) return;
    const int partition = found->second;
    granted.erase(found);
    Write(partition, record);
  }

  const claim_io io;
  const double log_appends_per_second;
  append_allowance allowance;
  std::vector<member> live;
  std::vector<std::string> live_names;
  std::map<int, std::unique_ptr<claim_partition>> partitions;
  /// Partition of each claim that was granted and is neither settled nor
  /// released.
  std::map<std::string, int> granted;
  size_t unwritten = 0;
  claim_counters counters;
};

claim_service::claim_service(claim_io io, double log_appends_per_second)
    : impl_(std::make_shared<impl>(std::move(io), log_appends_per_second)) {
  impl_->TakeMembers();
  impl_->TakeHomes();
}

claim_service::~claim_service() = default;

void claim_service::Claim(
    const claim_request& request,
    std::function<void(absl::StatusOr<claim_result>)> done) {
  const auto key_time = KeyTime(request.key);
  if (!key_time.ok()) return done(key_time.status());
  const absl::Status early = CheckKeyNotEarly(*key_time, impl_->io.wall_now());
  if (!early.ok()) return done(early);
  auto claim = std::make_shared<open_claim>();
  claim->partition = PartitionOf(request.team, request.key);
  claim->record = MakeRecord(request, impl_->io.self());
  claim->started = impl_->io.now();
  claim->send_by = claim->started + claim->record.send_window;
  claim->done = std::move(done);
  const std::string home = impl_->HomeAddress(claim->partition);
  if (home.empty()) return impl_->ClaimHere(claim);
  impl_->AskHome(claim, home);
}

void claim_service::Settle(const std::string& claim_id, claim_outcome outcome) {
  impl_->Finish(claim_id,
                outcome_record{claim_id, BoundOutcome(std::move(outcome))});
}

void claim_service::Release(const std::string& claim_id) {
  impl_->Finish(claim_id, release_record{claim_id});
}

void claim_service::LeaveUnknown(const std::string& claim_id) {
  impl_->granted.erase(claim_id);
}

void claim_service::OnMembersChanged() {
  impl_->TakeMembers();
  impl_->TakeHomes();
}

size_t claim_service::UnwrittenRecords() const { return impl_->unwritten; }

claim_counters claim_service::Counters() const { return impl_->counters; }

void claim_service::HandleClaim(const QCborMap& request,
                                const peer_responder& respond) {
  const auto decoded = DecodePeerRecord(request);
  if (!decoded || !std::holds_alternative<claim_record>(decoded->record)) {
    return respond(MakeError(error_kind::malformed_request, "not a claim"));
  }
  const absl::Duration waited =
      std::clamp(absl::Milliseconds(request[kWaitedMs].toInteger()),
                 absl::ZeroDuration(), kHomeTimeout);
  impl_->Partition(decoded->partition)
      .Claim(
          std::get<claim_record>(decoded->record), waited,
          [respond](const claim_reply& reply) { respond(EncodeReply(reply)); });
}

void claim_service::HandleSettle(const QCborMap& request,
                                 const peer_responder& respond) {
  const auto decoded = DecodePeerRecord(request);
  if (!decoded || std::holds_alternative<claim_record>(decoded->record)) {
    return respond(MakeError(error_kind::malformed_request, "not an outcome"));
  }
  impl_->Partition(decoded->partition)
      .Append(decoded->record, impl_->io.now() + kHomeWritePatience,
              [respond](const absl::Status& status) {
                if (!status.ok()) return respond(status);
                respond(QCborMap());
              });
}

}  // namespace anvilridge
