#ifndef ANVILRIDGE_INFRASTRUCTURE_VM_LIST_H_
#define ANVILRIDGE_INFRASTRUCTURE_VM_LIST_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "upstreams/http_client.h"

namespace anvilridge {

enum class vm_kind { entry, engine, service };
enum class vm_state { live, leaving };

/// One row of the platform's list of VMs, which lags behind the truth.
struct vm_entry {
  std::string name;
  std::string address;
  std::string failure_domain;
  vm_kind kind = vm_kind::engine;
  vm_state state = vm_state::live;
  uint16_t peer_port = 0;
};

/// Reads the VM list from the platform at `address`.
void GetVmList(http_client& client, absl::string_view address,
               std::function<void(absl::StatusOr<std::vector<vm_entry>>)> done);

}  // namespace anvilridge

#endif  // ANVILRIDGE_INFRASTRUCTURE_VM_LIST_H_
