#ifndef ANVILRIDGE_CALLER_HANDSHAKE_FILTER_H_
#define ANVILRIDGE_CALLER_HANDSHAKE_FILTER_H_

#include "absl/status/status.h"

namespace anvilridge {

/// Makes the kernel begin no more TCP handshakes on a listening socket, by a
/// socket filter that drops every SYN. Handshakes in progress still end, and
/// connections that are made work on, so that all of them can be accepted
/// before the socket closes. Whoever connects meanwhile is refused on the next
/// try of its kernel, 1 s later on Linux.
/// @param listening a listening TCP socket.
/// @return an error if the kernel takes no filter; nothing has changed then.
absl::Status DropNewHandshakes(int listening);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_HANDSHAKE_FILTER_H_
