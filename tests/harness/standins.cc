#include "harness/standins.h"

#include <QJsonArray>

#include "absl/strings/str_cat.h"
#include "gtest/gtest.h"
#include "harness/test_http.h"

namespace anvilridge {
namespace {

standin Start(absl::string_view program, standin_options options) {
  standin started;
  started.process =
      std::make_unique<child_process>(program, std::move(options));
  started.port = started.process->WaitForPort();
  return started;
}

}  // namespace

std::string standin::Address() const {
  return absl::StrCat("127.0.0.1:", port);
}

standin StartEngine(const engine_start& start) {
  standin_options options = {"--id=" + start.id, "--role=" + start.role,
                             "--model=" + start.model,
                             "--failure-domain=" + start.failure_domain};
  options.insert(options.end(), start.more.begin(), start.more.end());
  return Start("standin_engine", std::move(options));
}

standin StartService(const standin_options& options) {
  return Start("standin_service", options);
}

standin StartPlatform(const standin_options& options) {
  return Start("standin_platform", options);
}

void SetFault(uint16_t port, absl::string_view fault, QJsonObject parameters) {
  parameters["fault"] = QString::fromStdString(std::string(fault));
  const test_answer answer = Post(port, "/standin/faults", parameters);
  EXPECT_EQ(answer.status, 200) << fault << ": " << answer.body;
}

void ClearFaults(uint16_t port) {
  EXPECT_EQ(Delete(port, "/standin/faults").status, 200);
}

std::vector<QJsonObject> EngineRequests(uint16_t port) {
  const test_answer answer = Get(port, "/v1/requests");
  EXPECT_EQ(answer.status, 200) << answer.error;
  std::vector<QJsonObject> rows;
  const QJsonArray list = answer.Json().value("requests").toArray();
  for (const QJsonValue row : list) rows.push_back(row.toObject());
  return rows;
}

}  // namespace anvilridge
