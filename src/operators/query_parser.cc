#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "config/config_names.h"
#include "operators/command_parser.h"
#include "operators/query_tables.h"
#include "operators/time_words.h"

namespace anvilridge {
namespace {

std::string TableAlternatives() {
  std::vector<absl::string_view> names;
  for (const query_table& table : QueryTables()) names.push_back(table.name);
  return absl::StrCat(Alternatives(names),
                      ", or an object's kind and name such as upstream u1");
}

// Takes one condition, `column=value` or `column~text`.
row_filter TakeFilter(word_reader& reader, const query_table& table) {
  row_filter filter;
  const command_word* word = reader.Peek();
  const size_t sign = word ? word->text.find_first_of("=~") : std::string::npos;
  if (word) filter.column = word->text.substr(0, sign);
  const auto& columns = table.columns;
  if (std::count(columns.begin(), columns.end(), filter.column) == 0) {
    const std::vector<absl::string_view> names(columns.begin(), columns.end());
    reader.Fail(absl::StrCat("a condition on ", Alternatives(names),
                             ", such as ", columns.front(), "=VALUE"));
    return filter;
  }
  if (sign == std::string::npos) {
    reader.Fail("= or ~ and a value", word->text.size());
    return filter;
  }
  filter.contains = word->text[sign] == '~';
  filter.value = word->text.substr(sign + 1);
  reader.Skip();
  return filter;
}

void TakeFilters(word_reader& reader, const query_table& table,
                 operator_query& query) {
  if (!reader.TakeIf("where")) {
    return reader.ExpectEnd("where or the end of the line");
  }
  query.filters.push_back(TakeFilter(reader, table));
  while (reader.TakeIf("and")) {
    query.filters.push_back(TakeFilter(reader, table));
  }
  reader.ExpectEnd("and or the end of the line");
}

void TakeShow(word_reader& reader, operator_query& query) {
  const command_word* word = reader.Peek();
  const query_table* table = word ? FindTable(word->text) : nullptr;
  const auto kind = word ? EnumNamed<object_kind>(word->text) : std::nullopt;
  if (table) {
    reader.Skip();
    query.table = std::string(table->name);
    return TakeFilters(reader, *table, query);
  }
  if (!kind || *kind == object_kind::request) {
    return reader.Fail(TableAlternatives());
  }
  reader.Skip();
  query.kind = query_kind::show_one;
  query.object = kind;
  query.table = std::string(TableOf(*kind)->name);
  query.name = reader.TakeName(absl::StrCat("the ", NameOf(*kind), "'s name"));
  reader.ExpectEnd();
}

void TakeSince(word_reader& reader, operator_query& query, absl::Time now) {
  const command_word* word = reader.Peek();
  query.since = word ? ParseTimeWord(word->text, now) : std::nullopt;
  if (!query.since) return reader.Fail(kTimeWords);
  reader.Skip();
}

void TakeHistory(word_reader& reader, operator_query& query, absl::Time now) {
  query.kind = query_kind::history;
  if (reader.TakeIf("of")) {
    query.object = reader.TakeEnum<object_kind>();
    query.name = reader.TakeName("the object's name");
  }
  if (reader.TakeIf("since")) {
    TakeSince(reader, query, now);
  } else if (reader.TakeIf("last")) {
    query.last = reader.TakeNumber("a number of entries");
  }
  reader.ExpectEnd(query.since || query.last
                       ? "the end of the line"
                       : "of, since, last or the end of the line");
}

void TakeHandover(word_reader& reader, operator_query& query, absl::Time now) {
  query.kind = query_kind::handover;
  if (reader.TakeIf("since")) {
    TakeSince(reader, query, now);
    return reader.ExpectEnd();
  }
  reader.ExpectEnd("since or the end of the line");
}

void TakeHelp(word_reader& reader, operator_query& query) {
  query.kind = query_kind::help;
  if (!reader.Peek()) return;
  const std::string verb = reader.Peek()->text;
  if (HelpLines(verb).empty()) return reader.Fail("a verb such as create");
  query.table = verb;
  reader.Skip();
  reader.ExpectEnd();
}

struct help_line {
  absl::string_view verb;
  absl::string_view form;
};

constexpr help_line kHelp[] = {
    {"show", "show TABLE [where COLUMN=VALUE|COLUMN~TEXT [and ...]]"},
    {"show", "show KIND NAME"},
    {"history", "history [of KIND NAME] [since TIME | last N]"},
    {"handover", "handover [since TIME]"},
    {"follow", "follow"},
    {"help", "help [VERB]"},
    {"create", "create pool NAME role=ROLE [model=MODEL] because \"REASON\""},
    {"create",
     "create upstream NAME pool=POOL address=IP:PORT domain=DOMAIN "
     "[fencing=yes|no] [slots=N] [pieces=N] because \"REASON\""},
    {"create",
     "create route NAME model=MODEL prefill_pool=POOL decode_pool=POOL "
     "[objective=goodput|wasted_prefill] [first_token=1s] "
     "[between_tokens=27ms] because \"REASON\""},
    {"create",
     "create route NAME path=/PATH/ service_pool=POOL [repeatable=GET,HEAD] "
     "because \"REASON\""},
    {"create",
     "create team NAME [weight=N] [rate=N] [concurrency=N] [priority=0..9] "
     "because \"REASON\""},
    {"create",
     "create key NAME sha256=HEX team=TEAM|role=ROLE because \"REASON\""},
    {"create",
     "create link NAME from=DOMAIN to=DOMAIN pieces_per_second=N because "
     "\"REASON\""},
    {"change",
     "change KIND NAME FIELD=VALUE ... [against VERSION] because \"REASON\""},
    {"remove", "remove KIND NAME [against VERSION] because \"REASON\""},
    {"drain", "drain upstream NAME [against VERSION] because \"REASON\""},
    {"undrain", "undrain upstream NAME [against VERSION] because \"REASON\""},
    {"role",
     "role upstream NAME to ROLE pool=POOL [against VERSION] because "
     "\"REASON\""},
    {"load",
     "load model MODEL version VERSION [adapter ADAPTER] on upstream NAME "
     "[against VERSION] because \"REASON\""},
    {"unload",
     "unload model MODEL version VERSION [adapter ADAPTER] on upstream NAME "
     "[against VERSION] because \"REASON\""},
    {"cancel", "cancel request ID because \"REASON\""},
    {"dry", "dry run COMMAND [because \"REASON\"]"},
};

}  // namespace

operator_query ParseQuery(word_reader& reader, absl::Time now) {
  operator_query query;
  if (reader.TakeIf("show")) {
    TakeShow(reader, query);
  } else if (reader.TakeIf("history")) {
    TakeHistory(reader, query, now);
  } else if (reader.TakeIf("handover")) {
    TakeHandover(reader, query, now);
  } else if (reader.TakeIf("follow")) {
    query.kind = query_kind::follow;
    reader.ExpectEnd();
  } else {
    reader.Expect("help");
    TakeHelp(reader, query);
  }
  return query;
}

absl::Span<const absl::string_view> QueryVerbs() {
  static constexpr absl::string_view kVerbs[] = {"show", "history", "handover",
                                                 "follow", "help"};
  return kVerbs;
}

std::vector<std::string> HelpLines(absl::string_view verb) {
  std::vector<std::string> lines;
  for (const help_line& line : kHelp) {
    if (verb.empty() || line.verb == verb) lines.emplace_back(line.form);
  }
  return lines;
}

}  // namespace anvilridge
