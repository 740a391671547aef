#ifndef ANVILRIDGE_OPERATORS_COMMAND_PARSER_H_
#define ANVILRIDGE_OPERATORS_COMMAND_PARSER_H_

#include <string>
#include <variant>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "operators/command_words.h"
#include "operators/operator_line.h"

namespace anvilridge {

/// Parses one line of the query and command language. `now` resolves times
/// such as `noon`. Names, forms and values of fields are checked; whether
/// objects exist is not.
std::variant<operator_line, parse_error> ParseLine(absl::string_view line,
                                                   absl::Time now);

/// Parses the words of a query, which begins with one of `QueryVerbs`.
operator_query ParseQuery(word_reader& reader, absl::Time now);

/// Returns the words that begin queries.
absl::Span<const absl::string_view> QueryVerbs();

/// Returns the forms of a verb for a person, or of all for "".
std::vector<std::string> HelpLines(absl::string_view verb);

/// Returns the words that may come next after the unfinished `line`, those
/// only that begin with its last, unfinished word.
std::vector<std::string> CompleteLine(absl::string_view line);

}  // namespace anvilridge

#endif  // ANVILRIDGE_OPERATORS_COMMAND_PARSER_H_
