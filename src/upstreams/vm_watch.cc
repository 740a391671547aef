#include "upstreams/vm_watch.h"

#include <QObject>
#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "base/qt_text.h"
#include "log/decision_log.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kShortestPoll = absl::Seconds(1);
constexpr absl::Duration kLongestPoll = absl::Seconds(3);
constexpr absl::Duration kPollPerRow = absl::Milliseconds(10);
// A pause is drawn between this share of the interval and all of it.
constexpr double kShortestShare = 0.75;

using name_set = std::set<std::string, std::less<>>;

absl::string_view HostOf(absl::string_view address) {
  return address.substr(0, address.rfind(':'));
}

name_set LeavingAddresses(const vm_view& view) {
  name_set addresses;
  for (const vm_entry& entry : view.entries) {
    const bool upstream = entry.kind != vm_kind::entry;
    if (upstream && entry.state == vm_state::leaving) {
      addresses.insert(entry.address);
    }
  }
  return addresses;
}

// Upstreams of one pool that may get work but for the list.
struct pool_candidates {
  std::vector<std::string> staying;
  std::vector<std::string> leaving;
};

}  // namespace

name_set LeavingUpstreams(const config_state& config, const vm_view& view,
                          absl::Time now) {
  const name_set addresses = LeavingAddresses(view);
  std::map<std::string, pool_candidates> pools;
  for (const auto& [name, upstream] : config.upstreams) {
    if (upstream.draining) continue;
    const bool leaving = addresses.contains(upstream.address) ||
                         addresses.contains(HostOf(upstream.address));
    pool_candidates& pool = pools[upstream.pool];
    (leaving ? pool.leaving : pool.staying).push_back(name);
  }
  const bool stale = now - view.read_at > kVmListStaleAfter;
  name_set names;
  for (const auto& [name, pool] : pools) {
    if (stale && pool.staying.empty()) continue;
    names.insert(pool.leaving.begin(), pool.leaving.end());
  }
  return names;
}

std::vector<std::string> EntryPeerAddresses(const vm_view& view) {
  std::vector<std::string> addresses;
  for (const vm_entry& entry : view.entries) {
    const bool entry_vm = entry.kind == vm_kind::entry && entry.peer_port != 0;
    if (!entry_vm || entry.state == vm_state::leaving) continue;
    addresses.push_back(absl::StrCat(entry.address, ":", entry.peer_port));
  }
  return addresses;
}

absl::Duration VmPollInterval(size_t rows) {
  return std::clamp(kPollPerRow * static_cast<double>(rows), kShortestPoll,
                    kLongestPoll);
}

struct vm_watch::impl {
  http_client& client;
  std::string address;
  std::function<void()> on_read;
  QObject context;
  vm_view view;
  bool reachable = true;
  std::mt19937_64 random{std::random_device{}()};
  // Outlived by callbacks that check it.
  std::shared_ptr<char> alive = std::make_shared<char>();

  impl(http_client& http, std::string list_address, std::function<void()> read)
      : client(http),
        address(std::move(list_address)),
        on_read(std::move(read)) {}

  void Read() {
    const std::weak_ptr<char> guard = alive;
    GetVmList(client, address,
              [this, guard](absl::StatusOr<std::vector<vm_entry>> list) {
                if (!guard.expired()) Take(std::move(list));
              });
  }

  void Take(absl::StatusOr<std::vector<vm_entry>> list) {
    if (list.ok() != reachable) {
      reachable = list.ok();
      LogEvent(reachable ? log_level::info : log_level::warn,
               reachable ? "vm_list_back" : "vm_list_unreachable",
               {{"detail", QtText(list.status().message())}});
    }
    if (list.ok()) {
      view.entries = *std::move(list);
      view.read_at = MonotonicNow();
    }
    on_read();
    std::uniform_real_distribution<double> share(kShortestShare, 1);
    RunAfter(&context, VmPollInterval(view.entries.size()) * share(random),
             [this] { Read(); });
  }
};

vm_watch::vm_watch(http_client& client, std::string address,
                   std::function<void()> on_read)
    : impl_(std::make_unique<impl>(client, std::move(address),
                                   std::move(on_read))) {}

vm_watch::~vm_watch() = default;

void vm_watch::Start() { impl_->Read(); }

const vm_view& vm_watch::View() const { return impl_->view; }

}  // namespace anvilridge
