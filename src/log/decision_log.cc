#include "log/decision_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <poll.h>
#include <unistd.h>

#include <QFile>
#include <QJsonDocument>
#include <array>
#include <memory>
#include <mutex>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/error_kind.h"
#include "log/line_budget.h"

namespace anvilridge {
namespace {

/// The process's log: log4cplus is initialised for as long as this lives.
struct log_state {
  log4cplus::Initializer initializer;
  log4cplus::Logger logger = log4cplus::Logger::getInstance("anvilridge");
  std::mutex mutex;
  /// Guarded by `mutex`, as all below.
  std::string daemon;
  /// Of a standard stream that lines are written to; -1 for a file.
  int stream = -1;
  line_budget budget;

  log_state() {
    logger.setAdditivity(false);
    logger.setLogLevel(log4cplus::OFF_LOG_LEVEL);
  }
};

/// Never destroyed: threads may log while the process exits.
log_state& State() {
  static auto* const kState = new log_state;
  return *kState;
}

struct level_name {
  log_level level;
  absl::string_view name;
  log4cplus::LogLevel library_level;
};

constexpr std::array kLevels = {
    level_name{log_level::debug, "debug", log4cplus::DEBUG_LOG_LEVEL},
    level_name{log_level::info, "info", log4cplus::INFO_LOG_LEVEL},
    level_name{log_level::warn, "warn", log4cplus::WARN_LOG_LEVEL},
    level_name{log_level::error, "error", log4cplus::ERROR_LOG_LEVEL},
};

const level_name& NameOf(log_level level) {
  return kLevels.at(static_cast<size_t>(level));
}

absl::StatusOr<log4cplus::LogLevel> LevelNamed(absl::string_view name) {
  for (const level_name& row : kLevels) {
    if (row.name == name) return row.library_level;
  }
  return MakeError(error_kind::internal,
                   absl::StrCat("there is no log level ", name));
}

absl::StatusOr<log4cplus::SharedAppenderPtr> MakeAppender(
    const std::string& destination) {
  constexpr bool kImmediateFlush = true;
  if (destination == "stdout" || destination == "stderr") {
    return log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(
        destination == "stderr", kImmediateFlush));
  }
  // log4cplus reports a file that it can't open on stderr only.
  QFile file(QString::fromStdString(destination));
  if (!file.open(QIODevice::WriteOnly | QIODevice::Append)) {
    return MakeError(error_kind::internal,
                     absl::StrCat("can't write the log file ", destination,
                                  ": ", file.errorString().toStdString()));
  }
  file.close();
  return log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(
      destination, std::ios_base::app, kImmediateFlush));
}

QString Text(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

// Whether a line can be written to `stream` without waiting for its reader. A
// pipe that can be written takes 4,096 bytes, more than a line has.
bool CanWrite(int stream) {
  if (stream < 0) return true;
  pollfd poll_for{stream, POLLOUT, 0};
  return ::poll(&poll_for, 1, 0) > 0;
}

std::string TimeText(absl::Time time) {
  return absl::FormatTime("%Y-%m-%d%ET%H:%M:%E3SZ", time, absl::UTCTimeZone());
}

void WriteLine(log_state& state, const level_name& name,
               absl::string_view event, const QJsonObject& fields) {
  QJsonObject line = fields;
  line["time"] = Text(TimeText(WallNow()));
  line["level"] = Text(name.name);
  line["event"] = Text(event);
  line["daemon"] = Text(state.daemon);
  const QByteArray text = QJsonDocument(line).toJson(QJsonDocument::Compact);
  state.logger.log(name.library_level, text.toStdString());
}

}  // namespace

absl::Status OpenLog(const log_settings& settings, absl::string_view daemon) {
  const auto level = LevelNamed(settings.level);
  if (!level.ok()) return level.status();
  log_state& state = State();
  auto appender = MakeAppender(settings.destination);
  if (!appender.ok()) return appender.status();
  (*appender)->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  const std::lock_guard lock(state.mutex);
  state.daemon = std::string(daemon);
  state.stream = settings.destination == "stdout"   ? STDOUT_FILENO
                 : settings.destination == "stderr" ? STDERR_FILENO
                                                    : -1;
  state.budget = {};
  state.logger.removeAllAppenders();
  state.logger.addAppender(*appender);
  state.logger.setLogLevel(*level);
  return absl::OkStatus();
}

void LogEvent(log_level level, absl::string_view event,
              const QJsonObject& fields) {
  log_state& state = State();
  const level_name& name = NameOf(level);
  if (!state.logger.isEnabledFor(name.library_level)) return;
  const std::lock_guard lock(state.mutex);
  // Warnings and errors are few; they are left out only for a slow reader.
  const bool is_bounded = level == log_level::debug || level == log_level::info;
  if (is_bounded && !TakeLine(state.budget, MonotonicNow())) return;
  if (!CanWrite(state.stream)) {
    ++state.budget.dropped;
    return;
  }
  WriteLine(state, name, event, fields);
  if (state.budget.dropped == 0 || !CanWrite(state.stream)) return;
  const int64_t dropped = TakeNote(state.budget);
  WriteLine(state, NameOf(log_level::warn), "log_lines_dropped",
            {{"lines", static_cast<double>(dropped)}});
}

}  // namespace anvilridge
