#include "harness/fleet.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <sstream>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/strip.h"
#include "absl/time/clock.h"
#include "base/ids.h"
#include "gtest/gtest.h"
#include "harness/eventually.h"

namespace anvilridge {
namespace {

constexpr char kCallerKey[] = "choir-key";
constexpr absl::Duration kStartBound = absl::Seconds(20);

std::string Sha256Hex(absl::string_view text) {
  const QByteArray bytes(text.data(), static_cast<int>(text.size()));
  return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

uint16_t PortIn(const std::string& ports, absl::string_view name) {
  std::istringstream lines(ports);
  for (std::string line; std::getline(lines, line);) {
    absl::string_view value = line;
    int port = 0;
    if (absl::ConsumePrefix(&value, absl::StrCat(name, "=")) &&
        absl::SimpleAtoi(value, &port)) {
      return static_cast<uint16_t>(port);
    }
  }
  return 0;
}

}  // namespace

bool fleet_daemon::Ready() const {
  return Get(metrics, "/readyz").status == 200;
}

fleet::fleet(fleet_options options) : options_(std::move(options)) {
  platform = StartPlatform(options_.platform_options);
  StartUpstreams();
  Configure();
  daemons.resize(options_.daemons);
  for (int i = 0; i < options_.daemons; ++i) {
    daemons[i].name = absl::StrCat("entry-", i + 1);
    StartDaemon(daemons[i]);
  }
  EXPECT_TRUE(WaitReady(kStartBound));
}

void fleet::StartUpstreams() {
  for (int i = 0; i < options_.prefill_engines; ++i) {
    prefill.push_back(
        StartEngine({absl::StrCat("prefill-", i + 1), "prefill", "model",
                     "domain-a", options_.prefill_options}));
  }
  for (int i = 0; i < options_.decode_engines; ++i) {
    decode.push_back(
        StartEngine({absl::StrCat("decode-", i + 1), "decode", "model",
                     "domain-a", options_.decode_options}));
  }
  for (int i = 0; i < options_.services; ++i) {
    services.push_back(StartService(options_.service_options));
  }
}

std::string fleet::Seeds(const fleet_daemon& starting) const {
  std::vector<std::string> seeds;
  for (const fleet_daemon& daemon : daemons) {
    if (&daemon == &starting || daemon.peer == 0) continue;
    seeds.push_back(absl::StrCat("127.0.0.1:", daemon.peer));
  }
  return absl::StrJoin(seeds, ", ");
}

void fleet::StartDaemon(fleet_daemon& daemon) {
  const std::string ports = folder_.File(daemon.name + ".ports");
  (void)folder_.Write(daemon.name + ".ports", "");
  daemon_ini ini;
  ini.Set("daemon", "name", daemon.name);
  ini.Set("daemon", "failure_domain", "domain-a");
  ini.Set("daemon", "ports_file", ports);
  for (const char* port : {"caller", "operator", "peer", "metrics"}) {
    ini.Set(port, "listen", "127.0.0.1:0");
  }
  ini.Set("platform", "log", platform.Address());
  ini.Set("platform", "vm_list", platform.Address());
  ini.Set("platform", "weight_store", platform.Address());
  ini.Set("peers", "key_file", folder_.Write("peer.key", peer_key_));
  const std::string seeds = Seeds(daemon);
  if (!seeds.empty()) ini.Set("peers", "seeds", seeds);
  ini.Set("peers", "probe_interval", "200ms");
  ini.Set("peers", "lease", "1s");
  ini.Set("bootstrap", "administrator_key_file",
          folder_.Write("administrator.key", kAdministratorKey));
  for (const ini_section& section : options_.settings) {
    for (const auto& [key, value] : section.entries) {
      ini.Set(section.name, key, value);
    }
  }
  const std::string file = folder_.Write(daemon.name + ".ini", IniText(ini));
  daemon.process = std::make_unique<child_process>(
      "anvilridged", std::vector<std::string>{"--config", file});
  const bool bound = Eventually(kStartBound, [&] {
    daemon.metrics = PortIn(ReadFile(ports), "metrics");
    return daemon.metrics != 0 || !daemon.process->Running();
  });
  EXPECT_TRUE(bound && daemon.metrics != 0) << daemon.process->Err();
  const std::string text = ReadFile(ports);
  daemon.caller = PortIn(text, "caller");
  daemon.operators = PortIn(text, "operator");
  daemon.peer = PortIn(text, "peer");
}

void fleet::RestartDaemon(size_t index) { StartDaemon(daemons.at(index)); }

void fleet::AddDaemon() {
  fleet_daemon& daemon = daemons.emplace_back();
  daemon.name = absl::StrCat("entry-", daemons.size());
  StartDaemon(daemon);
}

bool fleet::WaitReady(absl::Duration bound) {
  return Eventually(bound, [this] {
    for (fleet_daemon& daemon : daemons) {
      if (daemon.process->Running() && !daemon.Ready()) return false;
    }
    return true;
  });
}

config_command Command(command_verb verb, object_kind object,
                       absl::string_view name,
                       std::vector<field_value> fields) {
  config_command command;
  command.id = NewId();
  command.author = "test";
  command.reason = "set up by a test";
  command.time = absl::Now();
  command.verb = verb;
  command.object = object;
  command.name = std::string(name);
  command.fields = std::move(fields);
  return command;
}

int64_t fleet::Append(const config_command& command) {
  const QJsonObject record{{"id", QString::fromStdString(command.id)},
                           {"data", EncodeCommand(command)}};
  const test_answer answer =
      Post(platform.port, "/log/config", {{"records", QJsonArray{record}}});
  EXPECT_EQ(answer.status, 200) << answer.body;
  return answer.Json()["offsets"].toArray().at(0).toInteger();
}

void fleet::Configure() {
  const auto create = [this](object_kind kind, absl::string_view name,
                             std::vector<field_value> fields) {
    Append(Command(command_verb::create, kind, name, std::move(fields)));
  };
  create(object_kind::team, "choir", {});
  create(object_kind::key, "choir-caller",
         {{"team", "choir"}, {"sha256", Sha256Hex(kCallerKey)}});
  if (!prefill.empty()) ConfigureEngines();
  if (!services.empty()) ConfigureServices();
}

void fleet::ConfigureEngines() {
  const auto create = [this](object_kind kind, absl::string_view name,
                             std::vector<field_value> fields) {
    Append(Command(command_verb::create, kind, name, std::move(fields)));
  };
  create(object_kind::pool, "drafts-prefill",
         {{"role", "prefill"}, {"model", "model"}});
  create(object_kind::pool, "drafts-decode",
         {{"role", "decode"}, {"model", "model"}});
  for (size_t i = 0; i < prefill.size(); ++i) {
    create(object_kind::upstream, absl::StrCat("prefill-", i + 1),
           {{"pool", "drafts-prefill"},
            {"address", prefill[i].Address()},
            {"domain", "domain-a"}});
  }
  for (size_t i = 0; i < decode.size(); ++i) {
    create(object_kind::upstream, absl::StrCat("decode-", i + 1),
           {{"pool", "drafts-decode"},
            {"address", decode[i].Address()},
            {"domain", "domain-a"}});
  }
  create(object_kind::route, "drafts",
         {{"model", "model"},
          {"prefill_pool", "drafts-prefill"},
          {"decode_pool", "drafts-decode"}});
}

void fleet::ConfigureServices() {
  const auto create = [this](object_kind kind, absl::string_view name,
                             std::vector<field_value> fields) {
    Append(Command(command_verb::create, kind, name, std::move(fields)));
  };
  create(object_kind::pool, "ledger", {{"role", "service"}});
  for (size_t i = 0; i < services.size(); ++i) {
    create(object_kind::upstream, absl::StrCat("ledger-", i + 1),
           {{"pool", "ledger"},
            {"address", services[i].Address()},
            {"domain", "domain-a"},
            {"fencing", options_.services_check_fencing ? "yes" : "no"}});
  }
  create(object_kind::route, "ledger",
         {{"path", "/ledger/"}, {"service_pool", "ledger"}});
}

test_headers fleet::Caller(test_headers more) const {
  test_headers headers = {
      {"Authorization", absl::StrCat("Bearer ", kCallerKey)}};
  headers.insert(headers.end(), more.begin(), more.end());
  return headers;
}

QJsonObject fleet::Completion(absl::string_view prompt, int max_tokens,
                              bool stream) {
  return {{"model", "model"},
          {"prompt",
           QString::fromUtf8(prompt.data(), static_cast<int>(prompt.size()))},
          {"max_tokens", max_tokens},
          {"stream", stream}};
}

std::vector<QJsonObject> fleet::HeldRequests() const {
  std::vector<QJsonObject> held;
  for (const std::vector<standin>* engines : {&prefill, &decode}) {
    for (const standin& engine : *engines) {
      if (!engine.process->Running()) continue;
      for (QJsonObject& row : EngineRequests(engine.port)) {
        held.push_back(std::move(row));
      }
    }
  }
  return held;
}

std::string StreamedText(const std::vector<test_event>& events) {
  std::string text;
  for (const test_event& event : events) {
    if (event.data == "[DONE]" || !event.event.empty()) continue;
    const QJsonArray choices = event.Json()["choices"].toArray();
    text += choices.at(0).toObject()["text"].toString().toStdString();
  }
  return text;
}

}  // namespace anvilridge
