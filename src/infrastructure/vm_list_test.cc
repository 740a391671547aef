#include "infrastructure/vm_list.h"

#include <optional>

#include "base/error_kind.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

class vm_list_test : public event_loop_test {
 protected:
  absl::StatusOr<std::vector<vm_entry>> List(const raw_server& server) {
    std::optional<absl::StatusOr<std::vector<vm_entry>>> result;
    GetVmList(client_, server.Address(),
              [&](auto answer) { result = std::move(answer); });
    EXPECT_TRUE(RunUntil([&] { return result.has_value(); }));
    return std::move(result).value_or(absl::UnknownError("no answer"));
  }

  http_client client_;
};

TEST_F(vm_list_test, VmListIsRead) {
  raw_server server(raw_server::Always(200, R"({"vms":[
      {"name":"entry-1","address":"10.0.0.1","failure_domain":"zagreb-a",
       "kind":"entry","state":"live","peer_port":7001},
      {"name":"engine-4","address":"10.0.0.9","failure_domain":"varazdin",
       "kind":"engine","state":"leaving"}]})"));
  const auto list = List(server);
  ASSERT_TRUE(list.ok()) << list.status();
  ASSERT_EQ(list->size(), 2U);
  EXPECT_EQ(list->at(0).kind, vm_kind::entry);
  EXPECT_EQ(list->at(0).peer_port, 7001);
  EXPECT_EQ(list->at(1).state, vm_state::leaving);
  EXPECT_EQ(list->at(1).failure_domain, "varazdin");
}

TEST_F(vm_list_test, DamagedVmListsAreErrors) {
  const std::string bodies[] = {
      "", "{}", R"({"vms":[7]})",
      R"({"vms":[{"name":"a","address":"b","failure_domain":"c",
          "kind":"planet","state":"live","peer_port":1}]})",
      R"({"vms":[{"name":"a","address":"b","failure_domain":"c",
          "kind":"entry","state":"live","peer_port":70000}]})"};
  for (const std::string& body : bodies) {
    raw_server server(raw_server::Always(200, body));
    EXPECT_EQ(KindOf(List(server).status()), error_kind::upstream_failed)
        << body;
  }
}

}  // namespace
}  // namespace anvilridge
