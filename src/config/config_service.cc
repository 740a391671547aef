#include "config/config_service.h"

#include <QRandomGenerator>
#include <algorithm>
#include <deque>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "base/event_loop.h"
#include "base/ids.h"
#include "config/apply_command.h"
#include "config/config_snapshot.h"

namespace anvilridge {
namespace {

/// How often retries, peers and snapshots are looked at.
constexpr absl::Duration kTick = absl::Milliseconds(200);
/// Settled commands whose answers are still readable by id.
constexpr size_t kMaxSettled = 200;

publish_result ResultOf(const config_publisher& publisher) {
  return {publisher.command.id, std::string(PublishStatusName(publisher)),
          PublishDetail(publisher), publisher.offset, publisher.error};
}

publish_result ResultOf(const history_entry& entry) {
  publish_result result;
  result.id = entry.command.id;
  result.offset = entry.offset;
  result.detail = entry.detail;
  switch (entry.outcome) {
    case command_outcome::accepted:
      result.status = "accepted";
      break;
    case command_outcome::contested:
      result.status = "contested";
      result.error = MakeError(error_kind::config_contested, entry.detail);
      break;
    case command_outcome::rejected:
      result.status = "rejected";
      result.error = MakeError(error_kind::config_invalid, entry.detail);
      break;
  }
  return result;
}

// A command that this daemon publishes and who waits for its answer.
struct publication {
  config_publisher publisher;
  std::function<void(publish_result)> done;
};

}  // namespace

struct config_service::impl {
  config_log log;
  config_peers peers;
  config_follower follower;
  std::vector<std::function<void(state_ptr)>> listeners;
  std::deque<std::shared_ptr<publication>> publications;
  bool asking_peer = false;
  bool checking_snapshot = false;
  std::unique_ptr<QTimer> tick;
  /// Dropped with this object, and with it all that is queued or on its way.
  std::shared_ptr<QObject> context = std::make_shared<QObject>();

  // Wraps `task` so that it does nothing once this object is gone.
  template <typename Task>
  auto WhileAlive(Task task) {
    return [alive = std::weak_ptr<QObject>(context),
            task = std::move(task)](auto answer) {
      if (alive.lock()) task(std::move(answer));
    };
  }

  void FollowLog() {
    const follow_step step = NextFollowStep(follower, MonotonicNow());
    using action = follow_step::action;
    if (step.what == action::pause) {
      RunAfter(context.get(), step.wait, [this] { FollowLog(); });
      return;
    }
    const bool records = step.what == action::read_records;
    log.read(records ? kConfigStream : kSnapshotStream, step.from, step.limit,
             step.wait,
             WhileAlive([this, records](const absl::StatusOr<log_page>& page) {
               TakePage(records, page);
             }));
  }

  void TakePage(bool records, const absl::StatusOr<log_page>& page) {
    const state_ptr before = follower.in_force;
    const auto take = records ? OnRecords : OnSnapshots;
    take(follower, page, MonotonicNow());
    if (follower.in_force != before) Announce();
    PostTo(context.get(), [this] { FollowLog(); });
  }

  void Announce() {
    const state_ptr state = follower.in_force;
    for (size_t i = 0; i < listeners.size(); ++i) listeners[i](state);
    Advance();
  }

  void Tick() {
    AskPeer();
    Advance();
    KeepSnapshots();
  }

  void AskPeer() {
    if (asking_peer) return;
    const auto offsets = peers.offsets();
    const peer_offset* peer = PeerToAsk(follower, offsets, MonotonicNow());
    if (!peer) return;
    asking_peer = true;
    peers.fetch_snapshot(peer->address,
                         WhileAlive([this](absl::StatusOr<std::string> text) {
                           asking_peer = false;
                           if (text.ok()) TakePeerSnapshot(*text);
                         }));
  }

  void TakePeerSnapshot(const std::string& text) {
    auto state = ParseSnapshot(text);
    if (!state.ok()) return;
    if (OnPeerSnapshot(follower, *std::move(state))) Announce();
  }

  // Moves all publications on.
  void Advance() {
    const auto offsets = peers.offsets();
    const auto running = publications;
    for (const auto& item : running) {
      if (follower.in_force) {
        OnConfigInForce(item->publisher, *follower.in_force, offsets);
      }
      if (ShouldAppend(item->publisher, MonotonicNow())) Append(item);
      AnswerIfSettled(*item);
    }
    ForgetOldest();
  }

  void Append(const std::shared_ptr<publication>& item) {
    OnAppendSent(item->publisher);
    const config_command& command = item->publisher.command;
    log.append(kConfigStream, {{command.id, EncodeCommand(command)}},
               WhileAlive([this, item](const absl::StatusOr<int64_t>& offset) {
                 OnAppendAnswer(item->publisher, offset, MonotonicNow());
                 PostTo(context.get(), [this] { Advance(); });
               }));
  }

  static void AnswerIfSettled(publication& item) {
    if (IsSettled(item.publisher)) Answer(item);
  }

  static void Answer(publication& item) {
    if (const auto done = std::exchange(item.done, nullptr)) {
      done(ResultOf(item.publisher));
    }
  }

  void ForgetOldest() {
    const auto settled = [](const auto& item) {
      return IsSettled(item->publisher);
    };
    auto count = static_cast<size_t>(
        std::count_if(publications.begin(), publications.end(), settled));
    while (count-- > kMaxSettled) {
      publications.erase(
          std::find_if(publications.begin(), publications.end(), settled));
    }
  }

  void KeepSnapshots() {
    if (checking_snapshot) return;
    const double jitter = QRandomGenerator::global()->generateDouble();
    const size_t daemons = peers.offsets().size() + 1;
    if (!SnapshotDue(follower, WallNow(), jitter, daemons)) return;
    checking_snapshot = true;
    FindNewestSnapshot();
  }

  // Another daemon may have written one meanwhile; its offset tells.
  void FindNewestSnapshot() {
    constexpr int64_t kPastEnd = 1'000'000'000'000'000;
    log.read(kSnapshotStream, kPastEnd, 1, absl::ZeroDuration(),
             WhileAlive([this](absl::StatusOr<log_page> page) {
               if (!page.ok()) return EndSnapshotCheck();
               ReadNewestSnapshot(page->next - 1);
             }));
  }

  void ReadNewestSnapshot(int64_t at) {
    if (at < 1) return WriteSnapshot();
    log.read(kSnapshotStream, at, 1, absl::ZeroDuration(),
             WhileAlive([this](absl::StatusOr<log_page> page) {
               if (!page.ok()) return EndSnapshotCheck();
               NoteNewest(*page);
               // Due still, unless the newest one is recent.
               const bool due = SnapshotDue(follower, WallNow(), 0, 1);
               due ? WriteSnapshot() : EndSnapshotCheck();
             }));
  }

  void NoteNewest(const log_page& page) {
    if (page.records.empty()) return;
    const log_record& record = page.records.front();
    const auto state = DecodeSnapshot(record.data.toObject());
    if (!state.ok()) return;
    NoteSnapshot(follower, state->applied_offset, record.time);
  }

  void WriteSnapshot() {
    const int64_t offset = OffsetInForce(follower);
    log.append(
        kSnapshotStream, {{NewId(), EncodeSnapshot(*follower.in_force)}},
        WhileAlive([this, offset](const absl::StatusOr<int64_t>& written) {
          if (written.ok()) NoteSnapshot(follower, offset, WallNow());
          EndSnapshotCheck();
        }));
  }

  // A failed attempt is repeated after another jitter.
  void EndSnapshotCheck() {
    checking_snapshot = false;
    follower.write_snapshot_at = absl::InfiniteFuture();
  }
};

config_service::config_service(config_log log, config_peers peers,
                               follow_limits limits)
    : impl_(std::make_unique<impl>()) {
  impl_->log = std::move(log);
  impl_->peers = std::move(peers);
  impl_->follower.limits = limits;
}

config_service::~config_service() = default;

void config_service::Start() {
  impl_->tick = RunEvery(kTick, [this] { impl_->Tick(); });
  impl_->FollowLog();
}

config_service::state_ptr config_service::InForce() const {
  return impl_->follower.in_force;
}

absl::Duration config_service::LogOutFor() const {
  if (!LogOut()) return absl::ZeroDuration();
  return MonotonicNow() - impl_->follower.log_out_since;
}

bool config_service::LogOut() const {
  return impl_->follower.log_out_since != absl::InfiniteFuture();
}

void config_service::OnChange(std::function<void(state_ptr)> listener) {
  impl_->listeners.push_back(std::move(listener));
}

void config_service::PeersChanged() {
  impl_->AskPeer();
  impl_->Advance();
}

void config_service::Publish(config_command command, absl::Duration patience,
                             std::function<void(publish_result)> done) {
  if (!impl_->follower.in_force) {
    done(
        {command.id, "failed", "no configuration is in force yet", 0,
         MakeError(error_kind::not_ready, "no configuration is in force yet")});
    return;
  }
  auto item = std::make_shared<publication>();
  item->publisher = BeginPublish(*impl_->follower.in_force, std::move(command));
  item->done = std::move(done);
  impl_->publications.push_back(item);
  RunAfter(impl_->context.get(), patience, [item] { impl::Answer(*item); });
  impl_->Advance();
}

absl::StatusOr<publish_result> config_service::StatusOf(
    absl::string_view id) const {
  for (const auto& item : impl_->publications) {
    if (item->publisher.command.id == id) return ResultOf(item->publisher);
  }
  const state_ptr state = impl_->follower.in_force;
  const auto entry = state ? HistoryOf(*state, id) : nullptr;
  if (entry) return ResultOf(*entry);
  return MakeError(error_kind::not_found,
                   absl::StrCat("no command has the id ", id));
}

std::vector<config_publisher> config_service::Pending() const {
  std::vector<config_publisher> pending;
  for (const auto& item : impl_->publications) {
    if (!IsSettled(item->publisher)) pending.push_back(item->publisher);
  }
  return pending;
}

}  // namespace anvilridge
