#include "daemon/command_line.h"

#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "gtest/gtest.h"

namespace anvilridge {
namespace {

absl::StatusOr<command_line> Parse(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "anvilridged");
  const int count = static_cast<int>(arguments.size());
  arguments.push_back(nullptr);
  return ParseCommandLine(count, arguments.data());
}

TEST(command_line_test, ActionsAreChosen) {
  using enum command_action;
  const struct {
    std::vector<const char*> arguments;
    command_action action;
    std::string config_file;
  } cases[] = {
      {{"--config", "a.ini"}, run, "a.ini"},
      {{"--config=a.ini", "--check-config"}, check_config, "a.ini"},
      {{"--version"}, print_version, ""},
      {{"--help", "--version"}, print_help, ""},
      {{"--settings-reference"}, print_settings_reference, ""},
  };
  for (const auto& row : cases) {
    const auto command = Parse(row.arguments);
    ASSERT_TRUE(command.ok()) << command.status();
    EXPECT_EQ(command->action, row.action);
    EXPECT_EQ(command->config_file, row.config_file);
  }
}

TEST(command_line_test, MistakesAreNamed) {
  const struct {
    std::vector<const char*> arguments;
    std::string part;
  } cases[] = {
      {{}, "--config FILE is required"},
      {{"--check-config"}, "--config FILE is required"},
      {{"--config"}, "config"},
      {{"--config", "a", "--config", "b"}, "more than once"},
      {{"--config", "a", "b"}, "unexpected argument b"},
      {{"--colour"}, "colour"},
  };
  for (const auto& row : cases) {
    const auto command = Parse(row.arguments);
    ASSERT_FALSE(command.ok()) << row.part;
    EXPECT_TRUE(absl::StrContains(command.status().message(), row.part))
        << command.status();
  }
}

TEST(command_line_test, WrongSettingsExitWithTwo) {
  const std::vector<const char*> arguments = {
      "anvilridged", "--config", "/nonexistent.ini", "--check-config", nullptr};
  EXPECT_EQ(RunCommandLine(4, arguments.data()), 2);
  EXPECT_EQ(RunCommandLine(1, arguments.data()), 2);
}

}  // namespace
}  // namespace anvilridge
