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

/// Timeout of a call to a home. After it, this daemon appends to the log
/// itself.
constexpr absl::Duration kHomeTimeout = absl::Milliseconds(1500);
/// Time in which this daemon retries to write an outcome or a release.
constexpr absl::Duration kRecordWriteTimeout = absl::Minutes(10);
/// Time in which a home retries to write a record for another daemon.
constexpr absl::Duration kHomeRecordWriteTimeout = absl::Seconds(1);

const QLatin1String kWaitedMs("waited_ms");

/// Claim for a caller of this daemon that has no result yet.
struct open_claim {
  int partition = 0;
  claim_record record;
  absl::Time started;
  absl::Time send_by;
  /// The claim was sent to its home, but no valid reply was received. The claim
  /// may be in the log although this daemon did not append it.
  bool home_call_failed = false;
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
      partition = std::make_unique<claim_partition>(number, io, append_limiter);
    }
    return *partition;
  }

  bool IsHomeOf(int number) const {
    return HomeOf(ClaimsStreamName(number), live_daemon_names) ==
           io.self().daemon;
  }

  /// Returns the peer address of the partition's home, or "" if this daemon is
  /// the home.
  std::string HomeAddress(int number) const {
    const absl::string_view home =
        HomeOf(ClaimsStreamName(number), live_daemon_names);
    if (home == io.self().daemon) return "";
    for (const member& m : live) {
      if (m.id.daemon == home) return m.peer_address;
    }
    return "";
  }

  /// Updates the live members and the append rate that depends on them.
  void UpdateLiveMembers() {
    live = io.live_members();
    live_daemon_names.clear();
    for (const member& m : live) live_daemon_names.push_back(m.id.daemon);
    append_rate_input rate_input;
    rate_input.log_appends_per_second = log_appends_per_second;
    rate_input.live_daemons = static_cast<int>(live.size());
    for (int i = 0; i < kClaimPartitions; ++i) {
      rate_input.home_partitions += IsHomeOf(i) ? 1 : 0;
    }
    append_limiter.per_second = DaemonAppendRate(rate_input);
  }

  /// Starts to read the partitions whose home is now this daemon, and discards
  /// idle partitions whose home is another one.
  void UpdateHomePartitions() {
    for (int i = 0; i < kClaimPartitions; ++i) {
      const bool exists = partitions.contains(i);
      if (IsHomeOf(i) && !exists) Partition(i).CatchUp();
      if (!IsHomeOf(i) && exists && Partition(i).IsIdle()) partitions.erase(i);
    }
  }

  /// Sends the claim to its home.
  void ClaimAtHome(const std::shared_ptr<open_claim>& claim,
                   const std::string& address) {
    QCborMap request = EncodePeerRecord(claim->record, claim->partition);
    request[kWaitedMs] = static_cast<qint64>(
        absl::ToInt64Milliseconds(io.now() - claim->started));
    io.call(address, "claims/claim", request, kHomeTimeout,
            [weak = weak_from_this(),
             claim](const absl::StatusOr<QCborMap>& response) {
              if (const auto self = weak.lock()) self->OnReply(claim, response);
            });
  }

  /// Completes the claim with the reply of its home, or claims the key locally
  /// if no valid reply was received.
  void OnReply(const std::shared_ptr<open_claim>& claim,
               const absl::StatusOr<QCborMap>& response) {
    if (response.ok()) {
      claim_reply reply = DecodeReply(*response);
      const bool malformed =
          KindOf(reply.status) == error_kind::upstream_failed;
      if (reply.status.ok() || !malformed) return CompleteClaim(*claim, reply);
    }
    ++counters.home_unreachable;
    claim->home_call_failed = true;
    ClaimLocally(claim);
  }

  /// Claims the key through this daemon's own appends and reads of the log.
  void ClaimLocally(const std::shared_ptr<open_claim>& claim) {
    Partition(claim->partition)
        .Claim(claim->record, io.now() - claim->started,
               [weak = weak_from_this(), claim](const claim_reply& reply) {
                 const auto self = weak.lock();
                 if (self) self->CompleteClaim(*claim, reply);
               });
  }

  /// Passes the result of a claim to its caller. Releases a claim that was not
  /// granted if its record may be in the log or may still be appended.
  void CompleteClaim(const open_claim& claim, const claim_reply& reply) {
    const std::string& id = claim.record.claim_id;
    if (reply.status.ok() && !reply.outcome) {
      ++counters.granted;
      granted[id] = claim.partition;
      return claim.done(claim_result(
          claim_grant{id, reply.fencing_number, claim.record.holder.incarnation,
                      claim.send_by}));
    }
    if (reply.needs_release || claim.home_call_failed) {
      WriteRecord(claim.partition, release_record{id});
    }
    if (reply.status.ok()) {
      ++counters.replayed;
      return claim.done(claim_result(*reply.outcome));
    }
    ++counters.refused;
    claim.done(reply.status);
  }

  /// Writes an outcome or a release to the log through the partition's home,
  /// which batches it with other records, or directly if the home is this
  /// daemon or can't be reached.
  void WriteRecord(int partition, const claims_record& record) {
    ++unwritten_records;
    const absl::Time deadline = io.now() + kRecordWriteTimeout;
    const std::string home = HomeAddress(partition);
    if (home.empty()) return WriteRecordLocally(partition, record, deadline);
    io.call(home, "claims/settle", EncodePeerRecord(record, partition),
            kHomeTimeout,
            [weak = weak_from_this(), partition, record,
             deadline](const absl::StatusOr<QCborMap>& response) {
              const auto self = weak.lock();
              if (!self) return;
              if (response.ok()) {
                --self->unwritten_records;
              } else {
                self->WriteRecordLocally(partition, record, deadline);
              }
            });
  }

  void WriteRecordLocally(int partition, const claims_record& record,
                          absl::Time deadline) {
    Partition(partition).Append(
        record, deadline,
        [weak = weak_from_this()](const absl::Status& status) {
          const auto self = weak.lock();
          if (!self) return;
          --self->unwritten_records;
          if (!status.ok()) ++self->counters.failed_record_writes;
        });
  }

  /// Ends a granted claim and writes its outcome or release. Does nothing if
  /// there is no such claim.
  void FinishClaim(const std::string& claim_id, const claims_record& record) {
    const auto found = granted.find(claim_id);
    if (found == granted.end()) return;
    const int partition = found->second;
    granted.erase(found);
    WriteRecord(partition, record);
  }

  const claim_io io;
  const double log_appends_per_second;
  append_rate_limiter append_limiter;
  std::vector<member> live;
  std::vector<std::string> live_daemon_names;
  std::map<int, std::unique_ptr<claim_partition>> partitions;
  /// Partition by id of each claim that was granted and has not been settled,
  /// released or left unknown.
  std::map<std::string, int> granted;
  /// Number of outcomes and releases that are not in the log yet.
  size_t unwritten_records = 0;
  claim_counters counters;
};

claim_service::claim_service(claim_io io, double log_appends_per_second)
    : impl_(std::make_shared<impl>(std::move(io), log_appends_per_second)) {
  impl_->UpdateLiveMembers();
  impl_->UpdateHomePartitions();
}

claim_service::~claim_service() = default;

void claim_service::Claim(
    const claim_request& request,
    std::function<void(absl::StatusOr<claim_result>)> done) {
  const auto key_time = ParseKeyTime(request.key);
  if (!key_time.ok()) return done(key_time.status());
  const absl::Status not_in_future =
      CheckKeyNotInFuture(*key_time, impl_->io.wall_now());
  if (!not_in_future.ok()) return done(not_in_future);
  auto claim = std::make_shared<open_claim>();
  claim->partition = PartitionOf(request.team, request.key);
  claim->record = MakeRecord(request, impl_->io.self());
  claim->started = impl_->io.now();
  claim->send_by = claim->started + claim->record.send_window;
  claim->done = std::move(done);
  const std::string home = impl_->HomeAddress(claim->partition);
  if (home.empty()) return impl_->ClaimLocally(claim);
  impl_->ClaimAtHome(claim, home);
}

void claim_service::Settle(const std::string& claim_id, claim_outcome outcome) {
  impl_->FinishClaim(
      claim_id, outcome_record{claim_id, LimitOutcomeBody(std::move(outcome))});
}

void claim_service::Release(const std::string& claim_id) {
  impl_->FinishClaim(claim_id, release_record{claim_id});
}

void claim_service::LeaveUnknown(const std::string& claim_id) {
  impl_->granted.erase(claim_id);
}

void claim_service::OnMembersChanged() {
  impl_->UpdateLiveMembers();
  impl_->UpdateHomePartitions();
}

size_t claim_service::UnwrittenRecords() const {
  return impl_->unwritten_records;
}

claim_counters claim_service::Counters() const { return impl_->counters; }

void claim_service::HandleClaim(const QCborMap& request,
                                const peer_responder& respond) {
  const auto decoded = DecodePeerRecord(request);
  if (!decoded || !std::holds_alternative<claim_record>(decoded->record)) {
    return respond(
        MakeError(error_kind::malformed_request, "expected a claim record"));
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
    return respond(MakeError(error_kind::malformed_request,
                             "expected an outcome record or a release record"));
  }
  impl_->Partition(decoded->partition)
      .Append(decoded->record, impl_->io.now() + kHomeRecordWriteTimeout,
              [respond](const absl::Status& status) {
                if (!status.ok()) return respond(status);
                respond(QCborMap());
              });
}

}  // namespace anvilridge
