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

struct recorded_stream {
  absl::Time at = absl::InfiniteFuture();
  absl::Time first_event = absl::InfiniteFuture();
  double prompt = 0;
  double expected = 0;
  // Of a whole answer; 0 for none.
  double generated = 0;
};

struct day_reader {
  double tokens_per_event = 1;
  std::map<QString, recorded_stream> streams;
  std::set<QString> engines;
  size_t most_engines = 0;

  void Take(absl::Time time, const QJsonObject& line);
  void TakeEnd(absl::Time time, const QJsonObject& line,
               recorded_stream& stream);
  void TakeEngine(const QJsonObject& line);
};

// The machines' clocks may differ: a number before the object counts first, as
// it is one clock's.
absl::Time TimeOf(const std::string& text, size_t brace,
                  const QJsonObject& line) {
  const std::string before = text.substr(0, brace);
  char* end = nullptr;
  const double seconds = std::strtod(before.c_str(), &end);
  if (end != before.c_str()) {
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

void day_reader::TakeEngine(const QJsonObject& line) {
  const QString id = line["upstream"].toString();
  if (line["event"] == "upstream_entry_removed") {
    engines.erase(id);
  } else if (line["stage"].toInt() != 0) {
    engines.insert(id);
    most_engines = std::max(most_engines, engines.size());
  }
}

void day_reader::TakeEnd(absl::Time time, const QJsonObject& line,
                         recorded_stream& stream) {
  const absl::Time arrived = time - absl::Milliseconds(line["ms"].toDouble());
  stream.at = std::min(stream.at, arrived);
  if (line["events"].toInt() == 0) return;
  stream.first_event =
      std::min(stream.first_event,
               arrived + absl::Milliseconds(line["first_event_ms"].toDouble()));
  if (line["event"] == "request_answered") {
    stream.generated = line["events"].toInt() * tokens_per_event;
  }
}

void day_reader::Take(absl::Time time, const QJsonObject& line) {
  const QString event = line["event"].toString();
  if (event.startsWith("upstream_entry")) return TakeEngine(line);
  const QString id = line["request"].toString();
  if (event == "engines_chosen") {
    recorded_stream& stream = streams[id];
    stream.at = std::min(
        stream.at, time - absl::Milliseconds(line["waited_ms"].toDouble()));
    stream.prompt = line["prompt"].toDouble();
    stream.expected = line["output"].toDouble();
  } else if (event == "request_refused" && line["prompt"].toDouble() > 0) {
    recorded_stream& stream = streams[id];
    stream.prompt = line["prompt"].toDouble();
    TakeEnd(time, line, stream);
  } else if (const auto found = streams.find(id);
             found != streams.end() && line.contains("ms") &&
             (event == "request_answered" || event == "caller_left" ||
              event == "stream_broken")) {
    TakeEnd(time, line, found->second);
  }
}

}  // namespace

recorded_day ReadRecordedDay(std::istream& log, double tokens_per_event,
                             absl::Duration latency_target) {
  day_reader reader;
  reader.tokens_per_event = tokens_per_event;
  std::string text;
  while (std::getline(log, text)) {
    const size_t brace = text.find('{');
    if (brace == std::string::npos) continue;
    const QJsonObject line =
        QJsonDocument::fromJson(QByteArray::fromStdString(text.substr(brace)))
            .object();
    const absl::Time time = TimeOf(text, brace, line);
    if (time > absl::InfinitePast()) reader.Take(time, line);
  }
  recorded_day day;
  day.engines = static_cast<int>(reader.most_engines);
  double generated = 0;
  int whole = 0;
  for (const auto& [id, stream] : reader.streams) {
    generated += stream.generated;
    if (stream.generated > 0) ++whole;
  }
  const double mean = whole > 0 ? generated / whole : 0;
  for (const auto& [id, stream] : reader.streams) {
    const double expected = stream.expected > 0 ? stream.expected : mean;
    day.arrivals.push_back(
        {stream.at, stream.prompt,
         stream.generated > 0 ? stream.generated : expected});
    if (stream.first_event - stream.at <= latency_target) ++day.begun_on_time;
  }
  return day;
}

}  // namespace anvilridge
