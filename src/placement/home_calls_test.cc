#include "placement/home_calls.h"

#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "base/testing/run_loop.h"
#include "peer/peer_server.h"

namespace anvilridge {
namespace {

const std::string kKey = "deployment-key";
const release_message kRelease = {"engine-1", "r1", 0, {}, true};
const reserve_decode_message kRequest = {"engine-1",
                                         {"r1", "a:1", 10, {}, {}, {}, "team"}};

// Runs a daemon that is the home of all engines. It records the method of each
// call that it receives and the number of additional releases that it carries.
class home_calls_test : public event_loop_test {
 protected:
  home_calls_test() {
    homes_.peers = &peers_;
    homes_.home_address = [this](absl::string_view) {
      return absl::StrCat("127.0.0.1:", server_.Port());
    };
    for (const char* method :
         {kReserveDecodeMethod, kReservePrefillMethod, kReleaseMethod}) {
      server_.Handle(method, [this, method](const QCborMap& request,
                                            const peer_responder& respond) {
        Reply(method, request, respond);
      });
    }
    EXPECT_TRUE(server_.Listen({"127.0.0.1", 0}).ok());
  }

  void Reply(const std::string& method, const QCborMap& request,
             const peer_responder& respond) {
    if (first_version_ && KeyFormOf(request) != key_form::names) {
      return respond(MakeError(error_kind::malformed_request, "engine"));
    }
    const auto carried = ParseAttachedReleases(request);
    ASSERT_TRUE(carried.ok());
    received_.push_back(absl::StrCat(method, "+", carried->size()));
    if (method == kReleaseMethod) return respond(QCborMap());
    respond(ToCbor(reserve_decode_reply{true, 1, 1, {}}, KeyFormOf(request)));
  }

  void Reserve() {
    ReserveAtHome(homes_, kRequest,
                  [this](const absl::StatusOr<reserve_decode_reply>& reply) {
                    EXPECT_TRUE(reply.ok() && reply->granted) << reply.status();
                    ++granted_;
                  });
  }

  peer_server server_{kKey};
  peer_client peers_{kKey};
  home_calls homes_;
  bool first_version_ = false;
  std::vector<std::string> received_;
  int granted_ = 0;
};

const std::string kReservationReceived =
    absl::StrCat(kReserveDecodeMethod, "+0");
const std::string kReleaseReceived = absl::StrCat(kReleaseMethod, "+0");

TEST_F(home_calls_test, ReleaseIsSentBeforeTheNextReservationOfTheSameRequest) {
  ReleaseAtHome(homes_, kRelease);
  Reserve();
  EXPECT_TRUE(RunUntil([this] { return granted_ == 1; }));
  EXPECT_EQ(received_,
            (std::vector<std::string>{kReleaseReceived, kReservationReceived}));
}

TEST_F(home_calls_test, ReleasesWithinTheBatchWindowShareOneCall) {
  for (int i = 0; i < 3; ++i) ReleaseAtHome(homes_, kRelease);
  EXPECT_TRUE(RunUntil([this] { return !received_.empty(); }));
  EXPECT_EQ(received_.front(), absl::StrCat(kReleaseMethod, "+2"));
}

TEST_F(home_calls_test, PrefillTimingsAreSentWithTheNextCall) {
  for (int i = 0; i < 9; ++i) ReportPrefillTiming(homes_, kRelease);
  Reserve();
  Reserve();
  EXPECT_TRUE(RunUntil([this] { return granted_ == 2; }));
  const std::string with_timings = absl::StrCat(kReserveDecodeMethod, "+4");
  EXPECT_EQ(received_,
            (std::vector<std::string>{with_timings, kReservationReceived}));
}

TEST_F(home_calls_test, HomeOfTheFirstVersionGetsNamedKeys) {
  first_version_ = true;
  ReleaseAtHome(homes_, kRelease);
  ReleaseAtHome(homes_, kRelease);
  Reserve();
  EXPECT_TRUE(RunUntil([this] { return granted_ == 1; }));
  EXPECT_EQ(received_,
            (std::vector<std::string>{kReleaseReceived, kReleaseReceived,
                                      kReservationReceived}));
}

}  // namespace
}  // namespace anvilridge
