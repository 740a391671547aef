#ifndef ANVILRIDGE_UPSTREAMS_KEPT_BYTES_H_
#define ANVILRIDGE_UPSTREAMS_KEPT_BYTES_H_

#include <cstddef>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

namespace anvilridge {

/// Bounds on the parts of responses that are kept until they are complete, in
/// bytes.
struct kept_bytes_limits {
  /// For all upstreams together, and for each one.
  size_t total = 64 << 20;
  size_t per_upstream = 32 << 20;
};

/// Returns the bounds for a machine with `memory` bytes: an eighth of it for
/// all responses, half of that for one upstream.
kept_bytes_limits KeptBytesLimitsFor(size_t memory);

/// What is kept of the responses in progress, by the address of the upstream.
struct kept_bytes {
  kept_bytes_limits limits;
  size_t total = 0;
  /// Only addresses of which something is kept.
  absl::flat_hash_map<std::string, size_t> by_upstream;
};

/// Returns whether `more` bytes may be kept of responses of `upstream`. When
/// the bound for all is reached, only upstreams of which little is kept may
/// keep more, until twice the bound is reached.
bool MayKeep(const kept_bytes& kept, absl::string_view upstream, size_t more);

/// Bytes kept of one response, which count in a `kept_bytes` until they are
/// released or this is destroyed.
class kept_share {
 public:
  kept_share(std::shared_ptr<kept_bytes> kept, std::string upstream);
  ~kept_share();
  kept_share(const kept_share&) = delete;
  kept_share& operator=(const kept_share&) = delete;

  /// Sets the number of bytes that are kept.
  /// @return false, and changes nothing, if that many may not be kept.
  bool Set(size_t bytes);

  /// Adds to them; returns false as `Set` does.
  bool Add(size_t bytes) { return Set(bytes_ + bytes); }

 private:
  std::shared_ptr<kept_bytes> kept_;
  std::string upstream_;
  size_t bytes_ = 0;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_KEPT_BYTES_H_
