#include "planning/recorded_day.h"

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>
#include <string>

namespace anvilridge {
namespace {

// One request of the log, merged over all its attempts.
struct recorded_stream {
  absl::Time arrived_at = absl::InfiniteFuture();
  absl::Time first_event = absl::InfiniteFuture();
  double prompt_tokens = 0;
  double expected_tokens = 0;
  // Output tokens of the complete response; 0 without one.
  double generated_tokens = 0;
};

// Collects streams and engines from the log, line by line.
struct recorded_day_reader {
  double tokens_per_event = 1;
  std::map<QString, recorded_stream> streams;
  std::set<QString> engines;
  size_t max_engines = 0;

  void HandleLine(absl::Time time, const QJsonObject& line);
  void HandleRequestEnd(absl::Time time, const QJsonObject& line,
                        recorded_stream& stream);
  void HandleEngineEntry(const QJsonObject& line);
};

// Returns the time of a log line, or the infinite past if the line has none. A
// number before the JSON object takes precedence over the object's own time: it
// comes from a single clock, while the clocks of the daemons' machines may
// differ.
absl::Time LineTime(const std::string& text, size_t json_start,
                    const QJsonObject& line) {
  const std::string prefix = text.substr(0, json_start);
  char* end = nullptr;
  const double seconds = std::strtod(prefix.c_str(), &end);
  if (end != prefix.c_str()) {
    return absl::UnixEpoch() + absl::Seconds(seconds);
  }
  absl::Time time = absl::InfinitePast();
  std::string error;
  if (!absl::ParseTime(absl::RFC3339_full,
                       line["time"].toString().toStdString(), &time, &error)) {
    return absl::InfinitePast();
  }
  return time;
}

void recorded_day_reader::HandleEngineEntry(const QJsonObject& line) {
  const QString id = line["upstream"].toString();
  if (line["event"] == "upstream_entry_removed") {
    engines.erase(id);
  } else if (line["stage"].toInt() != 0) {
    engines.insert(id);
    max_engines = std::max(max_engines, engines.size());
  }
}

void recorded_day_reader::HandleRequestEnd(absl::Time time,
                                           const QJsonObject& line,
                                           recorded_stream& stream) {
  const absl::Time arrival = time - absl::Milliseconds(line["ms"].toDouble());
  stream.arrived_at = std::min(stream.arrived_at, arrival);
  if (line["events"].toInt() == 0) return;
  stream.first_event =
      std::min(stream.first_event,
               arrival + absl::Milliseconds(line["first_event_ms"].toDouble()));
  if (line["event"] == "request_answered") {
    stream.generated_tokens = line["events"].toInt() * tokens_per_event;
  }
}

void recorded_day_reader::HandleLine(absl::Time time, const QJsonObject& line) {
  const QString event = line["event"].toString();
  if (event.startsWith("upstream_entry")) return HandleEngineEntry(line);
  const QString id = line["request"].toString();
  if (event == "engines_chosen") {
    recorded_stream& stream = streams[id];
    stream.arrived_at =
        std::min(stream.arrived_at,
                 time - absl::Milliseconds(line["waited_ms"].toDouble()));
    stream.prompt_tokens = line["prompt"].toDouble();
    stream.expected_tokens = line["output"].toDouble();
  } else if (event == "request_refused" && line["prompt"].toDouble() > 0) {
    recorded_stream& stream = streams[id];
    stream.prompt_tokens = line["prompt"].toDouble();
    HandleRequestEnd(time, line, stream);
  } else if (const auto entry = streams.find(id);
             entry != streams.end() && line.contains("ms") &&
             (event == "request_answered" || event == "caller_left" ||
              event == "stream_broken")) {
    HandleRequestEnd(time, line, entry->second);
  }
}

}  // namespace

recorded_day ReadRecordedDay(std::istream& log, double tokens_per_event,
                             absl::Duration target) {
  recorded_day_reader reader;
  reader.tokens_per_event = tokens_per_event;
  std::string text;
  while (std::getline(log, text)) {
    const size_t json_start = text.find('{');
    if (json_start == std::string::npos) continue;
    const QJsonObject line =
        QJsonDocument::fromJson(
            QByteArray::fromStdString(text.substr(json_start)))
            .object();
    const absl::Time time = LineTime(text, json_start, line);
    if (time > absl::InfinitePast()) reader.HandleLine(time, line);
  }
  recorded_day day;
  day.engines = static_cast<int>(reader.max_engines);
  double generated_tokens = 0;
  int complete_responses = 0;
  for (const auto& [id, stream] : reader.streams) {
    generated_tokens += stream.generated_tokens;
    if (stream.generated_tokens > 0) ++complete_responses;
  }
  const double mean_generated =
      complete_responses > 0 ? generated_tokens / complete_responses : 0;
  for (const auto& [id, stream] : reader.streams) {
    const double expected_tokens =
        stream.expected_tokens > 0 ? stream.expected_tokens : mean_generated;
    day.arrivals.push_back({stream.arrived_at, stream.prompt_tokens,
                            stream.generated_tokens > 0
                                ? stream.generated_tokens
                                : expected_tokens});
    if (stream.first_event - stream.arrived_at <= target) ++day.begun_on_time;
  }
  return day;
}

}  // namespace anvilridge
