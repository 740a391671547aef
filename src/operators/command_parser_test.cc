#include "operators/command_parser.h"

#include "absl/strings/str_cat.h"
#include "config/config_names.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "operators/past_form.h"
#include "operators/time_words.h"
#include "rapidcheck.h"

namespace anvilridge {
namespace {

using ::testing::Contains;
using ::testing::ElementsAre;
using ::testing::HasSubstr;

absl::Time At(absl::string_view text) {
  absl::Time time;
  std::string error;
  EXPECT_TRUE(absl::ParseTime(absl::RFC3339_full, text, &time, &error));
  return time;
}

const absl::Time kNow = absl::FromUnixSeconds(1'900'000'000);

struct command_case {
  std::string line;
  std::string text;
};

TEST(command_parser_test, CommandsReadBackInTheirPastForm) {
  const command_case cases[] = {
      {"create pool drafts role=decode model=m1 because \"new desk\"",
       "create pool drafts: role decode, model m1"},
      {"create upstream e4 pool=drafts address=10.0.0.4:8000 domain=zagreb-a "
       "fencing=yes slots=20 pieces=2000 because \"spare\"",
       "create upstream e4: pool drafts, address 10.0.0.4:8000, domain "
       "zagreb-a, fencing yes, slots 20, pieces 2000"},
      {"change route dues repeatable= because \"x\"",
       "change route dues: repeatable (empty)"},
      {"remove team choirs because \"gone\"", "remove team choirs"},
      {"drain upstream e4 because \"disk\"", "drain upstream e4"},
      {"role upstream e4 to prefill pool=pre because \"peak\"",
       "role upstream e4 to prefill in pool pre"},
      {"load model m1 version 3 adapter hr on upstream e4 because \"v3\"",
       "load model m1 version 3 adapter hr on upstream e4"},
      {"unload model m1 version 3 on upstream e4 because \"v3\"",
       "unload model m1 version 3 on upstream e4"},
      {"cancel request 0f-7 because \"stuck\"", "cancel request 0f-7"},
  };
  for (const command_case& c : cases) {
    const auto parsed = ParseLine(c.line, kNow);
    ASSERT_TRUE(std::holds_alternative<operator_line>(parsed))
        << ParseErrorText(std::get<parse_error>(parsed));
    const auto& order =
        std::get<operator_command>(std::get<operator_line>(parsed));
    EXPECT_EQ(CommandText(order.command), c.text);
    EXPECT_FALSE(order.has_base_version);
    EXPECT_FALSE(order.command.reason.empty());
  }
}

TEST(command_parser_test, TailMayNameTheVersionAndDryRunNeedsNoReason) {
  const auto parsed =
      ParseLine("dry run change team choirs rate=2 against 17", kNow);
  const auto& order =
      std::get<operator_command>(std::get<operator_line>(parsed));
  EXPECT_TRUE(order.dry_run);
  EXPECT_TRUE(order.has_base_version);
  EXPECT_EQ(order.command.base_version, 17);
}

struct error_case {
  std::string line;
  size_t column;
  std::string expected;
};

TEST(command_parser_test, ErrorsPointAtTheWordAndSayWhatWasExpected) {
  const error_case cases[] = {
      {"", 1, "show, history"},
      {"crate pool p", 1, "create"},
      {"create", 7, "pool, upstream"},
      {"create request r", 8, "pool, upstream"},
      {"create pool a/b", 13, "the pool's name"},
      {"create pool p role=cook", 20, "prefill, decode or service"},
      {"create pool p colour=red", 15, "role or model"},
      {"create pool p role", 15, "role or model"},
      {"create pool p model=m because \"x\"", 23, "role=VALUE"},
      {"create pool p role=service role=decode", 28, "role only once"},
      {"create upstream u address=1.2.3.4:99999", 27, "an IP address"},
      {"change team t because \"x\"", 15, "weight, rate"},
      {"drain pool p", 7, "upstream"},
      {"drain upstream u", 17, "because"},
      {"drain upstream u because broken", 26, "a quoted reason"},
      {"drain upstream u because \"broken", 26, "a closing quote"},
      {"drain upstream u against x", 26, "a version"},
      {"drain upstream u because \"x\" now", 30, "the end of the line"},
      {"role upstream u to cook", 20, "prefill, decode or service"},
      {"load model m on upstream u", 14, "version"},
      {"dry walk", 5, "run"},
      {"show poles", 6, "pools, upstreams"},
      {"show upstream", 14, "the upstream's name"},
      {"show pools wher", 12, "where"},
      {"show pools where colour=red", 18, "a condition on name"},
      {"show pools where name", 22, "= or ~"},
      {"show pools where name=a or", 25, "and or the end"},
      {"history since later", 15, "noon, midnight"},
      {"handover now", 10, "since"},
      {"help me", 6, "a verb"},
  };
  for (const error_case& c : cases) {
    const auto parsed = ParseLine(c.line, kNow);
    const auto* error = std::get_if<parse_error>(&parsed);
    ASSERT_NE(error, nullptr) << c.line;
    EXPECT_EQ(error->column, c.column) << c.line;
    EXPECT_THAT(error->expected, HasSubstr(c.expected)) << c.line;
  }
}

TEST(command_parser_test, QueriesKeepFiltersAndTimes) {
  const auto parsed =
      ParseLine("show upstreams where pool=drafts and domain~\"zagreb\"", kNow);
  const auto& query = std::get<operator_query>(std::get<operator_line>(parsed));
  ASSERT_EQ(query.filters.size(), 2U);
  EXPECT_FALSE(query.filters[0].contains);
  EXPECT_TRUE(query.filters[1].contains);
  EXPECT_EQ(query.filters[1].value, "zagreb");
}

TEST(command_parser_test, TimesAreTheLatestNotAfterNow) {
  const absl::Time now = At("2031-05-04T11:30:00Z");
  EXPECT_EQ(ParseTimeWord("noon", now), At("2031-05-03T12:00:00Z"));
  EXPECT_EQ(ParseTimeWord("midnight", now), At("2031-05-04T00:00:00Z"));
  EXPECT_EQ(ParseTimeWord("11:30", now), now);
  EXPECT_EQ(ParseTimeWord("11:31", now), At("2031-05-03T11:31:00Z"));
  EXPECT_EQ(ParseTimeWord("90m", now), At("2031-05-04T10:00:00Z"));
  EXPECT_EQ(ParseTimeWord("2031-05-01T00:00:00Z", now),
            At("2031-05-01T00:00:00Z"));
  EXPECT_EQ(ParseTimeWord("24:00", now), std::nullopt);
  EXPECT_EQ(ParseTimeWord("-1h", now), std::nullopt);
}

TEST(command_parser_test, CompletionOffersWhatTheGrammarTakes) {
  EXPECT_THAT(CompleteLine("dr"), ElementsAre("drain", "dry"));
  EXPECT_THAT(CompleteLine("create pool p ro"), ElementsAre("role="));
  EXPECT_THAT(CompleteLine("create pool p role=decode m"),
              ElementsAre("model="));
  EXPECT_THAT(CompleteLine("show upst"), Contains("upstreams"));
  EXPECT_THAT(CompleteLine("show pools where r"), ElementsAre("role="));
  EXPECT_THAT(CompleteLine("dry run load "), ElementsAre("model"));
}

// Any line gives a command that reads well or an error inside the line.
TEST(command_parser_test, AnyLineIsParsedOrRefusedAtAColumn) {
  const bool held = rc::check([] {
    const auto words = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>(
            "create", "pool", "p", "role=decode", "model=m", "because", "\"x\"",
            "against", "7", "dry", "run", "show", "where", "name=p", "\"",
            "upstream", "load", "version", "on", "=", "\\\"", "since",
            "history", "cancel", "request", "\xc3\xa9", "\x01"));
    std::string line;
    for (const auto& word : words) absl::StrAppend(&line, word, " ");
    const auto parsed = ParseLine(line, kNow);
    if (const auto* error = std::get_if<parse_error>(&parsed)) {
      RC_ASSERT(error->column >= 1U && error->column <= line.size() + 1);
      RC_ASSERT(!error->expected.empty());
      return;
    }
    const auto* order =
        std::get_if<operator_command>(&std::get<operator_line>(parsed));
    if (!order) return;
    config_command command = order->command;
    command.id = "id";
    command.author = "ana";
    if (command.reason.empty()) command.reason = "dry";
    RC_ASSERT(CheckCommandForm(command).ok());
  });
  EXPECT_TRUE(held);
}

}  // namespace
}  // namespace anvilridge
