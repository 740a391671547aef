#include "soak/soak_config.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace anvilridge {
namespace {

QJsonObject Route(const char* name, const QString& prefix, const char* kind,
                  const char* service, absl::Duration limit, int target_ms) {
  return {{"Name", name},
          {"Host", "a.example"},
          {"PathPrefix", prefix},
          {"Kind", kind},
          {"Service", service},
          {"Attempts", static_cast<int>(kAttempts)},
          {"TimeoutMs", static_cast<int>(absl::ToInt64Milliseconds(limit))},
          {"LatencyTargetMs", target_ms}};
}

}  // namespace

std::string ConfigText(int version, absl::Duration call_limit,
                       absl::Duration stream_limit, const QJsonArray& teams) {
  QJsonObject stream =
      Route("draft", "/draft/", "stream", "model", stream_limit, 900);
  stream["GapTargetMs"] = 300;
  QJsonObject once = stream;
  once["Name"] = "once";
  once["PathPrefix"] = "/once/";
  stream["CanResume"] = true;
  QJsonObject versioned = Route("version", QString("/v%1/").arg(version),
                                "safe", "ledger", kCallLimit, 150);
  if (!teams.isEmpty()) versioned["Public"] = true;
  const QJsonArray routes{
      stream, once,
      Route("post", "/post/", "unsafe", "ledger", call_limit, 150),
      Route("read", "/read/", "safe", "ledger", call_limit, 150), versioned};
  const QJsonObject engine{{"Slots", 12},        {"KvCapacity", 100000},
                           {"KvTokenBytes", 16}, {"LinkMbps", 1000},
                           {"HandleTtlS", 5},    {"StageSwitchS", 6},
                           {"Stride", 10}};
  const QJsonArray services{
      QJsonObject{{"Name", "model"}, {"MaxConns", 64}, {"Engine", engine}},
      QJsonObject{{"Name", "ledger"}, {"MaxConns", 256}}};
  QJsonObject config{
      {"Version", version}, {"Routes", routes}, {"Services", services}};
  if (!teams.isEmpty()) config["Tenants"] = teams;
  return QJsonDocument(config).toJson(QJsonDocument::Compact).toStdString();
}

}  // namespace anvilridge
