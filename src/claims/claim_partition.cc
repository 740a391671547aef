#include "claims/claim_partition.h"

#include <QJsonDocument>
#include <algorithm>
#include <list>
#include <set>
#include <utility>

#include "base/error_kind.h"
#include "claims/key_age.h"

namespace anvilridge {
namespace {

constexpr int kMaxRecordsPerRead = 1000;
constexpr absl::Duration kMinRetryDelay = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryDelay = absl::Milliseconds(500);

/// Claim that waits for a decision by the log.
struct pending_claim {
  claim_record record;
  absl::Time key_time;
  /// Time when the holder of the claim received the call.
  absl::Time arrived_at;
  /// Value of `reads_started` when this claim was added; only a read started
  /// later can decide it.
  int64_t reads_started_before = 0;
  /// An append of the claim has succeeded.
  bool appended = false;
  bool append_in_flight = false;
  /// An append of the claim failed but may have taken effect or may still do
  /// so.
  bool append_uncertain = false;
  claim_partition::claim_callback done;
};

/// Returns whether the claim record is in the log or may still be appended.
bool MayBeInLog(const pending_claim& claim) {
  return claim.appended || claim.append_in_flight || claim.append_uncertain;
}

/// Outcome or release to be appended to the log.
struct pending_append {
  claims_record record;
  /// Time after which the append is not retried.
  absl::Time deadline;
  claim_partition::append_callback done;
};

log_append ToAppend(const claims_record& record) {
  return {RecordId(record), EncodeClaimsRecord(record)};
}

size_t EncodedBytes(const log_append& append) {
  const QJsonDocument document(append.data.toObject());
  return static_cast<size_t>(document.toJson(QJsonDocument::Compact).size());
}

absl::Duration RetryDelay(int failures) {
  constexpr int kMaxDoublings = 10;
  return std::min(kMaxRetryDelay,
                  kMinRetryDelay * (1 << std::min(failures, kMaxDoublings)));
}

}  // namespace

struct claim_partition::impl : std::enable_shared_from_this<impl> {
  impl(int number, const claim_io& claim_io, append_rate_limiter& limiter)
      : stream(ClaimsStreamName(number)),
        io(claim_io),
        append_limiter(limiter) {}

  /// Runs `step` after `delay` unless this partition has been destroyed by
  /// then.
  void Schedule(absl::Duration delay, std::function<void(impl&)> step) {
    io.run_after(std::max(delay, absl::ZeroDuration()),
                 [weak = weak_from_this(), step = std::move(step)] {
                   if (const auto self = weak.lock()) step(*self);
                 });
  }

  /// Starts a read if one is requested, and an append if records are pending.
  void StartPendingWork() {
    StartRead();
    StartAppend();
  }

  /// Requests a read and starts it unless another read is in progress or a
  /// retry is scheduled.
  void RequestRead() {
    read_requested = true;
    StartRead();
  }

  void StartRead() {
    if (!read_requested || reading || read_retry_scheduled) return;
    read_requested = false;
    reading = true;
    ++reads_started;
    read_started = io.now();
    ReadPage();
  }

  void ReadPage() {
    io.read(stream, index.next_offset, kMaxRecordsPerRead,
            [weak = weak_from_this()](absl::StatusOr<log_page> page) {
              if (const auto self = weak.lock()) self->OnPage(std::move(page));
            });
  }

  void OnPage(absl::StatusOr<log_page> page) {
    if (!page.ok()) return OnReadFailed();
    for (const log_record& record : page->records) {
      if (record.offset >= index.next_offset) ApplyClaimsRecord(index, record);
    }
    AdvanceCompleteSince(index, page->complete_since);
    if (page->records.size() >= kMaxRecordsPerRead) return ReadPage();
    reading = false;
    read_failures = 0;
    caught_up = true;
    ReplyToDecidedClaims();
    StartPendingWork();
  }

  void OnReadFailed() {
    reading = false;
    read_requested = true;
    read_retry_scheduled = true;
    Schedule(RetryDelay(read_failures++), [](impl& self) {
      self.read_retry_scheduled = false;
      if (!self.claims.empty()) self.StartRead();
    });
  }

  /// Removes the claims that the completed read has decided and replies to
  /// them.
  void ReplyToDecidedClaims() {
    std::vector<pending_claim> decided;
    std::vector<claim_reply> replies;
    for (auto it = claims.begin(); it != claims.end();) {
      auto reply = DecideReply(*it);
      if (!reply) {
        ++it;
        continue;
      }
      decided.push_back(std::move(*it));
      replies.push_back(*std::move(reply));
      it = claims.erase(it);
    }
    for (size_t i = 0; i < decided.size(); ++i) {
      SendReply(decided[i], std::move(replies[i]));
    }
  }

  /// Returns the reply to `claim`, or `nullopt` while it is undecided.
  std::optional<claim_reply> DecideReply(const pending_claim& claim) {
    if (claim.reads_started_before >= reads_started) return std::nullopt;
    const absl::Status expiry =
        CheckKeyNotExpired(claim.key_time, index.complete_since);
    if (!expiry.ok()) return MakeRefusal(expiry);
    const claim_decision decision =
        DecideClaim(index, claim.record, io.wall_now());
    claim_reply reply;
    switch (decision.verdict) {
      case claim_verdict::free:
        return ReplyForFreeKey(claim);
      case claim_verdict::granted:
        reply.fencing_number = decision.offset;
        return reply;
      case claim_verdict::settled:
        // Offset of the outcome record; `SendReply` reads the outcome there.
        reply.fencing_number = decision.offset;
        reply.outcome.emplace();
        return reply;
      default:
        return MakeHeldKeyRefusal(decision);
    }
  }

  /// Returns the reply to a claim that is not in the log although the log can
  /// be read and no claim holds the key. Returns `nullopt` if the completed
  /// read started within `kMaxSendWindow` of the claim's arrival: until then
  /// the claim of an earlier attempt could still be appended and its call be
  /// sent.
  std::optional<claim_reply> ReplyForFreeKey(const pending_claim& claim) {
    if (read_started < claim.arrived_at + kMaxSendWindow) return std::nullopt;
    return MakeRefusal(MakeError(error_kind::log_unavailable,
                                 "the claim could not be appended",
                                 run_state::not_run));
  }

  /// Calls the claim's callback with `reply`, after reading the stored outcome
  /// if the reply has one.
  void SendReply(const pending_claim& claim, claim_reply reply) {
    const bool granted = reply.status.ok() && !reply.outcome;
    reply.needs_release = !granted && MayBeInLog(claim);
    if (!reply.outcome) return claim.done(std::move(reply));
    ReadOutcome(std::move(reply), claim.done);
  }

  /// Reads the outcome record whose offset is in `reply.fencing_number`, adds
  /// the outcome to `reply` and passes the reply to `done`.
  void ReadOutcome(claim_reply reply, const claim_callback& done) {
    const int64_t offset = reply.fencing_number;
    reply.fencing_number = 0;
    io.read(
        stream, offset, 1,
        [reply, offset, done](const absl::StatusOr<log_page>& page) mutable {
          reply.outcome = OutcomeAt(page, offset);
          if (!reply.outcome) {
            reply.status =
                MakeError(error_kind::log_unavailable,
                          "the stored outcome can't be read from the log",
                          run_state::ran);
          }
          done(std::move(reply));
        });
  }

  static std::optional<claim_outcome> OutcomeAt(
      const absl::StatusOr<log_page>& page, int64_t offset) {
    if (!page.ok() || page->records.empty()) return std::nullopt;
    if (page->records[0].offset != offset) return std::nullopt;
    const auto record = DecodeClaimsRecord(page->records[0].data.toObject());
    if (!record.ok() || !std::holds_alternative<outcome_record>(*record)) {
      return std::nullopt;
    }
    return std::get<outcome_record>(*record).outcome;
  }

  /// Refuses a claim, if still pending, that the log did not decide in time.
  void TimeOutClaim(const std::string& claim_id) {
    const auto found = std::find_if(
        claims.begin(), claims.end(),
        [&](const auto& claim) { return claim.record.claim_id == claim_id; });
    if (found == claims.end()) return;
    const pending_claim claim = std::move(*found);
    claims.erase(found);
    SendReply(claim,
              MakeRefusal(MakeError(error_kind::log_unavailable,
                                    "the log did not show in time whether "
                                    "an earlier call with the key may have run",
                                    run_state::unknown)));
  }

  /// Returns whether to append the claim: no append of it has succeeded, the
  /// send window is still open and no claim holds the key.
  bool ShouldAppend(const pending_claim& claim) const {
    if (claim.appended || io.now() >= claim.arrived_at + kMaxSendWindow) {
      return false;
    }
    return DecideClaim(index, claim.record, io.wall_now()).verdict ==
           claim_verdict::free;
  }

  /// Returns all records to append, claims first because callers wait for them.
  std::vector<log_append> CollectRecordsToAppend() const {
    std::vector<log_append> records;
    for (const pending_claim& claim : claims) {
      if (caught_up && ShouldAppend(claim)) {
        records.push_back(ToAppend(claim.record));
      }
    }
    for (const pending_append& append : appends) {
      records.push_back(ToAppend(append.record));
    }
    return records;
  }

  /// Appends one batch of pending records, now or as soon as the rate limit
  /// allows it.
  void StartAppend() {
    if (appending || append_scheduled) return;
    std::vector<log_append> records = CollectRecordsToAppend();
    if (records.empty()) return;
    const absl::Duration wait = AcquireAppend(append_limiter, io.now());
    if (wait > absl::ZeroDuration()) return ScheduleAppend(wait);
    std::vector<size_t> sizes;
    sizes.reserve(records.size());
    for (const log_append& record : records) {
      sizes.push_back(EncodedBytes(record));
    }
    records.resize(BatchSize(sizes));
    std::set<std::string> ids;
    for (const log_append& record : records) ids.insert(record.id);
    MarkAppendsInFlight(ids);
    appending = true;
    io.append(
        stream, records,
        [weak = weak_from_this(), ids](const absl::StatusOr<int64_t>& offset) {
          if (const auto self = weak.lock()) {
            self->OnAppendEnded(ids, offset.status());
          }
        });
  }

  void ScheduleAppend(absl::Duration delay) {
    append_scheduled = true;
    Schedule(delay, [](impl& self) {
      self.append_scheduled = false;
      self.StartPendingWork();
    });
  }

  void MarkAppendsInFlight(const std::set<std::string>& ids) {
    for (pending_claim& claim : claims) {
      claim.append_in_flight = ids.contains(claim.record.claim_id);
    }
  }

  void MarkAppendsEnded(const std::set<std::string>& ids,
                        const absl::Status& status) {
    const bool uncertain =
        !status.ok() && RunStateOf(status) != run_state::not_run;
    for (pending_claim& claim : claims) {
      claim.append_in_flight = false;
      if (!ids.contains(claim.record.claim_id)) continue;
      claim.appended |= status.ok();
      claim.append_uncertain |= uncertain;
    }
  }

  void OnAppendEnded(const std::set<std::string>& ids,
                     const absl::Status& status) {
    appending = false;
    MarkAppendsEnded(ids, status);
    FinishAppends(ids, status);
    if (!status.ok()) {
      // The append may have taken effect; a read shows whether it did. If not,
      // the records are appended again with the same ids. Only the first copy
      // of a record in the log counts, so a second copy does no harm.
      if (!claims.empty()) RequestRead();
      ScheduleAppend(RetryDelay(append_failures++));
      return;
    }
    append_failures = 0;
    read_requested = read_requested || !claims.empty();
    StartPendingWork();
  }

  /// Removes the pending appends that were written or have reached their
  /// deadline, and calls their callbacks.
  void FinishAppends(const std::set<std::string>& ids,
                     const absl::Status& status) {
    std::vector<pending_append> finished;
    for (auto it = appends.begin(); it != appends.end();) {
      const bool written = status.ok() && ids.contains(RecordId(it->record));
      if (!written && io.now() < it->deadline) {
        ++it;
        continue;
      }
      finished.push_back(std::move(*it));
      it = appends.erase(it);
    }
    for (const pending_append& append : finished) {
      if (append.done) append.done(status);
    }
  }

  const std::string stream;
  const claim_io& io;
  append_rate_limiter& append_limiter;
  claim_index index;
  std::list<pending_claim> claims;
  std::list<pending_append> appends;
  /// Whether the stream was read up to its end at least once.
  bool caught_up = false;
  bool reading = false;
  /// A new read must start. A read already in progress when this was set does
  /// not count: it may have missed records appended since it started.
  bool read_requested = false;
  bool read_retry_scheduled = false;
  int64_t reads_started = 0;
  absl::Time read_started;
  int read_failures = 0;
  bool appending = false;
  bool append_scheduled = false;
  int append_failures = 0;
};

claim_partition::claim_partition(int number, const claim_io& io,
                                 append_rate_limiter& append_limiter)
    : impl_(std::make_shared<impl>(number, io, append_limiter)) {}

claim_partition::~claim_partition() = default;

void claim_partition::Claim(claim_record claim, absl::Duration waited,
                            claim_callback done) {
  const auto key_time = ParseKeyTime(claim.key);
  if (!key_time.ok()) return done(MakeRefusal(key_time.status()));
  pending_claim pending;
  pending.record = std::move(claim);
  pending.key_time = *key_time;
  pending.arrived_at = impl_->io.now() - waited;
  pending.reads_started_before = impl_->reads_started;
  pending.done = std::move(done);
  const std::string id = pending.record.claim_id;
  impl_->claims.push_back(std::move(pending));
  impl_->Schedule(kMaxSendWindow - waited,
                  [](impl& self) { self.RequestRead(); });
  impl_->Schedule(kClaimTimeout - waited,
                  [id](impl& self) { self.TimeOutClaim(id); });
  impl_->read_requested = true;
  impl_->StartPendingWork();
}

void claim_partition::Append(claims_record record, absl::Time deadline,
                             append_callback done) {
  impl_->appends.push_back({std::move(record), deadline, std::move(done)});
  impl_->StartAppend();
}

void claim_partition::CatchUp() { impl_->RequestRead(); }

bool claim_partition::IsIdle() const {
  return impl_->claims.empty() && impl_->appends.empty();
}

const claim_index& claim_partition::Index() const { return impl_->index; }

}  // namespace anvilridge
