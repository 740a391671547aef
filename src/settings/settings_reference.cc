#include "settings/settings_reference.h"

#include "absl/strings/str_cat.h"
#include "settings/settings_table.h"

namespace anvilridge {
namespace {

constexpr absl::string_view kIntroduction =
    "# Settings\n\n"
    "`anvilridged --config FILE` reads an INI file: `[section]`, then\n"
    "`key = value`. A line that begins with `#` or `;` is a comment, a value\n"
    "may stand in double quotes, and each section and key may occur once.\n"
    "`--check-config` prints every finding of a file and exits with 2 when\n"
    "there is one. This page is the output of `--settings-reference`.\n\n"
    "`anvilridge_fleet` reads `[limits]` too. Its operators' configuration\n"
    "may lower `max_body_bytes` and `max_header_bytes`, but not raise them;\n"
    "its idle time goes before `idle_timeout`, and its time for header\n"
    "fields before `request_timeout`. What it lacks is left to the file.\n"
    "Its `[memory] machine_mb`, an integer from 16 to 1048576 with default\n"
    "512, is the memory of its machine in MiB, and bounds what it keeps of\n"
    "incomplete responses and, in another eighth, for callers. `[caps]` says\n"
    "by how much all daemons together may exceed the caps of teams: in any\n"
    "`window` (a time above 0, default 8s), by the part `excess` (0 to 1,\n"
    "default 0) of the cap and `slack` units (up to 1000000000, default 0).\n"
    "Its ports for readiness and metrics have 256 connections, keep 4 MiB for\n"
    "callers and cut those that take nothing of an answer for 2 s.\n";

std::string DefaultText(const settings_key& row) {
  if (row.required) return "required";
  daemon_settings defaults;
  const std::string value = row.show(defaults);
  return value.empty() ? "none" : absl::StrCat("`", value, "`");
}

}  // namespace

std::string SettingsReference() {
  std::string text(kIntroduction);
  std::string section;
  for (const settings_key& row : SettingsTable()) {
    if (row.section != section) {
      section = row.section;
      absl::StrAppend(&text, "\n## [", section, "]\n\n",
                      "| key | allowed | default | meaning |\n",
                      "|---|---|---|---|\n");
    }
    absl::StrAppend(&text, "| `", row.key, "` | ", row.allowed, " | ",
                    DefaultText(row), " | ", row.description, " |\n");
  }
  return text;
}

}  // namespace anvilridge
