#include "caller/handshake_filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdint>

namespace anvilridge {
namespace {

/// Offset of the flags within a TCP header, and the flag of a SYN.
constexpr uint32_t kFlagsOffset = 13;
constexpr uint32_t kSynFlag = 0x02;

constexpr uint32_t kDrop = 0;
constexpr uint32_t kKeepWhole = 0xffffffff;

}  // namespace

absl::Status DropNewHandshakes(int listening) {
  // The kernel shows a TCP socket's filter each segment from its TCP header on.
  std::array<sock_filter, 4> program = {{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSynFlag, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, kDrop),
      BPF_STMT(BPF_RET | BPF_K, kKeepWhole),
  }};
  const sock_fprog filter{.len = static_cast<uint16_t>(program.size()),
                          .filter = program.data()};
  if (::setsockopt(listening, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                   sizeof(filter)) != 0) {
    return absl::ErrnoToStatus(errno, "can't filter handshakes");
  }
  return absl::OkStatus();
}

}  // namespace anvilridge
