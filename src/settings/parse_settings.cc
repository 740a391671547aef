#include "settings/parse_settings.h"

#include <QFile>
#include <QFileInfo>
#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "settings/ini_reader.h"
#include "settings/settings_table.h"
#include "settings/settings_values.h"

namespace anvilridge {
namespace {

/// Largest settings and key files.
constexpr int64_t kMaxFileBytes = 1 << 20;

using finding_list = std::vector<settings_error>;

/// One file while it is checked.
struct settings_check {
  std::string file;
  ini_document document;
  daemon_settings settings;
  finding_list findings;
};

void AddFinding(settings_check& check, const ini_entry& entry,
                absl::string_view message) {
  check.findings.push_back({check.file, entry.line, entry.section, entry.key,
                            entry.value, std::string(message)});
}

const ini_entry* FindEntry(const ini_document& document,
                           absl::string_view section, absl::string_view key) {
  for (const ini_entry& entry : document.entries) {
    if (entry.section == section && entry.key == key) return &entry;
  }
  return nullptr;
}

int LineOfSection(const ini_document& document, absl::string_view section) {
  for (const ini_section& known : document.sections) {
    if (known.name == section) return known.line;
  }
  return 0;
}

void CheckLines(settings_check& check) {
  for (const ini_defect& defect : check.document.defects) {
    check.findings.push_back({check.file, defect.line, defect.section, "",
                              defect.text, defect.message});
  }
}

std::string AllowedSections() {
  std::string list;
  absl::string_view last;
  for (const settings_key& row : SettingsTable()) {
    if (row.section == last) continue;
    last = row.section;
    absl::StrAppend(&list, list.empty() ? "" : ", ", row.section);
  }
  return list;
}

std::string AllowedKeys(absl::string_view section) {
  std::string list;
  for (const settings_key& row : SettingsTable()) {
    if (row.section != section) continue;
    absl::StrAppend(&list, list.empty() ? "" : ", ", row.key);
  }
  return list;
}

void CheckSections(settings_check& check) {
  std::map<std::string, int> first_lines;
  for (const ini_section& section : check.document.sections) {
    settings_error finding{check.file, section.line, section.name, "", "", ""};
    const auto [first, is_new] =
        first_lines.emplace(section.name, section.line);
    if (!IsSettingsSection(section.name)) {
      finding.message =
          absl::StrCat("unknown section; allowed are ", AllowedSections());
    } else if (!is_new) {
      finding.message =
          absl::StrCat("duplicate section; first in line ", first->second);
    } else {
      continue;
    }
    check.findings.push_back(finding);
  }
}

void CheckEntries(settings_check& check) {
  for (const ini_entry& entry : check.document.entries) {
    if (entry.section.empty()) {
      AddFinding(check, entry, "a key stands before the first section");
      continue;
    }
    // The unknown section is a finding already.
    if (!IsSettingsSection(entry.section)) continue;
    const settings_key* row = FindSettingsKey(entry.section, entry.key);
    if (row == nullptr) {
      AddFinding(check, entry,
                 absl::StrCat("unknown key; allowed are ",
                              AllowedKeys(entry.section)));
      continue;
    }
    const ini_entry* first =
        FindEntry(check.document, entry.section, entry.key);
    if (first != &entry) {
      AddFinding(check, entry,
                 absl::StrCat("duplicate key; first in line ", first->line));
      continue;
    }
    if (!row->set(entry.value, check.settings)) {
      AddFinding(check, entry, absl::StrCat("allowed is ", row->allowed));
    }
  }
}

void CheckRequired(settings_check& check) {
  for (const settings_key& row : SettingsTable()) {
    if (!row.required) continue;
    if (FindEntry(check.document, row.section, row.key) != nullptr) continue;
    check.findings.push_back(
        {check.file, LineOfSection(check.document, row.section), row.section,
         row.key, "", absl::StrCat("missing; required is ", row.allowed)});
  }
}

/// Adds a finding on a key that may not stand in the file itself.
void AddFindingOn(settings_check& check, absl::string_view section,
                  absl::string_view key, absl::string_view message) {
  const ini_entry* entry = FindEntry(check.document, section, key);
  if (entry != nullptr) {
    AddFinding(check, *entry, message);
    return;
  }
  check.findings.push_back({check.file, LineOfSection(check.document, section),
                            std::string(section), std::string(key), "",
                            std::string(message)});
}

void CheckTlsFiles(settings_check& check, absl::string_view section,
                   const port_settings& port) {
  if (!port.tls) return;
  if (port.certificate_file.empty()) {
    AddFindingOn(check, section, "certificate_file",
                 "missing; required with tls = true");
  }
  if (port.private_key_file.empty()) {
    AddFindingOn(check, section, "private_key_file",
                 "missing; required with tls = true");
  }
}

void CheckPortsDiffer(settings_check& check) {
  const daemon_settings& settings = check.settings;
  const std::array ports = {
      std::pair{absl::string_view("caller"), settings.caller.listen},
      std::pair{absl::string_view("operator"), settings.operators.listen},
      std::pair{absl::string_view("peer"), settings.peer.listen},
      std::pair{absl::string_view("metrics"), settings.metrics.listen},
  };
  for (size_t i = 0; i < ports.size(); ++i) {
    for (size_t j = 0; j < i; ++j) {
      const endpoint& later = ports.at(i).second;
      const endpoint& earlier = ports.at(j).second;
      if (later.port == 0 || later.port != earlier.port) continue;
      AddFindingOn(check, ports.at(i).first, "listen",
                   absl::StrCat("the port is that of [", ports.at(j).first,
                                "]; allowed is another, or 0"));
      break;
    }
  }
}

void CheckLease(settings_check& check) {
  const peer_settings& peers = check.settings.peers;
  if (peers.lease >= 2 * peers.probe_interval) return;
  AddFindingOn(check, "peers", "lease",
               absl::StrCat("allowed is at least twice probe_interval, which "
                            "is ",
                            SettingsDurationText(peers.probe_interval)));
}

void CheckEjections(settings_check& check) {
  const health_settings& health = check.settings.health;
  if (health.longest_ejection >= health.first_ejection) return;
  AddFindingOn(check, "health", "longest_ejection",
               absl::StrCat("allowed is at least first_ejection, which is ",
                            SettingsDurationText(health.first_ejection)));
}

// A request inside the limits must be served while there are no others.
void CheckHeldBytes(settings_check& check) {
  const limit_settings& limits = check.settings.limits;
  const int64_t least = limits.max_body_bytes + limits.max_header_bytes;
  if (limits.max_held_bytes >= least) return;
  AddFindingOn(check, "limits", "max_held_bytes",
               absl::StrCat("allowed is at least max_body_bytes and "
                            "max_header_bytes together, which are ",
                            least));
}

settings_check CheckText(absl::string_view text, absl::string_view file) {
  settings_check check;
  check.file = std::string(file);
  check.document = ReadIni(text);
  CheckLines(check);
  CheckSections(check);
  CheckEntries(check);
  CheckRequired(check);
  CheckTlsFiles(check, "caller", check.settings.caller);
  CheckTlsFiles(check, "operator", check.settings.operators);
  CheckPortsDiffer(check);
  CheckLease(check);
  CheckEjections(check);
  CheckHeldBytes(check);
  return check;
}

void CheckFiles(settings_check& check) {
  for (const ini_entry& entry : check.document.entries) {
    const settings_key* row = FindSettingsKey(entry.section, entry.key);
    if (row == nullptr || !row->names_file || entry.value.empty()) continue;
    const QString name = QString::fromStdString(entry.value);
    QFile file(name);
    if (QFileInfo(name).isDir()) {
      AddFinding(check, entry, "is a directory; allowed is a readable file");
    } else if (!file.open(QIODevice::ReadOnly)) {
      AddFinding(
          check, entry,
          absl::StrCat("can't be read (", file.errorString().toStdString(),
                       "); allowed is a readable file"));
    }
  }
}

std::variant<daemon_settings, finding_list> Conclude(settings_check check) {
  if (check.findings.empty()) return std::move(check.settings);
  std::stable_sort(
      check.findings.begin(), check.findings.end(),
      [](const auto& a, const auto& b) { return a.line < b.line; });
  return std::move(check.findings);
}

/// Makes text of a file fit for one line on a terminal.
std::string Printable(absl::string_view text) {
  constexpr size_t kMaxLength = 100;
  std::string line(text.substr(0, kMaxLength));
  std::replace_if(
      line.begin(), line.end(), [](char c) { return absl::ascii_iscntrl(c); },
      '?');
  if (text.size() > kMaxLength) line += "...";
  return line;
}

}  // namespace

std::string SettingsErrorText(const settings_error& error) {
  std::string text = error.file;
  if (error.line > 0) absl::StrAppend(&text, ":", error.line);
  absl::StrAppend(&text, ":");
  if (!error.section.empty()) {
    absl::StrAppend(&text, " [", Printable(error.section), "]");
  }
  if (!error.key.empty()) absl::StrAppend(&text, " ", Printable(error.key));
  if (!error.value.empty()) {
    absl::StrAppend(&text, error.key.empty() ? " " : " = ",
                    Printable(error.value));
  }
  const bool has_place =
      !error.section.empty() || !error.key.empty() || !error.value.empty();
  absl::StrAppend(&text, has_place ? ": " : " ", error.message);
  return text;
}

std::variant<daemon_settings, std::vector<settings_error>> ParseSettings(
    absl::string_view text, absl::string_view file) {
  return Conclude(CheckText(text, file));
}

std::variant<daemon_settings, std::vector<settings_error>> LoadSettings(
    absl::string_view file) {
  const std::string name(file);
  QFile source(QString::fromStdString(name));
  if (QFileInfo(source).isDir()) {
    return finding_list{{name, 0, "", "", "", "is a directory"}};
  }
  if (!source.open(QIODevice::ReadOnly)) {
    return finding_list{
        {name, 0, "", "", "",
         absl::StrCat("can't be read: ", source.errorString().toStdString())}};
  }
  if (source.size() > kMaxFileBytes) {
    return finding_list{
        {name, 0, "", "", "",
         absl::StrCat("is larger than ", kMaxFileBytes, " bytes")}};
  }
  const QByteArray text = source.readAll();
  settings_check check =
      CheckText(absl::string_view(text.constData(), text.size()), file);
  CheckFiles(check);
  return Conclude(std::move(check));
}

absl::StatusOr<std::string> ReadKeyFile(absl::string_view file) {
  const std::string name(file);
  QFile source(QString::fromStdString(name));
  if (!source.open(QIODevice::ReadOnly)) {
    return MakeError(error_kind::internal,
                     absl::StrCat("can't read the key file ", name, ": ",
                                  source.errorString().toStdString()));
  }
  std::string key = source.read(kMaxFileBytes).toStdString();
  absl::StripTrailingAsciiWhitespace(&key);
  if (key.empty()) {
    return MakeError(error_kind::internal,
                     absl::StrCat("the key file ", name, " is empty"));
  }
  return key;
}

}  // namespace anvilridge
