#ifndef ANVILRIDGE_UPSTREAMS_VM_WATCH_H_
#define ANVILRIDGE_UPSTREAMS_VM_WATCH_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "config/config_state.h"
#include "infrastructure/vm_list.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// What the platform's VM list said last.
struct vm_view {
  std::vector<vm_entry> entries;
  /// When the list was last read; infinite past for never.
  absl::Time read_at = absl::InfinitePast();
};

/// A list that could not be read for this long is stale.
inline constexpr absl::Duration kVmListStaleAfter = absl::Seconds(10);

/// Returns the names of the upstreams whose VM the list says is leaving: by
/// `a.b.c.d:port`, or by `a.b.c.d` for all upstreams of that VM. A stale list
/// still counts, except for a pool that it would leave without any upstream.
std::set<std::string, std::less<>> LeavingUpstreams(const config_state& config,
                                                    const vm_view& view,
                                                    absl::Time now);

/// Returns the peer addresses of the entry VMs that are not leaving.
std::vector<std::string> EntryPeerAddresses(const vm_view& view);

/// Returns the pause between two reads of a list of `rows` rows: longer for a
/// longer list, so that the cost stays bounded, and short enough for a leaving
/// VM to be noticed in time.
absl::Duration VmPollInterval(size_t rows);

/// Reads the VM list again and again, at random offsets so that daemons don't
/// read it together. Keeps the last answer while the list can't be read.
class vm_watch {
 public:
  /// `address` is `a.b.c.d:port`; `client` must outlive this object. `on_read`
  /// is called after each try, successful or not.
  vm_watch(http_client& client, std::string address,
           std::function<void()> on_read);
  ~vm_watch();

  /// Starts reading, on this thread.
  void Start();

  const vm_view& View() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_VM_WATCH_H_
