#ifndef ANVILRIDGE_INFRASTRUCTURE_LOG_CLIENT_H_
#define ANVILRIDGE_INFRASTRUCTURE_LOG_CLIENT_H_

#include <QJsonValue>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "upstreams/http_client.h"

namespace anvilridge {

/// A record to append; `id` is unique to the writer's intent, so that a writer
/// whose answer was lost finds out by reading back whether it took effect.
struct log_append {
  std::string id;
  QJsonValue data;
};

/// A record as the log holds it.
struct log_record {
  int64_t offset = 0;
  absl::Time time;
  std::string id;
  QJsonValue data;
};

/// One answer to a read.
struct log_page {
  std::vector<log_record> records;
  /// Offset to read from next; equals the end of the log when `records` is
  /// shorter than the limit asked for.
  int64_t next = 1;
  /// Records before this offset have expired.
  int64_t oldest = 1;
  /// All records appended since then are still kept.
  absl::Time complete_since;
};

/// Calls to the platform's log service, on the thread of `client`. Errors are
/// `log_unavailable`; those of `Append` have run state `unknown` unless
/// nothing was sent or the log refused.
class log_client {
 public:
  /// `address` is `a.b.c.d:port`; `client` must outlive this object.
  log_client(http_client& client, std::string address);

  /// Appends `records` as one append; the result is the offset of the first.
  void Append(absl::string_view stream, const std::vector<log_append>& records,
              std::function<void(absl::StatusOr<int64_t>)> done);

  /// Reads up to `limit` records from offset `from`, waiting up to `wait` for
  /// the first one.
  void Read(absl::string_view stream, int64_t from, int limit,
            absl::Duration wait,
            std::function<void(absl::StatusOr<log_page>)> done);

 private:
  http_client& client_;
  std::string address_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_INFRASTRUCTURE_LOG_CLIENT_H_
