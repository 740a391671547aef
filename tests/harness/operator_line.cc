#include "harness/operator_line.h"

#include <QJsonArray>
#include <QUrl>

#include "absl/strings/str_cat.h"

namespace anvilridge {
namespace {

test_headers Administrator() {
  return {{"Authorization", absl::StrCat("Bearer ", kAdministratorKey)},
          {"Content-Type", "application/json"}};
}

QString ToQt(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<int>(text.size()));
}

}  // namespace

test_answer GiveCommand(const fleet_daemon& daemon, absl::string_view line,
                        absl::string_view author) {
  return Post(daemon.operators, "/api/v1/command",
              {{"command", ToQt(line)}, {"author", ToQt(author)}},
              Administrator());
}

test_answer AskQuery(const fleet_daemon& daemon, absl::string_view query) {
  const std::string encoded =
      QUrl::toPercentEncoding(ToQt(query)).toStdString();
  return Get(daemon.operators, absl::StrCat("/api/v1/query?q=", encoded),
             Administrator());
}

QJsonObject FirstRow(const fleet_daemon& daemon, absl::string_view query) {
  return AskQuery(daemon, query).Json()["rows"].toArray().at(0).toObject();
}

}  // namespace anvilridge
