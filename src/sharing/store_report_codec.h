#ifndef ANVILRIDGE_SHARING_STORE_REPORT_CODEC_H_
#define ANVILRIDGE_SHARING_STORE_REPORT_CODEC_H_

#include <QByteArray>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "fleet/topic_report.h"

namespace anvilridge {

/// Longest compressed records in a report, in bytes, so that its datagram fits
/// into one packet.
inline constexpr int kMaxReportedBytes = 1100;

/// Returns the bytes of `report`. Records that would take more than
/// `kMaxReportedBytes` are left out: the receivers then read them themselves.
QByteArray EncodeStoreReport(const store_report& report);

/// Returns whether `bytes` begin as a report of the current version does.
bool IsStoreReport(absl::string_view bytes);

/// Parses the bytes of a report.
/// @return the report, or `malformed_request` if the bytes are not one of the
/// current version.
absl::StatusOr<store_report> DecodeStoreReport(absl::string_view bytes);

}  // namespace anvilridge

#endif  // ANVILRIDGE_SHARING_STORE_REPORT_CODEC_H_
