#include "fleet_daemon/fleet_settings.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

constexpr absl::string_view kRequiredKeys =
    "[daemon]\nname = entry-1\nfailure_domain = zagreb-a\n"
    "[caller]\nlisten = 10.0.0.1:8144\n"
    "[readiness]\nlisten = 10.0.0.1:8140\n"
    "[metrics]\nlisten = 10.0.0.1:9464\n"
    "[sharing]\nlisten = 10.0.0.1:7660\n"
    "[store]\naddress = 10.0.0.9:8142\n";

std::vector<settings_error> ParseErrors(absl::string_view text) {
  const auto parsed = ParseFleetSettings(text, "fleet.ini");
  const auto* errors = std::get_if<std::vector<settings_error>>(&parsed);
  return errors == nullptr ? std::vector<settings_error>() : *errors;
}

TEST(fleet_settings_test, RequiredKeysSuffice) {
  const auto parsed = ParseFleetSettings(kRequiredKeys, "fleet.ini");
  const auto* settings = std::get_if<fleet_settings>(&parsed);
  ASSERT_NE(settings, nullptr);
  EXPECT_EQ(settings->name, "entry-1");
  EXPECT_EQ(settings->store.port, 8142);
  EXPECT_EQ(settings->readiness_path, "/readyz");
}

TEST(fleet_settings_test, ReadsDecimalsAndUnits) {
  const auto parsed = ParseFleetSettings(
      absl::StrCat(kRequiredKeys,
                   "[budget]\nratio = 0.25\nslack = 52.0\nwindow = 10.0s\n"
                   "[stop]\ngrace = 7500ms\n"),
      "fleet.ini");
  const auto* settings = std::get_if<fleet_settings>(&parsed);
  ASSERT_NE(settings, nullptr);
  EXPECT_DOUBLE_EQ(settings->budget.ratio, 0.25);
  EXPECT_EQ(settings->budget.slack, 52);
  EXPECT_EQ(settings->budget.window, absl::Seconds(10));
  EXPECT_EQ(settings->stop_grace, absl::Milliseconds(7500));
}

TEST(fleet_settings_test, ReportsEachMissingKey) {
  const auto errors = ParseErrors("");
  ASSERT_EQ(errors.size(), 7u);
  EXPECT_EQ(SettingsErrorText(errors[0]).find("fleet.ini: [daemon] name"), 0u);
}

TEST(fleet_settings_test, ReportsEveryError) {
  const auto errors = ParseErrors(absl::StrCat(
      kRequiredKeys,
      "[budget]\nratio = 2\nslack = many\nwindow = 10\n[what]\nx = 1\n",
      "[log]\nlevel = loud\nlevel = info\n"));
  ASSERT_EQ(errors.size(), 6u);
  EXPECT_EQ(errors[0].key, "ratio");
  EXPECT_EQ(errors[1].key, "slack");
  EXPECT_EQ(errors[2].message,
            "allowed is a number above 0 with the unit ms or s");
  EXPECT_EQ(errors[3].message, "there is no such key");
  EXPECT_EQ(errors[5].message, "the key is given twice");
}

// Guards against an unlimited send budget: time earns its slack by parts of the
// window.
TEST(fleet_settings_test, RejectsASendBudgetWithoutAWindow) {
  for (const char* window : {"0s", "0ms"}) {
    const auto errors = ParseErrors(
        absl::StrCat(kRequiredKeys, "[budget]\nwindow = ", window, "\n"));
    ASSERT_EQ(errors.size(), 1u);
    EXPECT_EQ(errors[0].key, "window");
  }
}

TEST(fleet_settings_test, RejectsAHostNameAsAddress) {
  const auto errors = ParseErrors(absl::StrReplaceAll(
      kRequiredKeys, {{"10.0.0.9:8142", "store.example:8142"}}));
  ASSERT_EQ(errors.size(), 1u);
  EXPECT_EQ(errors[0].section, "store");
}

}  // namespace
}  // namespace anvilridge
