#include "upstreams/vm_watch.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

using names = std::set<std::string, std::less<>>;

const absl::Time kNow = absl::UnixEpoch();

config_state Config() {
  config_state config;
  const auto add = [&config](const std::string& name, const std::string& pool,
                             const std::string& address) {
    upstream_config& upstream = config.upstreams[name];
    upstream.name = name;
    upstream.pool = pool;
    upstream.address = address;
  };
  add("d1", "decode", "10.0.0.1:80");
  add("d2", "decode", "10.0.0.2:80");
  add("p1", "prefill", "10.0.0.3:80");
  add("p2", "prefill", "10.0.0.3:81");
  return config;
}

struct leaving_case {
  const char* name;
  std::vector<std::string> leaving_addresses;
  absl::Duration age;
  names expected;
};

class vm_watch_test : public testing::TestWithParam<leaving_case> {};

TEST_P(vm_watch_test, FindsTheUpstreamsThatLeave) {
  vm_view view;
  view.read_at = kNow - GetParam().age;
  for (const std::string& address : GetParam().leaving_addresses) {
    view.entries.push_back(
        {"vm", address, "a", vm_kind::engine, vm_state::leaving, 0});
  }
  view.entries.push_back(
      {"vm", "10.0.0.2", "a", vm_kind::engine, vm_state::live, 0});
  EXPECT_EQ(LeavingUpstreams(Config(), view, kNow), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    cases, vm_watch_test,
    testing::Values(
        leaving_case{"nothing", {}, absl::ZeroDuration(), {}},
        leaving_case{"by_port", {"10.0.0.3:80"}, absl::ZeroDuration(), {"p1"}},
        leaving_case{"by_vm", {"10.0.0.3"}, absl::ZeroDuration(), {"p1", "p2"}},
        leaving_case{"prefix_of_another_address",
                     {"10.0.0", "10.0.0.1:8"},
                     absl::ZeroDuration(),
                     {}},
        leaving_case{"stale_counts_while_others_stay",
                     {"10.0.0.1"},
                     kVmListStaleAfter * 2,
                     {"d1"}},
        leaving_case{"stale_leaves_no_pool_empty",
                     {"10.0.0.1", "10.0.0.3"},
                     kVmListStaleAfter * 2,
                     {"d1"}}),
    [](const auto& tested) { return tested.param.name; });

TEST(vm_poll_test, HintsAreEntriesThatStayAndPausesAreBounded) {
  vm_view view;
  view.entries = {{"a", "10.0.1.1", "a", vm_kind::entry, vm_state::live, 7000},
                  {"b", "10.0.1.2", "a", vm_kind::entry, vm_state::leaving, 1},
                  {"c", "10.0.1.3", "a", vm_kind::engine, vm_state::live, 0}};
  EXPECT_EQ(EntryPeerAddresses(view),
            std::vector<std::string>{"10.0.1.1:7000"});
  EXPECT_EQ(VmPollInterval(0), absl::Seconds(1));
  EXPECT_EQ(VmPollInterval(1000), absl::Seconds(3));
}

}  // namespace
}  // namespace anvilridge
