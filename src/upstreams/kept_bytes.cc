#include "upstreams/kept_bytes.h"

#include <utility>

namespace anvilridge {
namespace {

// The rest of the memory is for the program itself, its connections and what
// callers send and receive.
constexpr size_t kMemoryParts = 8;
// Bytes that an upstream may keep beyond the bound for all: most responses of
// sound upstreams are far shorter.
constexpr size_t kReservedBytes = 256 << 10;

}  // namespace

kept_bytes_limits KeptBytesLimitsFor(size_t memory) {
  const size_t total = memory / kMemoryParts;
  return {total, total / 2};
}

bool MayKeep(const kept_bytes& kept, absl::string_view upstream, size_t more) {
  const auto found = kept.by_upstream.find(upstream);
  const size_t own =
      (found == kept.by_upstream.end() ? 0 : found->second) + more;
  if (own > kept.limits.per_upstream) return false;
  if (kept.total + more <= kept.limits.total) return true;
  return own <= kReservedBytes && kept.total + more <= 2 * kept.limits.total;
}

kept_share::kept_share(std::shared_ptr<kept_bytes> kept, std::string upstream)
    : kept_(std::move(kept)), upstream_(std::move(upstream)) {}

kept_share::~kept_share() { Set(0); }

bool kept_share::Set(size_t bytes) {
  if (bytes == bytes_) return true;
  if (bytes > bytes_ && !MayKeep(*kept_, upstream_, bytes - bytes_)) {
    return false;
  }
  size_t& own = kept_->by_upstream[upstream_];
  own = own + bytes - bytes_;
  kept_->total = kept_->total + bytes - bytes_;
  bytes_ = bytes;
  if (own == 0) kept_->by_upstream.erase(upstream_);
  return true;
}

}  // namespace anvilridge
