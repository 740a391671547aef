#ifndef ANVILRIDGE_UPSTREAMS_CURL_TRANSFER_H_
#define ANVILRIDGE_UPSTREAMS_CURL_TRANSFER_H_

#include <curl/curl.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "base/run_state.h"
#include "upstreams/http_client.h"
#include "upstreams/kept_bytes.h"

namespace anvilridge {

struct curl_easy_deleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct curl_slist_deleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// One HTTP call as libcurl runs it. What arrives is only collected here, so
/// that no handler ever runs inside a callback of libcurl.
struct curl_transfer {
  http_client::call_id id = 0;
  http_call call;
  http_handler handler;
  std::unique_ptr<CURL, curl_easy_deleter> easy;
  std::unique_ptr<curl_slist, curl_slist_deleter> header_list;
  std::array<char, CURL_ERROR_SIZE> error_text{};

  /// Status, header fields and buffered body so far.
  http_result result;
  /// Bytes for `on_data` that have not been handed over yet.
  std::string undelivered;
  absl::Time started;
  /// When a byte of the answer last arrived; at first `started`.
  absl::Time last_progress;
  /// Whether the deadline was found past at the last check.
  bool overdue = false;
  size_t header_bytes = 0;
  /// Whether the status line of a response, final or interim, has arrived and
  /// not yet the end of its header fields.
  bool in_head = false;
  bool status_malformed = false;
  bool headers_complete = false;
  bool headers_delivered = false;
  /// Whether a connection existed, so that the request may have been sent.
  bool connected = false;
  bool body_too_large = false;
  /// What is kept of the answer, and whether more arrived than may be kept.
  std::unique_ptr<kept_share> kept;
  bool exceeds_kept = false;
  bool headers_too_large = false;
  /// The length that the header fields name, and whether they name another one
  /// too or none that can be read.
  std::optional<int64_t> body_length;
  bool body_length_unclear = false;
  /// Told whenever bytes of the answer have arrived.
  std::function<void()> on_progress;
};

/// Checks that `call` can go over the wire as it stands: no control characters
/// in its parts, an IPv4 address and port. Returns `malformed_request` if not.
absl::Status CheckCall(const http_call& call);

/// Makes the easy handle of `transfer` from its `call`. The transfer must not
/// move afterwards.
void PrepareTransfer(curl_transfer& transfer);

/// Returns the error of a transfer that libcurl ended with `code`; ok if a
/// whole answer arrived.
absl::Status TransferError(const curl_transfer& transfer, CURLcode code);

/// Returns whether the request of `transfer` may have been run.
run_state TransferRunState(const curl_transfer& transfer);

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_CURL_TRANSFER_H_
