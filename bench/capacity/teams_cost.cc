// Cost of keys and caps of teams: teams_cost TEAMS DAEMONS
#include <cstdlib>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "bench_meter.h"
#include "fleet/fleet_team.h"
#include "teams/team_usage.h"

namespace anvilridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

int Run(int teams, int daemons) {
  const double before = HeapBytes();
  team_directory directory;
  directory.needs_keys = true;
  std::vector<std::string> keys;
  for (int i = 0; i < teams; ++i) {
    fleet_team team;
    team.name = absl::StrCat("team-with-a-name-", i);
    team.cap = usage_cap{1e9, 1e9, true, 200};
    keys.push_back(absl::StrCat("key-of-twenty-bytes-", i));
    AddTeam(directory, team, {DigestOf(keys.back())});
  }
  const double directory_heap = HeapBytes() - before;
  bool found = true;
  const double lookup = CpuOf(100, [&] {
    for (const std::string& key : keys) {
      found = FindTeamOfKey(directory, key) != nullptr && found;
    }
  });

  const double usage_before = HeapBytes();
  team_usage usage;
  usage.SetTeams(directory.teams, {absl::Seconds(8), 0.1, 120'000}, 1, kStart);
  usage.SetDaemonCount(daemons, kStart);
  daemon_use use;
  // Twenty requests a second, each of another team.
  for (int i = 0; i < 20; ++i) {
    use[directory.teams[static_cast<size_t>(i) % directory.teams.size()].key] =
        {10'000, 0, 1000};
  }
  absl::Time now = kStart;
  const double message = CpuOf(100, [&] {
    now += absl::Milliseconds(100);
    for (int i = 1; i < daemons; ++i) {
      usage.SetPeer(absl::StrCat("10.0.0.", i, ":7660"), 1, use, false, now);
    }
  });
  bool admitted = true;
  const double admit = CpuOf(100, [&] {
    now += absl::Milliseconds(1);
    for (const fleet_team& team : directory.teams) {
      auto charge = usage.Admit(team, 10'000, now);
      admitted = charge.ok() && admitted;
      if (charge.ok()) charge->RecordSend(now);
    }
  });
  PrintLine({{"teams", teams},
             {"daemons", daemons},
             {"found", found},
             {"admitted", admitted},
             {"lookup_us", lookup / teams},
             {"admit_us", admit / teams},
             {"message_us", message / (daemons - 1)},
             {"directory_bytes_a_team", directory_heap / teams},
             {"usage_bytes_a_team", (HeapBytes() - usage_before) / teams}});
  return found ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  return anvilridge::Run(anvilridge::SizeArgument(argc, argv, 1, 16),
                         anvilridge::SizeArgument(argc, argv, 2, 34));
}
