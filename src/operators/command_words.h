#ifndef ANVILRIDGE_OPERATORS_COMMAND_WORDS_H_
#define ANVILRIDGE_OPERATORS_COMMAND_WORDS_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "config/config_names.h"

namespace anvilridge {

/// One word of a line: unquoted text, `name=value` or "quoted text".
struct command_word {
  std::string text;
  /// Where it begins; the first is 1.
  size_t column = 1;
  bool quoted = false;
};

/// What is wrong with a line, and where.
struct parse_error {
  size_t column = 1;
  /// What would have been proper there.
  std::string expected;
  /// The word found; empty at the end of the line.
  std::string found;
};

/// Returns `column N: expected X, found "Y"`.
std::string ParseErrorText(const parse_error& error);

/// Splits a line at white space. Double quotes keep text together; a backslash
/// in them takes the next character as it is.
std::variant<std::vector<command_word>, parse_error> SplitWords(
    absl::string_view line);

/// Reads words one by one. The first failure is kept; what is taken after it
/// is empty.
class word_reader {
 public:
  /// `line_length` places the errors at the end of the line.
  word_reader(absl::Span<const command_word> words, size_t line_length)
      : words_(words), end_column_(line_length + 1) {}

  /// Returns the next word, or null at the end of the line or after a failure.
  const command_word* Peek() const;
  /// Takes the next word if it is `text`, unquoted.
  bool TakeIf(absl::string_view text);
  /// Takes any word.
  std::string Take(absl::string_view expected);
  /// Takes an object's name.
  std::string TakeName(absl::string_view expected);
  /// Takes a whole number from 0 up.
  int64_t TakeNumber(absl::string_view expected);
  /// Takes a quoted text that is not empty.
  std::string TakeQuoted(absl::string_view expected);
  /// Takes the name of an enumerator.
  template <typename E>
  E TakeEnum() {
    const command_word* word = Peek();
    const auto value = word ? EnumNamed<E>(word->text) : std::nullopt;
    if (!value) {
      Fail(AlternativesOf<E>());
      return E{};
    }
    ++at_;
    return *value;
  }
  /// Takes exactly the word `text`.
  void Expect(absl::string_view text);
  /// Fails unless the line ends here.
  void ExpectEnd(absl::string_view expected = "the end of the line");
  /// Steps over the next word.
  void Skip() { ++at_; }
  /// Fails at the next word, or `offset` characters into it.
  void Fail(absl::string_view expected, size_t offset = 0);

  const std::optional<parse_error>& Error() const { return error_; }

 private:
  absl::Span<const command_word> words_;
  size_t end_column_;
  size_t at_ = 0;
  std::optional<parse_error> error_;
};

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_COMMAND_WORDS_H_
