#include "config/config_follower.h"

#include <algorithm>
#include <utility>

#include "config/apply_command.h"
#include "config/config_snapshot.h"

namespace anvilridge {
namespace {

// Past the end of any stream: a read from here returns where the end is.
constexpr int64_t kPastEnd = 1'000'000'000'000'000;

// Between two polls, so that a log that does not wait is not flooded.
constexpr absl::Duration kPollGap = absl::Milliseconds(20);

void OnLogError(config_follower& follower, absl::Time now) {
  follower.log_out_since = std::min(follower.log_out_since, now);
  follower.retry_at = now + follower.limits.retry_delay;
}

void OnLogAnswer(config_follower& follower) {
  follower.log_out_since = absl::InfiniteFuture();
}

// The state that the next records are applied to.
int64_t ReadOffset(const config_follower& follower) {
  return follower.reading ? follower.reading->applied_offset
                          : OffsetInForce(follower);
}

void PutInForce(config_follower& follower) {
  if (!follower.in_force ||
      follower.reading->applied_offset > OffsetInForce(follower)) {
    follower.in_force =
        std::make_shared<const config_state>(*std::move(follower.reading));
  }
  follower.reading.reset();
}

// Begins to read records after `state`, unless what is held is newer.
void ReadOnFrom(config_follower& follower, config_state state) {
  follower.phase = follow_phase::read_records;
  const bool newer = state.applied_offset > ReadOffset(follower);
  const bool first = !follower.in_force && !follower.reading;
  if (newer || first) follower.reading = std::move(state);
}

// Looks at the snapshot before the one that could not be used; with none left,
// reads from the start of the log.
void TryOlderSnapshot(config_follower& follower) {
  --follower.snapshot_at;
  if (follower.snapshot_at >= follower.oldest_snapshot) return;
  ReadOnFrom(follower, config_state{});
}

// The records after `ReadOffset` have expired. The state in force stays until
// a newer snapshot is found.
void OnGap(config_follower& follower, absl::Time now) {
  follower.stranded = true;
  follower.phase = follow_phase::find_snapshot;
  follower.reading.reset();
  follower.retry_at = now + follower.limits.retry_delay;
}

bool IsWhole(const config_follower& follower, const log_page& page) {
  const bool last_page =
      page.records.size() < static_cast<size_t>(follower.limits.page_records);
  return last_page && ReadOffset(follower) + 1 >= page.next;
}

}  // namespace

int64_t OffsetInForce(const config_follower& follower) {
  return follower.in_force ? follower.in_force->applied_offset : 0;
}

follow_step NextFollowStep(const config_follower& follower, absl::Time now) {
  using action = follow_step::action;
  if (now < follower.retry_at) {
    return {action::pause, 1, 1, follower.retry_at - now};
  }
  switch (follower.phase) {
    case follow_phase::find_snapshot:
      return {action::read_snapshots, kPastEnd, 1, absl::ZeroDuration()};
    case follow_phase::read_snapshot:
      return {action::read_snapshots, follower.snapshot_at, 1,
              absl::ZeroDuration()};
    case follow_phase::read_records:
      break;
  }
  const bool catching_up = follower.reading.has_value() || !follower.in_force;
  return {action::read_records, ReadOffset(follower) + 1,
          follower.limits.page_records,
          catching_up ? absl::ZeroDuration() : follower.limits.long_poll};
}

void OnSnapshots(config_follower& follower,
                 const absl::StatusOr<log_page>& page, absl::Time now) {
  if (!page.ok()) return OnLogError(follower, now);
  OnLogAnswer(follower);
  // A peer's snapshot came first.
  if (follower.phase == follow_phase::read_records) return;
  follower.oldest_snapshot = page->oldest;
  if (follower.phase == follow_phase::find_snapshot) {
    follower.phase = follow_phase::read_snapshot;
    follower.snapshot_at = page->next;
    return TryOlderSnapshot(follower);
  }
  if (page->records.empty() ||
      page->records.front().offset != follower.snapshot_at) {
    return TryOlderSnapshot(follower);
  }
  const log_record& record = page->records.front();
  auto state = DecodeSnapshot(record.data.toObject());
  if (!state.ok()) return TryOlderSnapshot(follower);
  NoteSnapshot(follower, state->applied_offset, record.time);
  ReadOnFrom(follower, *std::move(state));
}

void OnRecords(config_follower& follower, const absl::StatusOr<log_page>& page,
               absl::Time now) {
  if (!page.ok()) return OnLogError(follower, now);
  OnLogAnswer(follower);
  follower.oldest_record = page->oldest;
  if (page->oldest > ReadOffset(follower) + 1) return OnGap(follower, now);
  follower.stranded = false;
  if (!follower.reading) {
    if (follower.in_force && page->records.empty()) {
      follower.retry_at = now + kPollGap;
      return;
    }
    follower.reading = follower.in_force ? *follower.in_force : config_state{};
  }
  const int64_t before = ReadOffset(follower);
  for (const log_record& record : page->records) {
    if (ApplyRecord(*follower.reading, record) == apply_effect::gap) break;
  }
  if (IsWhole(follower, *page)) {
    PutInForce(follower);
  } else if (ReadOffset(follower) == before) {
    follower.retry_at = now + follower.limits.retry_delay;
  }
}

const peer_offset* PeerToAsk(config_follower& follower,
                             const std::vector<peer_offset>& peers,
                             absl::Time now) {
  const peer_offset* best = nullptr;
  for (const peer_offset& peer : peers) {
    const bool ahead = peer.offset > OffsetInForce(follower);
    if (peer.live && ahead && (!best || peer.offset > best->offset)) {
      best = &peer;
    }
  }
  if (!best) {
    follower.behind_since = absl::InfiniteFuture();
    return nullptr;
  }
  follower.behind_since = std::min(follower.behind_since, now);
  const bool log_out = follower.log_out_since != absl::InfiniteFuture();
  const bool waited = now - follower.behind_since >= follower.limits.peer_grace;
  return log_out || follower.stranded || waited ? best : nullptr;
}

bool OnPeerSnapshot(config_follower& follower, config_state state) {
  if (follower.in_force && state.applied_offset <= OffsetInForce(follower)) {
    return false;
  }
  if (follower.reading &&
      follower.reading->applied_offset <= state.applied_offset) {
    follower.reading.reset();
  }
  follower.stranded = false;
  follower.behind_since = absl::InfiniteFuture();
  follower.in_force = std::make_shared<const config_state>(std::move(state));
  follower.phase = follow_phase::read_records;
  return true;
}

bool SnapshotDue(config_follower& follower, absl::Time wall_now, double jitter,
                 size_t live_daemons) {
  const int64_t offset = OffsetInForce(follower);
  if (!follower.in_force || offset == 0) return false;
  // Records behind the newest snapshot have expired, so none can start from the
  // log alone: one daemon or so writes at each check.
  const bool gap = follower.oldest_record > follower.snapshot_offset + 1;
  if (gap) return jitter * static_cast<double>(live_daemons) < 1;
  const follow_limits& limits = follower.limits;
  const bool many =
      offset - follower.snapshot_offset >= limits.snapshot_records;
  const bool old =
      wall_now - follower.snapshot_time >= limits.log_retention / 2;
  if (!many && !old) {
    follower.write_snapshot_at = absl::InfiniteFuture();
    return false;
  }
  if (follower.write_snapshot_at == absl::InfiniteFuture()) {
    const absl::Duration spread =
        std::min(limits.snapshot_spacing * static_cast<int64_t>(live_daemons),
                 limits.log_retention / 8);
    follower.write_snapshot_at = wall_now + spread * jitter;
  }
  return wall_now >= follower.write_snapshot_at;
}

void NoteSnapshot(config_follower& follower, int64_t offset, absl::Time time) {
  if (offset < follower.snapshot_offset) return;
  follower.snapshot_offset = offset;
  follower.snapshot_time = time;
  follower.write_snapshot_at = absl::InfiniteFuture();
}

}  // namespace anvilridge
