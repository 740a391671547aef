#include "config/apply_command.h"

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "config/config_names.h"
#include "config/config_snapshot.h"
#include "config/object_fields.h"
#include "gmock/gmock.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace anvilridge {
namespace {

using ::testing::HasSubstr;
using enum command_verb;

const absl::Time kNow = absl::FromUnixSeconds(1'000'000);

config_command Command(command_verb verb, object_kind object, std::string name,
                       int64_t base, std::vector<field_value> fields = {}) {
  config_command command;
  command.id = absl::StrCat(NameOf(verb), "-", name, "-", base);
  command.author = "ana";
  command.reason = "because";
  command.time = kNow;
  command.verb = verb;
  command.object = object;
  command.name = std::move(name);
  command.base_version = base;
  command.fields = std::move(fields);
  return command;
}

std::shared_ptr<const history_entry> Apply(config_state& state,
                                           const config_command& command) {
  ApplyRecord(state, {state.applied_offset + 1, kNow, command.id,
                      EncodeCommand(command)});
  return state.history.back();
}

// Pools 1 to 3, an upstream at 4, a team at 5 and a route at 6.
config_state Fleet() {
  config_state state;
  using k = object_kind;
  Apply(state, Command(create, k::pool, "pre", 0,
                       {{"role", "prefill"}, {"model", "m1"}}));
  Apply(state, Command(create, k::pool, "dec", 0,
                       {{"role", "decode"}, {"model", "m1"}}));
  Apply(state, Command(create, k::pool, "books", 0, {{"role", "service"}}));
  Apply(state, Command(create, k::upstream, "u1", 0,
                       {{"pool", "dec"},
                        {"address", "10.0.0.1:8000"},
                        {"domain", "zagreb-a"}}));
  Apply(state, Command(create, k::team, "choirs", 0, {{"rate", "2.5"}}));
  Apply(state, Command(create, k::route, "drafts", 0,
                       {{"model", "m1"},
                        {"prefill_pool", "pre"},
                        {"decode_pool", "dec"}}));
  EXPECT_EQ(state.history.back()->outcome, command_outcome::accepted);
  return state;
}

struct refusal_case {
  config_command command;
  command_outcome outcome;
  std::string says;
};

TEST(apply_command_test, RefusalsChangeNothingAndNameTheWord) {
  using k = object_kind;
  using o = command_outcome;
  const std::string hash(64, 'a');
  const std::vector<refusal_case> cases = {
      {Command(create, k::pool, "dec", 0, {{"role", "service"}}), o::contested,
       "pool dec already exists at version 2"},
      {Command(drain, k::upstream, "u1", 3), o::contested, "is at version 4"},
      {Command(remove, k::team, "gone", 3), o::contested, "does not exist"},
      {Command(remove, k::team, "gone", 0), o::rejected, "gone: there is no"},
      {Command(create, k::pool, "p", 0, {{"role", "cook"}}), o::rejected,
       "role: expected prefill, decode or service, found \"cook\""},
      {Command(create, k::pool, "p", 0, {{"colour", "red"}}), o::rejected,
       "colour: unknown field; expected role or model"},
      {Command(create, k::pool, "p", 0), o::rejected, "role: missing"},
      {Command(create, k::pool, "p", 0, {{"role", "decode"}}), o::rejected,
       "model: missing"},
      {Command(change, k::upstream, "u1", 4, {{"pool", "none"}}), o::rejected,
       "pool: there is no pool \"none\""},
      {Command(change, k::upstream, "u1", 4, {{"address", "1.2.3:0"}}),
       o::rejected, "address: expected an IP address"},
      {Command(change, k::upstream, "u1", 4, {{"slots", "0"}}), o::rejected,
       "slots: expected a whole number from 1"},
      {Command(change, k::upstream, "u1", 4, {{"draining", "yes"}}),
       o::rejected, "draining: unknown field"},
      {Command(create, k::upstream, "u2", 0,
               {{"pool", "dec"},
                {"address", "10.0.0.1:8000"},
                {"domain", "zagreb-a"}}),
       o::rejected, "address: upstream \"u1\" already has"},
      {Command(remove, k::pool, "dec", 2), o::rejected, "dec: upstream \"u1\""},
      {Command(remove, k::pool, "pre", 1), o::rejected,
       "pre: route \"drafts\""},
      {Command(change, k::pool, "pre", 1, {{"role", "decode"}}), o::rejected,
       "role: route \"drafts\" would no longer be valid"},
      {Command(change, k::team, "choirs", 5, {{"rate", "nan"}}), o::rejected,
       "rate: expected"},
      {Command(
           create, k::route, "r2", 0,
           {{"model", "m1"}, {"prefill_pool", "dec"}, {"decode_pool", "dec"}}),
       o::rejected, "prefill_pool: pool \"dec\" has the role decode"},
      {Command(create, k::route, "r2", 0,
               {{"path", "/x/"},
                {"service_pool", "books"},
                {"decode_pool", "dec"}}),
       o::rejected, "decode_pool: a route with a path"},
      {Command(create, k::key, "k1", 0, {{"sha256", hash}}), o::rejected,
       "team: missing"},
      {Command(create, k::key, "k1", 0,
               {{"sha256", hash}, {"team", "choirs"}, {"role", "operate"}}),
       o::rejected, "role: a team's key"},
      {Command(role, k::upstream, "u1", 4,
               {{"role", "prefill"}, {"pool", "dec"}}),
       o::rejected, "pool: pool \"dec\" has the role decode"},
      {Command(drain, k::pool, "dec", 2), o::rejected,
       "pool: can't be used with drain"},
  };
  for (const refusal_case& c : cases) {
    config_state state = Fleet();
    config_state before = state;
    config_command command = c.command;
    command.id += "-again";
    const auto entry = Apply(state, command);
    SCOPED_TRACE(c.says);
    EXPECT_EQ(entry->outcome, c.outcome);
    EXPECT_THAT(entry->detail, HasSubstr(c.says));
    EXPECT_EQ(state.applied_offset, before.applied_offset + 1);
    before.applied_offset = state.applied_offset;
    before.history = state.history;
    EXPECT_EQ(SnapshotText(state), SnapshotText(before));
  }
}

TEST(apply_command_test, OfTwoRacingCommandsTheFirstInTheLogCounts) {
  config_state state = Fleet();
  auto first = Command(drain, object_kind::upstream, "u1", 4);
  auto second =
      Command(change, object_kind::upstream, "u1", 4, {{"slots", "7"}});
  EXPECT_EQ(Apply(state, first)->outcome, command_outcome::accepted);
  EXPECT_EQ(Apply(state, second)->outcome, command_outcome::contested);
  EXPECT_TRUE(state.upstreams.at("u1").draining);
  EXPECT_EQ(state.upstreams.at("u1").slots, 20);
  EXPECT_EQ(state.upstreams.at("u1").version, 7);
}

TEST(apply_command_test, RepeatedIdCountsOnceAndLateCommandsAreRejected) {
  config_state state = Fleet();
  const auto cancel_it = Command(cancel, object_kind::request, "request-9", 0);
  const log_record record{7, kNow, cancel_it.id, EncodeCommand(cancel_it)};
  log_record again = record;
  again.offset = 8;
  EXPECT_EQ(ApplyRecord(state, record), apply_effect::recorded);
  EXPECT_EQ(ApplyRecord(state, record), apply_effect::already_applied);
  EXPECT_EQ(ApplyRecord(state, again), apply_effect::duplicate);
  again.offset = 10;
  EXPECT_EQ(ApplyRecord(state, again), apply_effect::gap);
  EXPECT_EQ(state.cancels.size(), 1U);
  EXPECT_EQ(state.applied_offset, 8);
  auto late = Command(drain, object_kind::upstream, "u1", 4);
  const absl::Time recorded = kNow + kCommandLife + absl::Seconds(1);
  ApplyRecord(state, {9, recorded, late.id, EncodeCommand(late)});
  EXPECT_EQ(state.history.back()->outcome, command_outcome::rejected);
  EXPECT_FALSE(state.upstreams.at("u1").draining);
}

TEST(apply_command_test, OrdersCarryTheOffsetAsFencingNumber) {
  config_state state = Fleet();
  using k = object_kind;
  const std::vector<field_value> m2 = {{"model", "m2"}, {"version", "1"}};
  Apply(state, Command(load, k::upstream, "u1", 4, m2));
  Apply(state, Command(unload, k::upstream, "u1", 7, m2));
  Apply(state, Command(role, k::upstream, "u1", 8,
                       {{"role", "prefill"}, {"pool", "pre"}}));
  const upstream_config& upstream = state.upstreams.at("u1");
  ASSERT_EQ(upstream.orders.size(), 2U);
  EXPECT_EQ(upstream.orders[0].kind, order_kind::unload);
  EXPECT_EQ(upstream.orders[0].fence, 8);
  EXPECT_EQ(upstream.orders[1].kind, order_kind::role);
  EXPECT_EQ(upstream.orders[1].fence, 9);
  EXPECT_EQ(upstream.pool, "pre");
}

TEST(config_command_test, StrictDecodingNamesTheMember) {
  const auto good =
      EncodeCommand(Command(drain, object_kind::upstream, "u1", 4));
  ASSERT_TRUE(DecodeCommand(good).ok());
  const std::vector<std::pair<const char*, QJsonValue>> faults = {
      {"surprise", 1},
      {"id", "a/b"},
      {"author", 7},
      {"reason", ""},
      {"time_ms", "noon"},
      {"base_version", 1.5},
      {"base_version", -1},
      {"verb", "explode"},
      {"object", QJsonValue()},
      {"fields", "none"},
      {"name", QString(65, 'x')}};
  for (const auto& [member, value] : faults) {
    QJsonObject json = good;
    json.insert(member, value);
    const auto decoded = DecodeCommand(json);
    ASSERT_FALSE(decoded.ok()) << member;
    EXPECT_EQ(KindOf(decoded.status()), error_kind::config_invalid);
    EXPECT_THAT(std::string(decoded.status().message()), HasSubstr(member));
  }
}

// Commands over few names, so that they meet, collide and refer to each other.
rc::Gen<std::vector<config_command>> Commands() {
  return rc::gen::exec([] {
    std::vector<config_command> commands;
    const int count = *rc::gen::inRange(0, 40);
    for (int i = 0; i < count; ++i) {
      const auto verb = static_cast<command_verb>(*rc::gen::inRange(0, 9));
      const auto object = static_cast<object_kind>(*rc::gen::inRange(0, 7));
      auto command =
          Command(verb, object,
                  *rc::gen::element<std::string>("dec", "pre", "u1", "choirs"),
                  *rc::gen::inRange(0, i + 8));
      command.id = absl::StrCat("c", *rc::gen::inRange(0, 60));
      for (const field_rule& rule : FieldRules(verb, object)) {
        command.fields.push_back(
            {std::string(rule.name),
             *rc::gen::element<std::string>("dec", "pre", "decode", "prefill",
                                            "10.0.0.2:1", "3", "yes", "1s")});
      }
      commands.push_back(command);
    }
    return commands;
  });
}

TEST(config_snapshot_test, SnapshotAndTheRestEqualTheWholeLog) {
  const bool held = rc::check([] {
    const auto commands = *Commands();
    const auto cut = *rc::gen::inRange<size_t>(0, commands.size() + 1);
    config_state whole = Fleet();
    config_state part = whole;
    for (size_t i = 0; i < commands.size(); ++i) {
      Apply(whole, commands[i]);
      if (i < cut) Apply(part, commands[i]);
    }
    auto loaded = ParseSnapshot(SnapshotText(part));
    RC_ASSERT(loaded.ok());
    for (size_t i = cut; i < commands.size(); ++i) Apply(*loaded, commands[i]);
    RC_ASSERT(SnapshotText(*loaded) == SnapshotText(whole));
  });
  EXPECT_TRUE(held);
}

TEST(config_snapshot_test, DamagedSnapshotsAreRefused) {
  const QJsonObject good = EncodeSnapshot(Fleet());
  ASSERT_TRUE(DecodeSnapshot(good).ok());
  for (const char* member : {"format", "pool", "upstream", "key", "history"}) {
    QJsonObject damaged = good;
    damaged.remove(member);
    EXPECT_FALSE(DecodeSnapshot(damaged).ok()) << member;
  }
  QJsonObject dangling = good;
  dangling.insert("pool", QJsonObject());
  EXPECT_FALSE(DecodeSnapshot(dangling).ok());
}

TEST(config_snapshot_test, EqualAddressesAndKeysAreRefused) {
  config_state twice = Fleet();
  ASSERT_FALSE(twice.upstreams.empty());
  twice.upstreams["twin"] = twice.upstreams.begin()->second;
  EXPECT_THAT(DecodeSnapshot(EncodeSnapshot(twice)).status().ToString(),
              testing::HasSubstr("already has the address"));
  twice = Fleet();
  key_config key;
  key.version = 1;
  key.role = operator_role::read;
  key.sha256_hex = std::string(64, 'a');
  twice.keys["one"] = key;
  ASSERT_TRUE(DecodeSnapshot(EncodeSnapshot(twice)).ok());
  twice.keys["two"] = key;
  EXPECT_THAT(DecodeSnapshot(EncodeSnapshot(twice)).status().ToString(),
              testing::HasSubstr("already has this hash"));
}

}  // namespace
}  // namespace anvilridge
