#include <QJsonArray>
#include <string>

#include "base/error_kind.h"
#include "base/testing/damaged_value.h"
#include "config/apply_command.h"
#include "config/config_command.h"
#include "config/config_snapshot.h"
#include "config/packed_snapshot.h"
#include "gtest/gtest.h"
#include "rapidcheck.h"

namespace anvilridge {
namespace {

config_command Command(command_verb verb, object_kind object, std::string name,
                       std::vector<field_value> fields) {
  config_command command;
  command.id = "c-" + name;
  command.author = "ana";
  command.reason = "season's end";
  command.time = absl::FromUnixSeconds(1'000'000);
  command.verb = verb;
  command.object = object;
  command.name = std::move(name);
  command.fields = std::move(fields);
  return command;
}

// One command of every kind of object, and an order and a cancel.
std::vector<config_command> Commands() {
  using enum command_verb;
  std::vector<config_command> commands = {
      Command(create, object_kind::team, "choir", {{"rate", "3"}}),
      Command(create, object_kind::key, "choir-key",
              {{"team", "choir"}, {"sha256", std::string(64, 'a')}}),
      Command(create, object_kind::pool, "pre",
              {{"role", "prefill"}, {"model", "m"}}),
      Command(create, object_kind::pool, "dec",
              {{"role", "decode"}, {"model", "m"}}),
      Command(create, object_kind::upstream, "pre-1",
              {{"pool", "pre"},
               {"address", "10.0.0.1:80"},
               {"domain", "domain-a"}}),
      Command(
          create, object_kind::route, "drafts",
          {{"model", "m"}, {"prefill_pool", "pre"}, {"decode_pool", "dec"}}),
      Command(load, object_kind::upstream, "pre-1",
              {{"model", "m"}, {"version", "v1"}}),
      Command(cancel, object_kind::request, "r1", {}),
  };
  commands[6].id = "c-load";
  commands[6].base_version = 5;
  return commands;
}

config_state WholeState() {
  config_state state;
  int64_t offset = 0;
  for (const config_command& command : Commands()) {
    log_record record;
    record.offset = ++offset;
    record.time = command.time;
    record.id = command.id;
    record.data = EncodeCommand(command);
    ApplyRecord(state, record);
  }
  return state;
}

// The history keeps an outline of a command that can't be read.
QJsonObject WithoutCommands(QJsonObject snapshot) {
  QJsonArray history;
  for (const QJsonValue row : snapshot["history"].toArray()) {
    QJsonObject entry = row.toObject();
    entry.remove("command");
    history.append(entry);
  }
  snapshot["history"] = history;
  return snapshot;
}

TEST(config_records_test, TheStateIsWhole) {
  const config_state state = WholeState();
  for (const auto& entry : state.history) {
    EXPECT_EQ(entry->outcome, command_outcome::accepted)
        << entry->command.id << ": " << entry->detail;
  }
  EXPECT_EQ(state.cancels.size(), 1U);
  EXPECT_EQ(state.upstreams.at("pre-1").orders.size(), 1U);
}

// What is taken must be what was written, or else it is refused.
TEST(config_records_test, DamagedCommandsAreRefused) {
  EXPECT_TRUE(rc::check([] {
    const QJsonObject good = EncodeCommand(*rc::gen::elementOf(Commands()));
    const auto whole = DecodeCommand(good);
    RC_ASSERT(whole.ok());
    RC_ASSERT(EncodeCommand(*whole) == good);
    const QJsonObject damaged = *DamagedJson(good);
    const auto decoded = DecodeCommand(damaged);
    RC_CLASSIFY(decoded.ok(), "still a command");
    if (decoded.ok()) {
      RC_ASSERT(EncodeCommand(*decoded) == damaged);
      return;
    }
    RC_ASSERT(KindOf(decoded.status()) == error_kind::config_invalid);
    RC_ASSERT(!decoded.status().message().empty());
  }));
}

TEST(config_records_test, DamagedSnapshotsAreRefused) {
  const QJsonObject good = EncodeSnapshot(WholeState());
  const auto whole = DecodeSnapshot(good);
  ASSERT_TRUE(whole.ok()) << whole.status();
  EXPECT_EQ(EncodeSnapshot(*whole), good);
  EXPECT_TRUE(rc::check([&] {
    const QJsonObject damaged = *DamagedJson(good);
    const auto decoded = DecodeSnapshot(damaged);
    RC_CLASSIFY(decoded.ok(), "still a snapshot");
    if (decoded.ok()) {
      RC_ASSERT(WithoutCommands(EncodeSnapshot(*decoded)) ==
                WithoutCommands(damaged));
      return;
    }
    RC_ASSERT(KindOf(decoded.status()) == error_kind::config_invalid);
    RC_ASSERT(!decoded.status().message().empty());
  }));
}

// Bytes of a peer that were cut, flipped or are of something else.
TEST(config_records_test, DamagedPackedSnapshotsAreRefused) {
  const std::string text = SnapshotText(WholeState());
  const QByteArray packed = PackSnapshotText(text);
  EXPECT_TRUE(rc::check([&] {
    QByteArray damaged = packed.left(*rc::gen::weightedOneOf<qsizetype>(
        {{1, rc::gen::inRange<qsizetype>(0, packed.size())},
         {2, rc::gen::just(packed.size())}}));
    const int flips = *rc::gen::inRange(0, 4);
    for (int i = 0; i < flips && !damaged.isEmpty(); ++i) {
      damaged[*rc::gen::inRange<qsizetype>(0, damaged.size())] =
          *rc::gen::arbitrary<char>();
    }
    const auto unpacked = UnpackSnapshotText(damaged);
    RC_CLASSIFY(unpacked.ok(), "still a snapshot");
    if (unpacked.ok()) {
      RC_ASSERT(*unpacked == text);
      return;
    }
    RC_ASSERT(KindOf(unpacked.status()) == error_kind::config_invalid);
  }));
}

TEST(config_records_test, AnyTextIsParsedOrRefused) {
  EXPECT_TRUE(rc::check([](const std::string& text) {
    const auto parsed = ParseSnapshot(text);
    RC_ASSERT(!parsed.ok());
    RC_ASSERT(KindOf(parsed.status()) == error_kind::config_invalid);
  }));
}

}  // namespace
}  // namespace anvilridge
