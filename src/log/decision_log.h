#ifndef ANVILRIDGE_LOG_DECISION_LOG_H_
#define ANVILRIDGE_LOG_DECISION_LOG_H_

#include <QJsonObject>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

enum class log_level { debug, info, warn, error };

/// Opens the log; `daemon` is written on every line.
absl::Status OpenLog(const log_settings& settings, absl::string_view daemon);

/// Writes one JSON line with `time`, `level`, `daemon`, `event` and `fields`.
/// Any thread. Never pass request bodies or keys. Never waits for the reader of
/// a standard stream, and bounds the lines a second below `warn`: what is left
/// out is counted on a line `log_lines_dropped`.
void LogEvent(log_level level, absl::string_view event,
              const QJsonObject& fields = {});

}  // namespace anvilridge

#endif  // ANVILRIDGE_LOG_DECISION_LOG_H_
