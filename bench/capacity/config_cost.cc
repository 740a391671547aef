// Cost of the configuration: config_cost TEAMS UPSTREAMS HISTORY
#include <QByteArray>
#include <memory>

#include "absl/strings/str_cat.h"
#include "bench_meter.h"
#include "config/apply_command.h"
#include "config/config_snapshot.h"
#include "config/config_state.h"
#include "config/packed_snapshot.h"
#include "operators/authenticate.h"
#include "requests/caller_identity.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

config_state MakeState(int teams, int upstreams) {
  config_state state;
  for (int i = 0; i < 46; ++i) {
    pool_config pool;
    pool.name = absl::StrCat("pool-", i);
    pool.role = i % 2 == 0 ? pool_role::prefill : pool_role::decode;
    pool.model = absl::StrCat("model-", i / 2);
    pool.version = 1;
    state.pools[pool.name] = pool;
  }
  for (int i = 0; i < upstreams; ++i) {
    upstream_config upstream;
    upstream.name = absl::StrCat("engine-zagreb-a-", i);
    upstream.pool = absl::StrCat("pool-", i % 46);
    upstream.address = absl::StrCat("10.20.", i / 250, ".", i % 250, ":8000");
    upstream.failure_domain = absl::StrCat("zagreb-", i % 6);
    upstream.version = 1;
    state.upstreams[upstream.name] = upstream;
  }
  for (int i = 0; i < teams; ++i) {
    team_config team;
    team.name = absl::StrCat("team-with-a-name-", i);
    team.rate = 10;
    team.version = 1;
    state.teams[team.name] = team;
    key_config key;
    key.name = absl::StrCat("key-with-a-name-", i);
    key.team = team.name;
    key.sha256_hex = KeyHash(absl::StrCat("secret-", i));
    key.version = 1;
    state.keys[key.name] = key;
  }
  return state;
}

log_record ChangeRecord(const config_state& state, int number) {
  const team_config& team = state.teams.begin()->second;
  config_command command;
  command.id = absl::StrCat("0123456789abcdef-", number);
  command.author = "operator-of-the-watch";
  command.reason = "the season summaries of the clubs need more this week";
  command.time = kStart;
  command.verb = command_verb::change;
  command.object = object_kind::team;
  command.name = team.name;
  command.base_version = team.version;
  command.fields = {{"rate", absl::StrCat(1 + number % 50)}};
  return {state.applied_offset + 1, kStart, command.id, EncodeCommand(command)};
}

int Run(int teams, int upstreams, int history) {
  const double before = HeapBytes();
  config_state state = MakeState(teams, upstreams);
  const double objects = HeapBytes() - before;
  for (int i = 0; i < history; ++i) ApplyRecord(state, ChangeRecord(state, i));
  const double whole = HeapBytes() - before;

  int number = history;
  const double apply =
      CpuOf(100, [&] { ApplyRecord(state, ChangeRecord(state, number++)); });
  const double publish = CpuOf(5, [&] {
    const auto copy = std::make_shared<const config_state>(state);
    (void)copy;
  });
  std::string text;
  const double encode = CpuOf(2, [&] { text = SnapshotText(state); });
  absl::Status parsed;
  const double parse = CpuOf(2, [&] { parsed = ParseSnapshot(text).status(); });
  QByteArray packed;
  const double pack = CpuOf(2, [&] { packed = PackSnapshotText(text); });
  const http_headers headers = {{"authorization", "Bearer secret-0"}};
  bool known = false;
  const double authenticate =
      CpuOf(200, [&] { known = Authenticate(state, headers).ok(); });

  PrintLine({{"bench", "config_cost"},
             {"teams_and_keys", teams},
             {"upstreams", upstreams},
             {"history", static_cast<int>(state.history.size())},
             {"objects_heap_bytes", objects},
             {"whole_heap_bytes", whole},
             {"snapshot_bytes", static_cast<double>(text.size())},
             {"snapshot_packed_bytes", static_cast<double>(packed.size())},
             {"apply_us", apply},
             {"publish_copy_us", publish},
             {"snapshot_encode_us", encode},
             {"snapshot_parse_us", parse},
             {"snapshot_pack_us", pack},
             {"authenticate_us", authenticate}});
  if (!parsed.ok()) std::fprintf(stderr, "%s\n", parsed.ToString().c_str());
  return parsed.ok() && known ? 0 : 1;
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  using anvilridge::SizeArgument;
  return anvilridge::Run(SizeArgument(argc, argv, 1, 990),
                         SizeArgument(argc, argv, 2, 4900),
                         SizeArgument(argc, argv, 3, 3000));
}
