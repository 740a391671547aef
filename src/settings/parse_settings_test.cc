#include "settings/parse_settings.h"

#include <QFile>
#include <QTemporaryDir>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"
#include "rapidcheck/gtest.h"
#include "settings/settings_reference.h"
#include "settings/settings_table.h"
#include "settings/settings_values.h"

namespace anvilridge {
namespace {

constexpr absl::string_view kLeast =
    "[daemon]\n"
    "name = entry-1\n"
    "failure_domain = zagreb-a\n"
    "[platform]\n"
    "log = 10.0.0.1:7000\n"
    "vm_list = 10.0.0.1:7001\n"
    "[peers]\n"
    "key_file = peer.key\n";

using findings = std::vector<settings_error>;

findings FindingsOf(const std::string& text) {
  const auto result = ParseSettings(text, "a.ini");
  const auto* found = std::get_if<findings>(&result);
  return found == nullptr ? findings{} : *found;
}

std::string TextsOf(const findings& list) {
  std::string text;
  for (const settings_error& finding : list) {
    absl::StrAppend(&text, SettingsErrorText(finding), "\n");
  }
  return text;
}

std::string ReadWhole(const std::string& name) {
  QFile file(QString::fromStdString(name));
  EXPECT_TRUE(file.open(QIODevice::ReadOnly)) << name;
  return file.readAll().toStdString();
}

TEST(parse_settings_test, LeastFileGivesDefaults) {
  const auto result = ParseSettings(kLeast, "a.ini");
  ASSERT_TRUE(std::holds_alternative<daemon_settings>(result));
  const auto& settings = std::get<daemon_settings>(result);
  EXPECT_EQ(settings.identity.name, "entry-1");
  EXPECT_EQ(settings.platform.log.address, "10.0.0.1");
  EXPECT_EQ(settings.platform.vm_list.port, 7001);
  EXPECT_EQ(settings.limits.max_body_bytes, 1 << 20);
}

TEST(parse_settings_test, EveryKeyIsStored) {
  const auto result = ParseSettings(
      "# comment\n; comment\n"
      "[daemon]\r\nname=\"e.1\"\nfailure_domain = a\nregion = hcm\n"
      "traffic_threads = 3\nports_file = p.ini\n"
      "[caller]\nlisten = [::1]:81\ntls = true\ncertificate_file = c\n"
      "private_key_file = k\n"
      "[operator]\nlisten = 127.0.0.1:82\n[peer]\nlisten = 127.0.0.1:83\n"
      "[metrics]\nlisten = 127.0.0.1:84\n"
      "[limits]\nmax_body_bytes = 2048\nmax_header_bytes = 4096\n"
      "max_connections = 5\nmax_requests = 6\nrequest_timeout = 500ms\n"
      "idle_timeout = 7m\nmax_unsent_bytes = 8192\n"
      "max_held_bytes = 2097152\n"
      "[platform]\nlog = 127.0.0.1:1\nvm_list = 127.0.0.1:2\n"
      "weight_store = 127.0.0.1:3\n"
      "log_appends_per_second = 9\nlog_retention = 48h\n"
      "[peers]\nseeds = 10.0.0.1:1, 10.0.0.2:2\nkey_file = s\n"
      "probe_interval = 2s\nlease = 11s\n"
      "[placement]\npolicy = round_robin\nprefix_affinity = false\n"
      "[health]\nconsecutive_failures = 4\nfailure_percent = 40\n"
      "least_calls = 20\nwindow = 20s\nfirst_ejection = 2s\n"
      "longest_ejection = 40s\nreturn_over = 6s\n"
      "[retries]\npercent = 20\nburst = 11\nfirst_pause = 30ms\n"
      "longest_pause = 1s\n"
      "[log]\nlevel = debug\ndestination = l\n"
      "[bootstrap]\nadministrator_key_file = a\n",
      "a.ini");
  ASSERT_TRUE(std::holds_alternative<daemon_settings>(result))
      << TextsOf(std::get<findings>(result));
  auto settings = std::get<daemon_settings>(result);
  // Every key differs from its default, so a row that stores elsewhere shows.
  daemon_settings defaults;
  for (const settings_key& row : SettingsTable()) {
    const bool port_default_tls =
        row.section == "operator" && row.key != "listen";
    if (port_default_tls) continue;
    EXPECT_NE(row.show(settings), row.show(defaults)) << row.section << row.key;
  }
  EXPECT_EQ(settings.identity.name, "e.1");
  EXPECT_EQ(settings.caller.listen.address, "::1");
  EXPECT_TRUE(settings.caller.tls);
  EXPECT_EQ(settings.limits.request_timeout, absl::Milliseconds(500));
  EXPECT_EQ(settings.limits.idle_timeout, absl::Minutes(7));
  EXPECT_EQ(settings.platform.log_retention, absl::Hours(48));
  EXPECT_EQ(settings.peers.seeds,
            (std::vector<std::string>{"10.0.0.1:1", "10.0.0.2:2"}));
}

TEST(parse_settings_test, EachFaultHasALineThatSaysWhatIsAllowed) {
  const struct {
    std::string text;
    std::string finding;
  } cases[] = {
      {"[engines]\n",
       "a.ini:9: [engines]: unknown section; allowed are daemon, caller, "
       "operator, peer, metrics, limits, platform, peers, placement, "
       "health, retries, log, bootstrap"},
      {"[limits]\n[limits]\n",
       "a.ini:10: [limits]: duplicate section; first in line 9"},
      {"[log]\ncolour = red\n",
       "a.ini:10: [log] colour = red: unknown key; allowed are level, "
       "destination"},
      {"[log]\nlevel = warn\nlevel = info\n",
       "a.ini:11: [log] level = info: duplicate key; first in line 10"},
      {"[log]\nlevel = loud\n",
       "a.ini:10: [log] level = loud: allowed is debug, info, warn or error"},
      {"[limits]\nmax_requests = many\n",
       "a.ini:10: [limits] max_requests = many: allowed is an integer from 1 "
       "to 60000"},
      {"[limits]\nmax_requests = 0\n",
       "a.ini:10: [limits] max_requests = 0: allowed is an integer from 1 to "
       "60000"},
      {"[limits]\nidle_timeout = 10\n",
       "a.ini:10: [limits] idle_timeout = 10: allowed is a duration from "
       "100ms to 1h, in ms, s, m or h"},
      {"[caller]\nlisten = localhost:80\n",
       "a.ini:10: [caller] listen = localhost:80: allowed is ip:port with a "
       "port from 0 to 65535"},
      {"[caller]\ntls = yes\n",
       "a.ini:10: [caller] tls = yes: allowed is true or false"},
      {"[caller]\ntls = true\nprivate_key_file = k\n",
       "a.ini:9: [caller] certificate_file: missing; required with tls = "
       "true"},
      {"[caller]\nlisten = 127.0.0.1:80\n[metrics]\nlisten = 0.0.0.0:80\n",
       "a.ini:12: [metrics] listen = 0.0.0.0:80: the port is that of "
       "[caller]; allowed is another, or 0"},
      {"lease = 1s\n",
       "a.ini:9: [peers] lease = 1s: allowed is at least twice "
       "probe_interval, which is 1s"},
      {"[health]\nfirst_ejection = 2s\nlongest_ejection = 1s\n",
       "a.ini:11: [health] longest_ejection = 1s: allowed is at least "
       "first_ejection, which is 2s"},
      {"[limits]\nmax_body_bytes = 2097152\nmax_held_bytes = 1048576\n",
       "a.ini:11: [limits] max_held_bytes = 1048576: allowed is at least "
       "max_body_bytes and max_header_bytes together, which are 2113536"},
      {"seeds = 10.0.0.1:0\n",
       "a.ini:9: [peers] seeds = 10.0.0.1:0: allowed is a list of ip:port "
       "separated by commas"},
      {"no value\n",
       "a.ini:9: [peers] no value: expected key = value, [section] or a "
       "comment line"},
      {"[log\n", "a.ini:9: [peers] [log: a section is written [name]"},
      {"seeds = \"a\n", "a.ini:9: [peers] seeds = \"a: a quote is not closed"},
  };
  for (const auto& row : cases) {
    EXPECT_EQ(TextsOf(FindingsOf(absl::StrCat(kLeast, row.text))),
              row.finding + "\n");
  }
}

TEST(parse_settings_test, AllFindingsComeInOneRun) {
  const std::string text = TextsOf(
      FindingsOf("early = 1\n[daemon]\nname = a b\n[platform]\nlog = 10.0.0.1\n"
                 "[unknown]\nx = 1\n"));
  EXPECT_EQ(text,
            "a.ini: [peers] key_file: missing; required is the name of a "
            "readable file\n"
            "a.ini:1: early = 1: a key stands before the first section\n"
            "a.ini:2: [daemon] failure_domain: missing; required is 1 to 64 "
            "characters of letters, digits, '-', '_' and '.'\n"
            "a.ini:3: [daemon] name = a b: allowed is 1 to 64 characters of "
            "letters, digits, '-', '_' and '.'\n"
            "a.ini:4: [platform] vm_list: missing; required is ip:port with a "
            "port from 1 to 65535\n"
            "a.ini:5: [platform] log = 10.0.0.1: allowed is ip:port with a "
            "port from 1 to 65535\n"
            "a.ini:6: [unknown]: unknown section; allowed are daemon, caller, "
            "operator, peer, metrics, limits, platform, peers, placement, "
            "health, retries, log, bootstrap\n");
}

TEST(parse_settings_test, LoadChecksTheFilesNamed) {
  QTemporaryDir folder;
  const std::string name = folder.filePath("a.ini").toStdString();
  const std::string key = folder.filePath("peer.key").toStdString();
  QFile file(QString::fromStdString(name));
  ASSERT_TRUE(file.open(QIODevice::WriteOnly));
  file.write(QByteArray::fromStdString(
      absl::StrReplaceAll(kLeast, {{"peer.key", key}})));
  file.close();
  auto result = LoadSettings(name);
  ASSERT_TRUE(std::holds_alternative<findings>(result));
  EXPECT_EQ(TextsOf(std::get<findings>(result)),
            absl::StrCat(name, ":8: [peers] key_file = ", key,
                         ": can't be read (No such file or directory); "
                         "allowed is a readable file\n"));
  QFile key_file(QString::fromStdString(key));
  ASSERT_TRUE(key_file.open(QIODevice::WriteOnly));
  key_file.write("secret \n");
  key_file.close();
  EXPECT_TRUE(std::holds_alternative<daemon_settings>(LoadSettings(name)));
  EXPECT_EQ(*ReadKeyFile(key), "secret");
  EXPECT_FALSE(ReadKeyFile(name + ".none").ok());
  result = LoadSettings(name + ".none");
  ASSERT_TRUE(std::holds_alternative<findings>(result));
  EXPECT_TRUE(
      absl::StrContains(TextsOf(std::get<findings>(result)), "No such file"));
}

TEST(parse_settings_test, ExamplesAndReferenceAreUpToDate) {
  for (const char* example : {"blagajna.ini", "thuan-phat.ini"}) {
    const std::string text =
        ReadWhole(absl::StrCat(ANVIL_SOURCE_DIR "/examples/", example));
    EXPECT_EQ(TextsOf(FindingsOf(text)), "") << example;
  }
  EXPECT_EQ(ReadWhole(ANVIL_SOURCE_DIR "/docs/SETTINGS.md"),
            SettingsReference());
}

/// Text near to a settings file: known words, numbers and noise.
rc::Gen<std::string> SettingsLikeText() {
  std::vector<std::string> words = {"[",  "]", "=", "\"", "\n", "\n",
                                    " ",  "#", ";", ":",  "1",  "0",
                                    "ms", "h", "s", "\r", "\t", "true"};
  for (const settings_key& row : SettingsTable()) {
    words.push_back(absl::StrCat("[", row.section, "]\n"));
    words.push_back(absl::StrCat(row.key, " = "));
  }
  return rc::gen::map(
      rc::gen::container<std::vector<std::string>>(rc::gen::oneOf(
          rc::gen::elementOf(words), rc::gen::arbitrary<std::string>())),
      [](const std::vector<std::string>& parts) {
        std::string text;
        for (const std::string& part : parts) text += part;
        return text;
      });
}

RC_GTEST_PROP(parse_settings_test, AnyTextParsesOrHasOneLineFindings, ()) {
  const bool complete = *rc::gen::arbitrary<bool>();
  const std::string text =
      absl::StrCat(complete ? kLeast : "", *SettingsLikeText());
  const auto result = ParseSettings(text, "a.ini");
  if (const auto* list = std::get_if<findings>(&result)) {
    RC_ASSERT(!list->empty());
    for (const settings_error& finding : *list) {
      RC_ASSERT(!finding.message.empty());
      RC_ASSERT(!absl::StrContains(SettingsErrorText(finding), "\n"));
    }
  } else {
    RC_ASSERT(complete);
  }
}

RC_GTEST_PROP(parse_settings_test, DurationsAndEndpointsRoundTrip, ()) {
  const auto duration =
      absl::Milliseconds(*rc::gen::inRange<int64_t>(0, 1LL << 40));
  RC_ASSERT(ParseSettingsDuration(SettingsDurationText(duration)) == duration);
  endpoint value;
  value.port = *rc::gen::arbitrary<uint16_t>();
  value.address = *rc::gen::element<std::string>("10.1.2.3", "::1", "fe80::2");
  const auto parsed = ParseEndpoint(EndpointText(value));
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(parsed->address == value.address);
  RC_ASSERT(parsed->port == value.port);
}

}  // namespace
}  // namespace anvilridge
