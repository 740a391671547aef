#include <readline/history.h>
#include <readline/readline.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <cxxopts.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_join.h"
#include "base/ids.h"
#include "operators/authenticate.h"
#include "operators/command_parser.h"
#include "operators/ctl_client.h"
#include "settings/parse_settings.h"
#include "upstreams/http_client.h"

namespace anvilridge {
namespace {

// Shows an answer and returns its exit code.
int Show(const ctl_answer& answer) {
  std::fputs(answer.output.c_str(), stdout);
  if (!answer.error.empty()) std::fprintf(stderr, "%s\n", answer.error.c_str());
  std::fflush(stdout);
  return static_cast<int>(answer.exit);
}

int Follow(http_client& client, const ctl_settings& settings) {
  QEventLoop loop;
  int exit = 0;
  FollowChanges(
      client, settings,
      [](const std::string& change) {
        std::puts(change.c_str());
        std::fflush(stdout);
      },
      [&](const ctl_answer& answer) {
        exit = Show(answer);
        loop.quit();
      });
  loop.exec();
  return exit;
}

int Run(http_client& client, const ctl_settings& settings,
        const std::string& line) {
  if (absl::StripAsciiWhitespace(line) == "follow") {
    return Follow(client, settings);
  }
  QEventLoop loop;
  int exit = 0;
  RunLine(client, settings, line, [&](const ctl_answer& answer) {
    exit = Show(answer);
    loop.quit();
  });
  loop.exec();
  return exit;
}

// Runs the lines of a file up to the first that fails.
int RunFile(http_client& client, const ctl_settings& settings,
            const std::string& name) {
  std::ifstream file(name);
  if (!file) {
    std::fprintf(stderr, "can't read %s\n", name.c_str());
    return static_cast<int>(ctl_exit::usage);
  }
  std::string line;
  for (int number = 1; std::getline(file, line); ++number) {
    const auto text = absl::StripAsciiWhitespace(line);
    if (text.empty() || absl::StartsWith(text, "#")) continue;
    const int exit = Run(client, settings, std::string(text));
    if (exit == 0) continue;
    std::fprintf(stderr, "%s:%d: stopped\n", name.c_str(), number);
    return exit;
  }
  return 0;
}

// Words that complete the line being typed, for readline.
std::vector<std::string>& Completions() {
  static auto& words = *new std::vector<std::string>();
  return words;
}

char* NextCompletion(const char* /*text*/, int state) {
  static size_t at = 0;
  if (state == 0) at = 0;
  if (at >= Completions().size()) return nullptr;
  return strdup(Completions()[at++].c_str());
}

char** Complete(const char* text, int /*start*/, int end) {
  Completions() =
      CompleteLine(absl::string_view(rl_line_buffer, static_cast<size_t>(end)));
  rl_attempted_completion_over = 1;
  const bool open_field =
      Completions().size() == 1 && absl::EndsWith(Completions()[0], "=");
  rl_completion_append_character =
      open_field ? 0 : static_cast<unsigned char>(' ');
  return rl_completion_matches(text, NextCompletion);
}

int Prompt(http_client& client, const ctl_settings& settings) {
  rl_attempted_completion_function = Complete;
  rl_basic_word_break_characters = " \t";
  int exit = 0;
  while (char* typed = readline("anvil> ")) {
    const std::string line(absl::StripAsciiWhitespace(typed));
    std::free(typed);
    if (line.empty()) continue;
    if (line == "quit" || line == "exit") break;
    add_history(line.c_str());
    exit = Run(client, settings, line);
  }
  return exit;
}

int PrintNewKey() {
  const std::string key = NewId() + NewId();
  std::printf("key    %s\nsha256 %s\n", key.c_str(), KeyHash(key).c_str());
  return 0;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options(
      "anvilctl", "Queries and commands for the operators of anvilridge");
  options.add_options()(
      "s,server", "IP:PORT of an operator port",
      cxxopts::value<std::string>()->default_value("127.0.0.1:7002"))(
      "k,key-file", "file with the operator's key",
      cxxopts::value<std::string>())(
      "a,author", "who asks, where a key is shared",
      cxxopts::value<std::string>()->default_value(""))(
      "j,json", "show answers as JSON")("f,file", "run the lines of a file",
                                        cxxopts::value<std::string>())(
      "h,help", "show this help")("line", "a query or command, or new-key",
                                  cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"line"});
  options.positional_help("['QUERY OR COMMAND' | new-key]");
  return options;
}

int Usage(const std::string& message) {
  std::fprintf(stderr, "anvilctl: %s\n", message.c_str());
  return static_cast<int>(ctl_exit::usage);
}

int RunWith(const cxxopts::ParseResult& options) {
  std::vector<std::string> words;
  if (options.count("line") > 0) {
    words = options["line"].as<std::vector<std::string>>();
  }
  const std::string line = absl::StrJoin(words, " ");
  if (line == "new-key") return PrintNewKey();
  if (options.count("key-file") == 0) return Usage("--key-file is missing");
  const auto key = ReadKeyFile(options["key-file"].as<std::string>());
  if (!key.ok()) return Usage(std::string(key.status().message()));
  const ctl_settings settings{options["server"].as<std::string>(), *key,
                              options["author"].as<std::string>(),
                              options.count("json") > 0};
  http_client client;
  if (options.count("file") > 0) {
    return RunFile(client, settings, options["file"].as<std::string>());
  }
  if (!line.empty()) return Run(client, settings, line);
  return Prompt(client, settings);
}

int Main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  cxxopts::Options options = MakeOptions();
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") == 0) return RunWith(parsed);
    std::puts(options.help().c_str());
    return 0;
  } catch (const cxxopts::exceptions::exception& error) {
    return Usage(error.what());
  }
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) { return anvilridge::Main(argc, argv); }
