#include "config/config_publisher.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "config/apply_command.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kAppendRetryDelay = absl::Seconds(1);

void Settle(config_publisher& publisher, publish_phase phase,
            absl::Status error) {
  publisher.phase = phase;
  publisher.error = std::move(error);
}

// Whether another live daemon has the command in force, or there is none.
bool IsSpread(int64_t offset, const std::vector<peer_offset>& peers) {
  const auto live = [](const peer_offset& peer) { return peer.live; };
  if (std::none_of(peers.begin(), peers.end(), live)) return true;
  return std::any_of(peers.begin(), peers.end(), [&](const peer_offset& peer) {
    return peer.live && peer.offset >= offset;
  });
}

void OnFound(config_publisher& publisher, const history_entry& entry) {
  publisher.offset = entry.offset;
  switch (entry.outcome) {
    case command_outcome::accepted:
      publisher.phase = publish_phase::spread;
      return;
    case command_outcome::contested:
      return Settle(publisher, publish_phase::contested,
                    MakeError(error_kind::config_contested, entry.detail));
    case command_outcome::rejected:
      return Settle(publisher, publish_phase::rejected,
                    MakeError(error_kind::config_invalid, entry.detail));
  }
}

}  // namespace

config_publisher BeginPublish(const config_state& state,
                              config_command command) {
  config_publisher publisher;
  const absl::Status check = CheckCommand(state, command);
  publisher.command = std::move(command);
  if (!check.ok() && KindOf(check) != error_kind::config_contested) {
    Settle(publisher, publish_phase::rejected, check);
  }
  return publisher;
}

bool ShouldAppend(const config_publisher& publisher, absl::Time now) {
  return publisher.phase == publish_phase::append && now >= publisher.retry_at;
}

void OnAppendSent(config_publisher& publisher) {
  publisher.phase = publish_phase::appending;
}

void OnAppendAnswer(config_publisher& publisher,
                    const absl::StatusOr<int64_t>& offset, absl::Time now) {
  if (publisher.phase != publish_phase::appending) return;
  if (offset.ok()) {
    publisher.offset = *offset;
    publisher.phase = publish_phase::read_back;
    return;
  }
  const bool not_run = RunStateOf(offset.status()) == run_state::not_run;
  if (not_run && !publisher.maybe_appended) {
    return Settle(publisher, publish_phase::failed, offset.status());
  }
  publisher.maybe_appended = true;
  publisher.phase = publish_phase::append;
  publisher.retry_at = now + kAppendRetryDelay;
}

void OnConfigInForce(config_publisher& publisher, const config_state& state,
                     const std::vector<peer_offset>& peers) {
  if (IsSettled(publisher)) return;
  if (publisher.phase != publish_phase::spread) {
    const auto entry = HistoryOf(state, publisher.command.id);
    if (!entry) return;
    OnFound(publisher, *entry);
  }
  if (publisher.phase == publish_phase::spread &&
      IsSpread(publisher.offset, peers)) {
    publisher.phase = publish_phase::accepted;
  }
}

bool IsSettled(const config_publisher& publisher) {
  return publisher.phase >= publish_phase::accepted;
}

absl::string_view PublishStatusName(const config_publisher& publisher) {
  switch (publisher.phase) {
    case publish_phase::accepted:
      return "accepted";
    case publish_phase::contested:
      return "contested";
    case publish_phase::rejected:
      return "rejected";
    case publish_phase::failed:
      return "failed";
    default:
      return "pending";
  }
}

std::string PublishDetail(const config_publisher& publisher) {
  switch (publisher.phase) {
    case publish_phase::append:
    case publish_phase::appending:
      return publisher.maybe_appended
                 ? "the log's answer was lost; it is asked again"
                 : "on its way to the log";
    case publish_phase::read_back:
      return absl::StrCat("in the log at ", publisher.offset,
                          "; not read back yet");
    case publish_phase::spread:
      return absl::StrCat("in force here at ", publisher.offset,
                          "; waits for another daemon");
    default:
      return std::string(publisher.error.message());
  }
}

}  // namespace anvilridge
