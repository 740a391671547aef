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

constexpr int kReadLimit = 1000;
constexpr absl::Duration kFirstRetry = absl::Milliseconds(100);
constexpr absl::Duration kLongestRetry = absl::Milliseconds(500);

struct pending_claim {
  claim_record record;
  absl::Time key_time;
  /// When the attempt reached its holder.
  absl::Time arrived;
  /// Number of reads begun before this claim came.
  int64_t reads_before = 0;
  bool appended = false;
  bool append_in_flight = false;
  /// The answer to an append was lost.
  bool append_uncertain = false;
  claim_partition::claim_done done;
};

bool MayBeInLog(const pending_claim& claim) {
  return claim.appended || claim.append_in_flight || claim.append_uncertain;
}

struct pending_append {
  claims_record record;
  absl::Time give_up;
  claim_partition::append_done done;
};

log_append ToAppend(const claims_record& record) {
  return {RecordId(record), EncodeClaimsRecord(record)};
}

size_t EncodedBytes(const log_append& append) {
  const QJsonDocument document(append.data.toObject());
  return static_cast<size_t>(document.toJson(QJsonDocument::Compact).size());
}

absl::Duration RetryDelay(int failures) {
  constexpr int kDoublings = 10;
  return std::min(kLongestRetry,
                  kFirstRetry * (1 << std::min(failures, kDoublings)));
}

}  // namespace

struct claim_partition::impl : std::enable_shared_from_this<impl> {
  impl(int number, const claim_io& claim_io, append_allowance& allowed)
      : stream(ClaimsStream(number)), io(claim_io), allowance(allowed) {}

  /// Runs `step` later unless this partition is gone.
  void After(absl::Duration delay, std::function<void(impl&)> step) {
    io.run_after(std::max(delay, absl::ZeroDuration()),
                 [weak = weak_from_this(), step = std::move(step)] {
                   if (const auto self = weak.lock()) step(*self);
                 });
  }

  void Pump() {
    StartRead();
    StartAppend();
  }

  void WantRead() {
    read_wanted = true;
    StartRead();
  }

  void StartRead() {
    if (!read_wanted || reading || read_retry_waits) return;
    read_wanted = false;
    reading = true;
    ++reads_begun;
    read_begun_at = io.now();
    ReadPage();
  }

  void ReadPage() {
    io.read(stream, index.next, kReadLimit,
            [weak = weak_from_this()](absl::StatusOr<log_page> page) {
              if (const auto self = weak.lock()) self->OnPage(std::move(page));
            });
  }

  void OnPage(absl::StatusOr<log_page> page) {
    if (!page.ok()) return OnReadFailed();
    for (const log_record& record : page->records) {
      if (record.offset >= index.next) FoldRecord(index, record);
    }
    NoteCompleteSince(index, page->complete_since);
    if (page->records.size() >= kReadLimit) return ReadPage();
    reading = false;
    read_failures = 0;
    caught_up = true;
    Resolve();
    Pump();
  }

  void OnReadFailed() {
    reading = false;
    read_wanted = true;
    read_retry_waits = true;
    After(RetryDelay(read_failures++), [](impl& self) {
      self.read_retry_waits = false;
      if (!self.claims.empty()) self.StartRead();
    });
  }

  /// Answers the claims on which the read that ended has settled something.
  void Resolve() {
    std::vector<pending_claim> answered;
    std::vector<claim_reply> replies;
    for (auto it = claims.begin(); it != claims.end();) {
      auto reply = ReplyTo(*it);
      if (!reply) {
        ++it;
        continue;
      }
      answered.push_back(std::move(*it));
      replies.push_back(*std::move(reply));
      it = claims.erase(it);
    }
    for (size_t i = 0; i < answered.size(); ++i) {
      Answer(answered[i], std::move(replies[i]));
    }
  }

  /// Returns the answer to `claim`, or nothing while it must wait.
  std::optional<claim_reply> ReplyTo(const pending_claim& claim) {
    if (claim.reads_before >= reads_begun) return std::nullopt;
    const absl::Status age =
        CheckKeyNotExpired(claim.key_time, index.complete_since);
    if (!age.ok()) return RefusedReply(age);
    const claim_decision decision = Decide(index, claim.record, io.wall_now());
    claim_reply reply;
    switch (decision.verdict) {
      case claim_verdict::free:
        return ReplyToFree(claim);
      case claim_verdict::granted:
        reply.fencing_number = decision.offset;
        return reply;
      case claim_verdict::settled:
        // Its offset; the outcome is read before the answer goes out.
        reply.fencing_number = decision.offset;
        reply.outcome.emplace();
        return reply;
      default:
        return RefusalFor(decision);
    }
  }

  /// Reading works and nobody holds the key, yet the claim is not in the log.
  std::optional<claim_reply> ReplyToFree(const pending_claim& claim) {
    if (read_begun_at < claim.arrived + kMaxSendWindow) return std::nullopt;
    return RefusedReply(MakeError(error_kind::log_unavailable,
                                  "the claim could not be appended",
                                  run_state::not_run));
  }

  void Answer(const pending_claim& claim, claim_reply reply) {
    const bool granted = reply.status.ok() && !reply.outcome;
    reply.may_linger = !granted && MayBeInLog(claim);
    if (!reply.outcome) return claim.done(std::move(reply));
    ReadOutcome(std::move(reply), claim.done);
  }

  void ReadOutcome(claim_reply reply, const claim_done& done) {
    const int64_t offset = reply.fencing_number;
    reply.fencing_number = 0;
    io.read(
        stream, offset, 1,
        [reply, offset, done](const absl::StatusOr<log_page>& page) mutable {
          reply.outcome = OutcomeAt(page, offset);
          if (!reply.outcome) {
            reply.status =
                MakeError(error_kind::log_unavailable,
                          "the stored outcome can't be read", run_state::ran);
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

  /// Ends a claim on which the log has said nothing certain in time.
  void GiveUp(const std::string& claim_id) {
    const auto found = std::find_if(
        claims.begin(), claims.end(),
        [&](const auto& claim) { return claim.record.claim_id == claim_id; });
    if (found == claims.end()) return;
    const pending_claim claim = std::move(*found);
    claims.erase(found);
    Answer(claim, RefusedReply(MakeError(error_kind::log_unavailable,
                                         "earlier calls can't be excluded",
                                         run_state::unknown)));
  }

  bool ShouldAppend(const pending_claim& claim) const {
    if (claim.appended || io.now() >= claim.arrived + kMaxSendWindow) {
      return false;
    }
    return Decide(index, claim.record, io.wall_now()).verdict ==
           claim_verdict::free;
  }

  /// Collects the records to append: claims first, since callers wait.
  std::vector<log_append> CollectRecords() const {
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

  void StartAppend() {
    if (appending || append_waits) return;
    std::vector<log_append> records = CollectRecords();
    if (records.empty()) return;
    const absl::Duration wait = TakeAppend(allowance, io.now());
    if (wait > absl::ZeroDuration()) return RetryAppendAfter(wait);
    std::vector<size_t> sizes;
    sizes.reserve(records.size());
    for (const log_append& record : records) {
      sizes.push_back(EncodedBytes(record));
    }
    records.resize(BatchSize(sizes));
    std::set<std::string> ids;
    for (const log_append& record : records) ids.insert(record.id);
    MarkInFlight(ids);
    appending = true;
    io.append(
        stream, records,
        [weak = weak_from_this(), ids](const absl::StatusOr<int64_t>& offset) {
          if (const auto self = weak.lock()) {
            self->OnAppended(ids, offset.status());
          }
        });
  }

  void RetryAppendAfter(absl::Duration delay) {
    append_waits = true;
    After(delay, [](impl& self) {
      self.append_waits = false;
      self.Pump();
    });
  }

  void MarkInFlight(const std::set<std::string>& ids) {
    for (pending_claim& claim : claims) {
      claim.append_in_flight = ids.contains(claim.record.claim_id);
    }
  }

  void MarkEnded(const std::set<std::string>& ids, const absl::Status& status) {
    const bool lost = !status.ok() && RunStateOf(status) != run_state::not_run;
    for (pending_claim& claim : claims) {
      claim.append_in_flight = false;
      if (!ids.contains(claim.record.claim_id)) continue;
      claim.appended |= status.ok();
      claim.append_uncertain |= lost;
    }
  }

  void OnAppended(const std::set<std::string>& ids,
                  const absl::Status& status) {
    appending = false;
    MarkEnded(ids, status);
    FinishAppends(ids, status);
    if (!status.ok()) {
      // Reading back tells whether the append took effect; if not, the same
      // ids are appended again: the first copy in the log counts.
      if (!claims.empty()) WantRead();
      RetryAppendAfter(RetryDelay(append_failures++));
      return;
    }
    append_failures = 0;
    read_wanted = read_wanted || !claims.empty();
    Pump();
  }

  void FinishAppends(const std::set<std::string>& ids,
                     const absl::Status& status) {
    std::vector<pending_append> finished;
    for (auto it = appends.begin(); it != appends.end();) {
      const bool written = status.ok() && ids.contains(RecordId(it->record));
      if (!written && io.now() < it->give_up) {
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
  append_allowance& allowance;
  claim_index index;
  std::list<pending_claim> claims;
  std::list<pending_append> appends;
  bool caught_up = false;
  bool reading = false;
  /// A read must begin after this was set.
  bool read_wanted = false;
  bool read_retry_waits = false;
  int64_t reads_begun = 0;
  absl::Time read_begun_at;
  int read_failures = 0;
  bool appending = false;
  bool append_waits = false;
  int append_failures = 0;
};

claim_partition::claim_partition(int number, const claim_io& io,
                                 append_allowance& allowance)
    : impl_(std::make_shared<impl>(number, io, allowance)) {}

claim_partition::~claim_partition() = default;

void claim_partition::Claim(claim_record claim, absl::Duration waited,
                            claim_done done) {
  const auto key_time = KeyTime(claim.key);
  if (!key_time.ok()) return done(RefusedReply(key_time.status()));
  pending_claim pending;
  pending.record = std::move(claim);
  pending.key_time = *key_time;
  pending.arrived = impl_->io.now() - waited;
  pending.reads_before = impl_->reads_begun;
  pending.done = std::move(done);
  const std::string id = pending.record.claim_id;
  impl_->claims.push_back(std::move(pending));
  impl_->After(kMaxSendWindow - waited, [](impl& self) { self.WantRead(); });
  impl_->After(kClaimPatience - waited, [id](impl& self) { self.GiveUp(id); });
  impl_->read_wanted = true;
  impl_->Pump();
}

void claim_partition::Append(claims_record record, absl::Time give_up,
                             append_done done) {
  impl_->appends.push_back({std::move(record), give_up, std::move(done)});
  impl_->StartAppend();
}

void claim_partition::CatchUp() { impl_->WantRead(); }

bool claim_partition::Idle() const {
  return impl_->claims.empty() && impl_->appends.empty();
}

const claim_index& claim_partition::Index() const { return impl_->index; }

}  // namespace anvilridge
