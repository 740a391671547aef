#include "operators/command_words.h"

#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/ids.h"

namespace anvilridge {
namespace {

// Appends the quoted text that begins at `at` and returns the position after
// its closing quote, or nothing when there is none.
std::optional<size_t> ReadQuoted(absl::string_view line, size_t at,
                                 std::string& text) {
  for (++at; at < line.size(); ++at) {
    if (line[at] == '"') return at + 1;
    if (line[at] == '\\' && at + 1 < line.size()) ++at;
    text.push_back(line[at]);
  }
  return std::nullopt;
}

}  // namespace

std::string ParseErrorText(const parse_error& error) {
  const std::string found = error.found.empty()
                                ? "the end of the line"
                                : absl::StrCat("\"", error.found, "\"");
  return absl::StrCat("column ", error.column, ": expected ", error.expected,
                      ", found ", found);
}

std::variant<std::vector<command_word>, parse_error> SplitWords(
    absl::string_view line) {
  std::vector<command_word> words;
  size_t at = 0;
  while (at < line.size()) {
    if (absl::ascii_isspace(line[at])) {
      ++at;
      continue;
    }
    command_word word{"", at + 1, line[at] == '"'};
    while (at < line.size() && !absl::ascii_isspace(line[at])) {
      if (line[at] != '"') {
        word.text.push_back(line[at++]);
        continue;
      }
      const auto end = ReadQuoted(line, at, word.text);
      if (!end) return parse_error{at + 1, "a closing quote", ""};
      at = *end;
    }
    words.push_back(std::move(word));
  }
  return words;
}

const command_word* word_reader::Peek() const {
  return error_ || at_ >= words_.size() ? nullptr : &words_[at_];
}

bool word_reader::TakeIf(absl::string_view text) {
  const command_word* word = Peek();
  if (!word || word->quoted || word->text != text) return false;
  ++at_;
  return true;
}

std::string word_reader::Take(absl::string_view expected) {
  const command_word* word = Peek();
  if (!word) {
    Fail(expected);
    return "";
  }
  ++at_;
  return word->text;
}

std::string word_reader::TakeName(absl::string_view expected) {
  const command_word* word = Peek();
  if (!word || !IsSafeId(word->text)) {
    Fail(expected);
    return "";
  }
  ++at_;
  return word->text;
}

int64_t word_reader::TakeNumber(absl::string_view expected) {
  const command_word* word = Peek();
  int64_t number = 0;
  if (!word || !absl::SimpleAtoi(word->text, &number) || number < 0) {
    Fail(expected);
    return 0;
  }
  ++at_;
  return number;
}

std::string word_reader::TakeQuoted(absl::string_view expected) {
  const command_word* word = Peek();
  if (!word || !word->quoted || word->text.empty()) {
    Fail(expected);
    return "";
  }
  ++at_;
  return word->text;
}

void word_reader::Expect(absl::string_view text) {
  if (!TakeIf(text)) Fail(text);
}

void word_reader::ExpectEnd(absl::string_view expected) {
  if (Peek()) Fail(expected);
}

void word_reader::Fail(absl::string_view expected, size_t offset) {
  if (error_) return;
  const command_word* word = Peek();
  parse_error error;
  error.expected = std::string(expected);
  error.column = word ? word->column + offset : end_column_;
  if (word) {
    error.found = word->text.substr(std::min(offset, word->text.size()));
  }
  error_ = std::move(error);
}

}  // namespace anvilridge
