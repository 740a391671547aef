#include "infrastructure/weight_store.h"

#include <optional>

#include "base/error_kind.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

class weight_store_test : public event_loop_test {
 protected:
  http_client client_;
};

TEST_F(weight_store_test, WeightsAreFetchedOnce) {
  struct {
    int status;
    bool ok;
    error_kind kind;
  } const cases[] = {{200, true, error_kind::internal},
                     {404, false, error_kind::upstream_refused},
                     {500, false, error_kind::upstream_failed},
                     {0, false, error_kind::upstream_failed}};
  for (const auto& test : cases) {
    raw_server server([&](QTcpSocket& socket, const raw_request&) {
      if (test.status == 0) return socket.abort();
      raw_server::Answer(socket, test.status, "{}");
    });
    std::optional<absl::Status> result;
    FetchWeights(client_, server.Address(), "m", "v2", "", "10.0.0.9:80",
                 [&](absl::Status status) { result = std::move(status); });
    ASSERT_TRUE(RunUntil([&] { return result.has_value(); }));
    EXPECT_EQ(result->ok(), test.ok);
    if (!test.ok) {
      EXPECT_EQ(KindOf(*result), test.kind);
    }
    EXPECT_EQ(server.Count("POST"), 1);
  }
}

}  // namespace
}  // namespace anvilridge
